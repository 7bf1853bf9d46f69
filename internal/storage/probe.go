package storage

import "errors"

const (
	// probeName is the file that Probe writes.
	probeName = "probe"
	// probeSize is one disk block in bytes: a smaller file could still fit on a
	// full disk.
	probeSize = 4096
)

// Probe checks that the folder is writable: it writes a file, syncs it and
// removes it. Errors are of kind DataFolder.
func Probe(files Files) error {
	f, err := files.Create(probeName)
	if err != nil {
		return dataFolderError("create probe file", err)
	}
	_, err = f.Write(make([]byte, probeSize))
	if err = errors.Join(err, f.Sync(), f.Close(), files.Remove(probeName)); err != nil {
		return dataFolderError("write probe file", err)
	}
	return nil
}
