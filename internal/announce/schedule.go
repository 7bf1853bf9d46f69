// Package announce lets control instances announce themselves to entries in
// datagrams that carry their address. An entry that restarts without state knows
// only the control instances in its settings, which may all be down or
// decommissioned, whereas the running ones still know the entries. The package
// performs no I/O, and callers pass in the current time.
package announce

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// TickInterval is the time between two calls of Due.
	TickInterval = 20 * time.Millisecond
	// MaxPerTick bounds the datagrams sent in one tick, so that announcing to a whole
	// fleet is spread over several ticks.
	MaxPerTick = 150
	// resendInterval is the minimum time between two datagrams to the same entry.
	// It is short because datagrams that arrive before the entry listens are lost.
	resendInterval = 50 * time.Millisecond
	// announceDuration is how long announcements are sent to an entry after its last
	// link ended or the control instance started. It covers a restart of the entry.
	announceDuration = 10 * time.Second
	// retention is how long an unlinked entry is remembered, so that all entries are
	// still known after a second power loss soon after the first.
	retention = time.Hour
	// maxEntries bounds the remembered entries. Entries beyond it must rely on
	// the control instances in their settings.
	maxEntries = 10_000
	// pruneInterval is the time between two searches for expired entries.
	pruneInterval = time.Minute
)

type (
	// Schedule decides to which entries a control instance announces itself, and
	// when. The zero value knows no entry. It is not safe for concurrent use.
	Schedule struct {
		known     map[netip.AddrPort]*listener
		pending   []*listener // unlinked entries that are sent announcements, in round-robin order
		next      int         // index in pending
		changes   uint64
		nextPrune time.Time
	}

	// listener is the address on which an entry receives announcements.
	listener struct {
		addr          netip.AddrPort
		links         int
		unlinkedSince time.Time // when its last link ended or it was first known
		lastSent      time.Time
		pending       bool // whether it is in Schedule.pending
	}
)

// Restore adds entries that were known before a restart.
func (s *Schedule) Restore(now time.Time, addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if l := s.getOrAdd(now, addr); l != nil {
			s.enqueue(l)
		}
	}
}

// Linked records a new link of an entry.
func (s *Schedule) Linked(now time.Time, addr netip.AddrPort) {
	if l := s.getOrAdd(now, addr); l != nil {
		l.links++
	}
}

// Unlinked records that a link of an entry has ended.
func (s *Schedule) Unlinked(now time.Time, addr netip.AddrPort) {
	l := s.known[addr]
	if l == nil || l.links == 0 {
		return
	}
	if l.links--; l.links == 0 {
		l.unlinkedSince = now
		s.enqueue(l)
	}
}

// Due returns the entries to send an announcement to now, at most MaxPerTick.
func (s *Schedule) Due(now time.Time) []netip.AddrPort {
	s.prune(now)
	var due []netip.AddrPort
	for range len(s.pending) {
		if len(due) == MaxPerTick {
			break
		}
		s.next %= len(s.pending)
		l := s.pending[s.next]
		if l.links > 0 || now.Sub(l.unlinkedSince) > announceDuration {
			l.pending = false
			s.pending = slices.Delete(s.pending, s.next, s.next+1)
			continue
		}
		s.next++
		if now.Sub(l.lastSent) >= resendInterval {
			l.lastSent = now
			due = append(due, l.addr)
		}
	}
	return due
}

// Known returns all remembered entries, sorted, to be stored across a restart.
func (s *Schedule) Known() []netip.AddrPort {
	var all []netip.AddrPort
	for addr := range s.known {
		all = append(all, addr)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Len returns the number of remembered entries.
func (s *Schedule) Len() int { return len(s.known) }

// Changes returns a counter that increases whenever the result of Known changes.
func (s *Schedule) Changes() uint64 { return s.changes }

// getOrAdd returns the listener at an address, adding it if it is unknown. It
// returns nil if the address is invalid or maxEntries is reached.
func (s *Schedule) getOrAdd(now time.Time, addr netip.AddrPort) *listener {
	if l := s.known[addr]; l != nil {
		return l
	}
	if !addr.IsValid() || len(s.known) >= maxEntries {
		return nil
	}
	if s.known == nil {
		s.known = map[netip.AddrPort]*listener{}
	}
	l := &listener{addr: addr, unlinkedSince: now}
	s.known[addr] = l
	s.changes++
	return l
}

// enqueue adds a listener to the pending list.
func (s *Schedule) enqueue(l *listener) {
	if !l.pending {
		l.pending = true
		s.pending = append(s.pending, l)
	}
}

// prune drops, once per pruneInterval, entries that have been unlinked for longer
// than retention.
func (s *Schedule) prune(now time.Time) {
	if now.Before(s.nextPrune) {
		return
	}
	s.nextPrune = now.Add(pruneInterval)
	for addr, l := range s.known {
		if l.links == 0 && now.Sub(l.unlinkedSince) > retention {
			delete(s.known, addr)
			s.changes++
		}
	}
}
