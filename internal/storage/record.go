package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// replaceFile writes a message to the temporary file next, syncs it and renames
// it to name. It returns the size in bytes once the rename is durable.
func replaceFile(files Files, next, name string, m proto.Message) (size int64, err error) {
	data, err := encodeRecord(m)
	if err != nil {
		return 0, err
	}
	f, err := files.Create(next)
	if err != nil {
		return 0, err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return 0, err
	}
	return int64(len(data)), errors.Join(files.Rename(next, name), files.SyncDir())
}

// SaveMessage atomically replaces a file of the folder by one checksummed
// message, and returns once it is durable. Errors are of kind DataFolder.
func SaveMessage(files Files, name string, m proto.Message) error {
	if _, err := replaceFile(files, name+".next", name, m); err != nil {
		return dataFolderError("write "+name, err)
	}
	return nil
}

// LoadMessage reads a file written by SaveMessage, and returns false if there
// is none. Errors are of kind DataFolder, or DamagedLog if the file cannot be
// decoded.
func LoadMessage(files Files, name string, m proto.Message) (bool, error) {
	data, err := files.Read(name)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, dataFolderError("read "+name, err)
	}
	payload, rest, ok := decodeRecord(data)
	if !ok || len(rest) > 0 {
		return false, damagedLog("%s: checksum mismatch", name)
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return false, damagedLog("decode %s: %s", name, err)
	}
	return true, nil
}

// encodeRecord marshals a message and prepends its length and checksum.
func encodeRecord(m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	data := make([]byte, recordHeaderSize, recordHeaderSize+len(payload))
	binary.LittleEndian.PutUint32(data, uint32(len(payload)))
	binary.LittleEndian.PutUint32(data[4:], crc32.Checksum(payload, castagnoli))
	return append(data, payload...), nil
}

// decodeRecord splits off the payload of the first record. It returns false if
// the record is incomplete or its checksum does not match.
func decodeRecord(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < recordHeaderSize {
		return nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length == 0 || length > len(data)-recordHeaderSize {
		return nil, nil, false
	}
	payload = data[recordHeaderSize : recordHeaderSize+length]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, nil, false
	}
	return payload, data[recordHeaderSize+length:], true
}
