package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	logName          = "log"
	nextLogName      = "log.next"
	snapshotName     = "snapshot"
	nextSnapshotName = "snapshot.next"
	recordHeaderSize = 8 // bytes: length and checksum, 4 each
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type (
	// Store is the open log and snapshot. It is not safe for concurrent use.
	// After a failed write or sync every later one returns the same error, since
	// the contents of the disk are unknown.
	Store struct {
		files   Files
		log     *File
		size    int64
		failure error
	}

	// Loaded is the state read from the data folder when it is opened.
	Loaded struct {
		HardState *wire.HardState
		Snapshot  *wire.SnapshotFile // nil if there is none
		Entries   []*wire.LogEntry   // contiguous entries after the snapshot
		Torn      bool               // an incomplete last record was truncated
	}
)

// Open reads the data folder and opens the log for appending.
func Open(files Files) (*Store, *Loaded, error) {
	loaded := &Loaded{HardState: &wire.HardState{}}
	if err := readSnapshot(files, loaded); err != nil {
		return nil, nil, err
	}
	validSize, err := readLog(files, loaded)
	if err != nil {
		return nil, nil, err
	}
	s := &Store{files: files, size: validSize}
	if s.log, err = files.Append(logName); err != nil {
		return nil, nil, dataFolderError("open log", err)
	}
	if loaded.Torn {
		if err := s.log.Truncate(validSize); err != nil {
			return nil, nil, dataFolderError("truncate incomplete record", err)
		}
	}
	if err := errors.Join(s.log.Sync(), files.SyncDir()); err != nil {
		return nil, nil, dataFolderError("sync log", err)
	}
	return s, loaded, nil
}

func dataFolderError(operation string, err error) error {
	return fault.Wrap(fault.DataFolder, fmt.Errorf("%s: %w", operation, err))
}

func damagedLog(format string, args ...any) error {
	return fault.New(fault.DamagedLog, format, args...)
}

func readSnapshot(files Files, loaded *Loaded) error {
	data, err := files.Read(snapshotName)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return dataFolderError("read snapshot", err)
	}
	payload, rest, ok := decodeRecord(data)
	if !ok || len(rest) > 0 {
		return damagedLog("snapshot: checksum mismatch")
	}
	s := &wire.SnapshotFile{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return damagedLog("decode snapshot: %s", err)
	}
	loaded.Snapshot = s
	return nil
}

// readLog replays the log and returns the size in bytes of its valid part.
func readLog(files Files, loaded *Loaded) (int64, error) {
	data, err := files.Read(logName)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, dataFolderError("read log", err)
	}
	rest := data
	for len(rest) > 0 {
		payload, after, ok := decodeRecord(rest)
		if !ok {
			if !mayBeTornWrite(rest) {
				return 0, damagedLog("log record at byte %d is corrupt and is not the last one", len(data)-len(rest))
			}
			loaded.Torn = true
			break
		}
		r := &wire.Record{}
		if err := proto.Unmarshal(payload, r); err != nil {
			return 0, damagedLog("decode log record at byte %d: %s", len(data)-len(rest), err)
		}
		if err := loaded.replay(r); err != nil {
			return 0, err
		}
		rest = after
	}
	return int64(len(data) - len(rest)), nil
}

// mayBeTornWrite reports whether an invalid record may be an incomplete last
// write: its length reaches the end of the file or beyond, or only zero bytes
// remain.
func mayBeTornWrite(rest []byte) bool {
	if len(rest) < recordHeaderSize {
		return true
	}
	length := int(binary.LittleEndian.Uint32(rest))
	if recordHeaderSize+length >= len(rest) {
		return true
	}
	for _, b := range rest {
		if b != 0 {
			return false
		}
	}
	return true
}

func (l *Loaded) replay(r *wire.Record) error {
	if r.Hard != nil {
		l.HardState = r.Hard
	}
	if r.Cuts {
		l.truncateAfter(r.CutAfter)
	}
	for _, e := range r.Entries {
		if l.Snapshot != nil && e.Index <= l.Snapshot.Index {
			continue
		}
		if want := l.lastIndex() + 1; e.Index != want {
			return damagedLog("log entry has index %d, expected %d", e.Index, want)
		}
		l.Entries = append(l.Entries, e)
	}
	return nil
}

func (l *Loaded) lastIndex() uint64 {
	if n := len(l.Entries); n > 0 {
		return l.Entries[n-1].Index
	}
	if l.Snapshot != nil {
		return l.Snapshot.Index
	}
	return 0
}

func (l *Loaded) truncateAfter(index uint64) {
	for len(l.Entries) > 0 && l.Entries[len(l.Entries)-1].Index > index {
		l.Entries = l.Entries[:len(l.Entries)-1]
	}
}

// Append writes a record to the log and syncs it.
func (s *Store) Append(r *wire.Record) error {
	if s.failure != nil {
		return s.failure
	}
	data, err := encodeRecord(r)
	if err != nil {
		return err
	}
	if _, err := s.log.Write(data); err != nil {
		return s.fail("write log", err)
	}
	if err := s.log.Sync(); err != nil {
		return s.fail("sync log", err)
	}
	s.size += int64(len(data))
	return nil
}

// Size returns the bytes of the log file that were read by Open or written by
// Append; SaveSnapshot resets it to 0.
func (s *Store) Size() int64 { return s.size }

// fail makes all later writes return the error.
func (s *Store) fail(operation string, err error) error {
	s.failure = dataFolderError(operation, err)
	return s.failure
}

// SaveSnapshot replaces the snapshot, and then the log by one with only the
// entries after it. A crash in between leaves the old log, of which replay
// skips the entries that the snapshot covers.
func (s *Store) SaveSnapshot(snapshot *wire.SnapshotFile, hard *wire.HardState, after []*wire.LogEntry) error {
	if s.failure != nil {
		return s.failure
	}
	if err := replaceFile(s.files, nextSnapshotName, snapshotName, snapshot); err != nil {
		return s.fail("write snapshot", err)
	}
	if err := replaceFile(s.files, nextLogName, logName, &wire.Record{Hard: hard, Entries: after, Cuts: true, CutAfter: snapshot.Index}); err != nil {
		return s.fail("write new log", err)
	}
	old := s.log
	log, err := s.files.Append(logName)
	if err != nil {
		return s.fail("open log", err)
	}
	s.log = log
	s.size = 0
	return old.Close()
}

// replaceFile writes a message to the temporary file next, syncs it and renames
// it to name. It returns once the rename is durable.
func replaceFile(files Files, next, name string, m proto.Message) error {
	data, err := encodeRecord(m)
	if err != nil {
		return err
	}
	f, err := files.Create(next)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return errors.Join(files.Rename(next, name), files.SyncDir())
}

// SaveMessage atomically replaces a file of the folder by one checksummed
// message, and returns once it is durable. Errors are of kind DataFolder.
func SaveMessage(files Files, name string, m proto.Message) error {
	if err := replaceFile(files, name+".next", name, m); err != nil {
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

// Close closes the log.
func (s *Store) Close() error { return s.log.Close() }

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
