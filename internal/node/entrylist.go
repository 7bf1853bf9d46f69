package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

type (
	// entryList holds the state of the entries that are linked to a control instance, for
	// operators' commands, for metrics, and for sending suspicions to the entries.
	entryList struct {
		now func() time.Time

		mu      sync.Mutex
		entries map[string]linkedEntry // by name
	}

	// linkedEntry is the state in the last receipt of an entry.
	linkedEntry struct {
		feed        *entryFeed
		version     uint64    // document version in force
		evacuations uint64    // revision of the evacuations in force
		receiptAt   time.Time // time of the last receipt
	}
)

func newEntryList(now func() time.Time) *entryList {
	return &entryList{now: now, entries: map[string]linkedEntry{}}
}

// recordReceipt records the document version and the evacuations in force at an entry.
func (l *entryList) recordReceipt(f *entryFeed, receipt *wire.Receipt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[f.name] = linkedEntry{f, receipt.Version, receipt.Evacuations, l.now()}
}

// remove removes an entry, unless it has a newer link.
func (l *entryList) remove(f *entryFeed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[f.name].feed == f {
		delete(l.entries, f.name)
	}
}

// count returns the number of linked entries.
func (l *entryList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// memberStatuses returns the status of the linked entries, sorted by name.
func (l *entryList) memberStatuses() []*wire.MemberStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*wire.MemberStatus
	for name, e := range l.entries {
		all = append(all, &wire.MemberStatus{
			Name: name, Domain: e.feed.domain, Applied: e.version, SilentNanos: int64(l.now().Sub(e.receiptAt)), Leased: true,
			Evacuations: e.evacuations,
		})
	}
	slices.SortFunc(all, func(a, b *wire.MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}
