// Package storage keeps a control instance's log and snapshot in one data
// folder. A batch of the log is one checksummed record, written at once and
// synced before anything is acknowledged; a snapshot is written aside, synced
// and then renamed. A torn last record is cut. A damaged older one is an
// error: what follows it cannot be trusted, and the instance must not vote.
package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
)

type (
	// File is an open file of the data folder, by functions so that tests
	// can lose what was not synced.
	File struct {
		Write    func(data []byte) (int, error)
		Sync     func() error
		Truncate func(size int64) error
		Close    func() error
	}

	// Files is the data folder, by functions.
	Files struct {
		Read    func(name string) ([]byte, error) // os.ErrNotExist where there is none
		Append  func(name string) (*File, error)  // opens at the end, made if missing
		Create  func(name string) (*File, error)  // empty
		Rename  func(from, to string) error
		Remove  func(name string) error
		SyncDir func() error
	}
)

// Folder returns the files of a folder on disk; it makes the folder.
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
