package node

import (
	"slices"
	"strings"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

type (
	// entryList holds the entries that are linked to a control instance, for
	// operators: nothing is decided by it.
	entryList struct {
		now func() time.Time

		mu      sync.Mutex
		entries map[string]linkedEntry // by name
	}

	// linkedEntry is what an entry said of itself last.
	linkedEntry struct {
		feed        *entryFeed
		version     uint64
		evacuations uint64 // their revision
		heard       time.Time
	}
)

func newEntryList(now func() time.Time) *entryList {
	return &entryList{now: now, entries: map[string]linkedEntry{}}
}

// heard notes which version, and which evacuations, an entry has in force.
func (l *entryList) heard(f *entryFeed, inForce *wire.Receipt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[f.name] = linkedEntry{f, inForce.Version, inForce.Evacuations, l.now()}
}

// lost drops an entry, unless it has another link by now.
func (l *entryList) lost(f *entryFeed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[f.name].feed == f {
		delete(l.entries, f.name)
	}
}

// count returns how many entries are linked.
func (l *entryList) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// members returns the entries by name.
func (l *entryList) members() []*wire.MemberStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []*wire.MemberStatus
	for name, e := range l.entries {
		all = append(all, &wire.MemberStatus{
			Name: name, Domain: e.feed.domain, Applied: e.version, SilentNanos: int64(l.now().Sub(e.heard)), Leased: true,
			Evacuations: e.evacuations,
		})
	}
	slices.SortFunc(all, func(a, b *wire.MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}
