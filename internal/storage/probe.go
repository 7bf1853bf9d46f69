package storage

import "errors"

const (
	// probeName is the file that Probe writes.
	probeName = "probe"
	// probeSize is a block in bytes: fewer may find room where a record does not.
	probeSize = 4096
)

// Probe reports whether the folder takes writes: it writes a file, syncs it and
// removes it. An error is of kind DataFolder.
func Probe(files Files) error {
	f, err := files.Create(probeName)
	if err != nil {
		return dataFolderError("make probe", err)
	}
	_, err = f.Write(make([]byte, probeSize))
	if err = errors.Join(err, f.Sync(), f.Close(), files.Remove(probeName)); err != nil {
		return dataFolderError("write probe", err)
	}
	return nil
}
