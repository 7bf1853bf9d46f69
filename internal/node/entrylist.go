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

		mu       sync.Mutex
		entries  map[string]linkedEntry // by name
		byDomain map[string]int         // number of entries by failure domain
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
	return &entryList{now: now, entries: map[string]linkedEntry{}, byDomain: map[string]int{}}
}

// recordReceipt records the document version and the evacuations in force at an entry.
func (l *entryList) recordReceipt(f *entryFeed, receipt *wire.Receipt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(f.name)
	l.byDomain[f.domain]++
	l.entries[f.name] = linkedEntry{f, receipt.Version, receipt.Evacuations, l.now()}
}

// remove removes an entry, unless it has a newer link.
func (l *entryList) remove(f *entryFeed) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.entries[f.name].feed == f {
		l.forget(f.name)
	}
}

// forget removes the entry of a name, if there is one, from the list and the counts.
func (l *entryList) forget(name string) {
	e, found := l.entries[name]
	if !found {
		return
	}
	delete(l.entries, name)
	if l.byDomain[e.feed.domain]--; l.byDomain[e.feed.domain] == 0 {
		delete(l.byDomain, e.feed.domain)
	}
}

// countInDomain returns the number of linked entries of a failure domain. The number is kept up
// to date and not counted here, as each feed asks for it with each roster.
func (l *entryList) countInDomain(domain string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byDomain[domain]
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
