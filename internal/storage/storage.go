package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
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

type (
	// Store is the open log and snapshot. It is not safe for concurrent use.
	// After a failed write or sync every later one returns the same error, since
	// the contents of the disk are unknown.
	Store struct {
		files    Files
		log      *File
		size     int64 // of the log file in bytes
		tailSize int64 // of the log file right after the last snapshot, in bytes
		failure  error
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

// Size returns the size of the log file in bytes.
func (s *Store) Size() int64 { return s.size }

// TailSize returns the size of the log file in bytes right after the last
// SaveSnapshot, which kept the entries that the snapshot does not cover. It is 0
// if there was none since Open.
func (s *Store) TailSize() int64 { return s.tailSize }

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
	if _, err := replaceFile(s.files, nextSnapshotName, snapshotName, snapshot); err != nil {
		return s.fail("write snapshot", err)
	}
	size, err := replaceFile(s.files, nextLogName, logName, &wire.Record{Hard: hard, Entries: after, Cuts: true, CutAfter: snapshot.Index})
	if err != nil {
		return s.fail("write new log", err)
	}
	old := s.log
	log, err := s.files.Append(logName)
	if err != nil {
		return s.fail("open log", err)
	}
	s.log = log
	s.size, s.tailSize = size, size
	return old.Close()
}

// Close closes the log.
func (s *Store) Close() error { return s.log.Close() }
