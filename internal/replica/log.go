package replica

import (
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// entryLog holds the last snapshot and the log entries after it.
type entryLog struct {
	snapIndex, snapTerm uint64
	snapState           []byte
	snapVoters          []string
	entries             []*wire.LogEntry
}

func newEntryLog(voters []string, loaded *storage.Loaded) entryLog {
	l := entryLog{snapVoters: voters, entries: loaded.Entries}
	if s := loaded.Snapshot; s != nil {
		l.snapIndex, l.snapTerm, l.snapState, l.snapVoters = s.Index, s.Term, s.State, s.Voters
	}
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.snapIndex + uint64(len(l.entries)) }

// term returns the term of the entry at an index, or 0 if it is unknown.
func (l *entryLog) term(index uint64) uint64 {
	if index == l.snapIndex {
		return l.snapTerm
	}
	if index < l.snapIndex || index > l.lastIndex() {
		return 0
	}
	return l.entries[index-l.snapIndex-1].Term
}

// between returns the entries after index after, up to and including upTo.
func (l *entryLog) between(after, upTo uint64) []*wire.LogEntry {
	if after < l.snapIndex || upTo <= after {
		return nil
	}
	return l.entries[after-l.snapIndex : min(upTo, l.lastIndex())-l.snapIndex]
}

func (l *entryLog) append(e *wire.LogEntry) { l.entries = append(l.entries, e) }

func (l *entryLog) truncateAfter(index uint64) {
	// Copied, since callers may hold slices of the old array.
	l.entries = append([]*wire.LogEntry(nil), l.entries[:index-l.snapIndex]...)
}

func (l *entryLog) compact(s *wire.SnapshotFile) {
	l.entries = append([]*wire.LogEntry(nil), l.entries[min(s.Index, l.lastIndex())-l.snapIndex:]...)
	l.snapIndex, l.snapTerm, l.snapState, l.snapVoters = s.Index, s.Term, s.State, s.Voters
}

func (l *entryLog) install(s *wire.SnapshotFile) {
	l.entries = nil
	l.snapIndex, l.snapTerm, l.snapState, l.snapVoters = s.Index, s.Term, s.State, s.Voters
}

// voters returns the voters listed by the last entry that changes them. Such an
// entry takes effect when appended, committed or not.
func (l *entryLog) voters() []string { return l.votersAt(l.lastIndex()) }

func (l *entryLog) votersAt(index uint64) []string {
	for i := min(index, l.lastIndex()); i > l.snapIndex; i-- {
		if v := l.entries[i-l.snapIndex-1].Voters; len(v) > 0 {
			return v
		}
	}
	return l.snapVoters
}

// votersIndex returns the index of the last entry that changes the voters.
func (l *entryLog) votersIndex() uint64 {
	for i := l.lastIndex(); i > l.snapIndex; i-- {
		if len(l.entries[i-l.snapIndex-1].Voters) > 0 {
			return i
		}
	}
	return l.snapIndex
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	lastTerm := l.term(l.lastIndex())
	return term > lastTerm || term == lastTerm && index >= l.lastIndex()
}
