// Package announce has control instances make themselves known to entries, in
// datagrams that carry their address. An entry that has lost everything knows
// the control instances its settings name, and of these none may be up, or none
// be a control instance any more; those that are up remember the entries. The
// package has no I/O, and now is an argument.
package announce

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// Tick is how often Due is asked.
	Tick = 20 * time.Millisecond
	// PerTick bounds the datagrams at once: 7,500 a second, 4% of a core (5 µs each
	// on loopback). All of 352 entries are told within 60 ms, 6,800 within a second.
	PerTick = 150
	// resendInterval is how soon an entry is told again, at the next Tick: entries start
	// within 0.2 s of each other, and what is told before is lost.
	resendInterval = 50 * time.Millisecond
	// announceDuration is how long an entry is told after it was linked last, or after the
	// control instance started: several times what a restart takes.
	announceDuration = 10 * time.Second
	// retention is how long an entry that is not linked is remembered, so that a
	// second loss of power soon after a first finds all of them.
	retention = time.Hour
	// maxEntries bounds how many are remembered, above the 6,800 nodes to design for:
	// one entry more has to find a seed.
	maxEntries = 10_000
	// pruneInterval is how often those that were not linked for long are looked for.
	pruneInterval = time.Minute
)

type (
	// Schedule says which entries a control instance announces itself to, and when.
	// The zero value knows none. One goroutine at a time uses it.
	Schedule struct {
		known     map[netip.AddrPort]*listener
		pending   []*listener // not linked, and told; looked through in turn
		next      int         // index in waiting
		changes   uint64
		nextPrune time.Time
	}

	// listener is where an entry listens for announcements.
	listener struct {
		addr          netip.AddrPort
		links         int
		unlinkedSince time.Time // when it was linked last, or remembered
		lastSent      time.Time
		pending       bool // it stands in Schedule.waiting
	}
)

// Remember takes entries that were known before a restart.
func (s *Schedule) Remember(now time.Time, addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if l := s.getOrAdd(now, addr); l != nil {
			s.enqueue(l)
		}
	}
}

// Linked notes that an entry has a link.
func (s *Schedule) Linked(now time.Time, addr netip.AddrPort) {
	if l := s.getOrAdd(now, addr); l != nil {
		l.links++
	}
}

// Unlinked notes that a link of an entry has ended.
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

// Due returns the entries to be told now, PerTick at most.
func (s *Schedule) Due(now time.Time) []netip.AddrPort {
	s.prune(now)
	var due []netip.AddrPort
	for range len(s.pending) {
		if len(due) == PerTick {
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

// Known returns the entries to remember over a restart, in order.
func (s *Schedule) Known() []netip.AddrPort {
	var all []netip.AddrPort
	for addr := range s.known {
		all = append(all, addr)
	}
	slices.SortFunc(all, netip.AddrPort.Compare)
	return all
}

// Len returns how many entries Known names.
func (s *Schedule) Len() int { return len(s.known) }

// Changes rises whenever what Known returns changes.
func (s *Schedule) Changes() uint64 { return s.changes }

// getOrAdd returns what is known of an entry, which begins now; nil where there
// is no room.
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

// enqueue has an entry told.
func (s *Schedule) enqueue(l *listener) {
	if !l.pending {
		l.pending = true
		s.pending = append(s.pending, l)
	}
}

// prune forgets, now and then, entries that were not linked for long.
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
