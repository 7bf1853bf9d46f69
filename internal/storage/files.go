// Package storage keeps a control instance's log and snapshot in one data
// folder. Each batch of log entries is one checksummed record, synced before
// it is acknowledged. A snapshot is written to a temporary file, synced and
// renamed. An incomplete last record is truncated; damage in an earlier one is
// an error, since the instance may have lost acknowledged entries and must not
// vote.
package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

type (
	// File is an open file of the data folder. Its operations are functions so
	// that tests can simulate disk faults.
	File struct {
		Write    func(data []byte) (int, error)
		Sync     func() error
		Truncate func(size int64) error
		Close    func() error
	}

	// Files provides access to the data folder.
	Files struct {
		Read    func(name string) ([]byte, error) // os.ErrNotExist if there is no such file
		Append  func(name string) (*File, error)  // opens for appending, creates if missing
		Create  func(name string) (*File, error)  // creates or truncates
		Rename  func(from, to string) error
		Remove  func(name string) error
		SyncDir func() error
	}
)

// Folder returns the files of a folder on disk, which it creates if missing.
func Folder(path string) (Files, error) {
	const folderMode, fileMode = 0o750, 0o640
	if err := os.MkdirAll(path, folderMode); err != nil {
		return Files{}, err
	}
	open := func(name string, flags int) (*File, error) {
		f, err := os.OpenFile(filepath.Join(path, name), flags, fileMode)
		if err != nil {
			return nil, err
		}
		return &File{Write: f.Write, Sync: f.Sync, Truncate: truncate(f), Close: f.Close}, nil
	}
	return Files{
		Read:    func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(path, name)) },
		Append:  func(name string) (*File, error) { return open(name, os.O_WRONLY|os.O_CREATE|os.O_APPEND) },
		Create:  func(name string) (*File, error) { return open(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC) },
		Rename:  func(from, to string) error { return os.Rename(filepath.Join(path, from), filepath.Join(path, to)) },
		Remove:  func(name string) error { return os.Remove(filepath.Join(path, name)) },
		SyncDir: func() error { return syncDir(path) },
	}, nil
}

func truncate(f *os.File) func(int64) error {
	return func(size int64) error {
		if err := f.Truncate(size); err != nil {
			return err
		}
		_, err := f.Seek(0, io.SeekEnd)
		return err
	}
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
