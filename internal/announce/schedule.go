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
	// every is how soon an entry is told again, at the next Tick: entries start
	// within 0.2 s of each other, and what is told before is lost.
	every = 50 * time.Millisecond
	// tellFor is how long an entry is told after it was linked last, or after the
	// control instance started: several times what a restart takes.
	tellFor = 10 * time.Second
	// keepFor is how long an entry that is not linked is remembered, so that a
	// second loss of power soon after a first finds all of them.
	keepFor = time.Hour
	// keepMost bounds how many are remembered, above the 6,800 nodes to design for:
	// one entry more has to find a seed.
	keepMost = 10_000
	// forgetEvery is how often those that were not linked for long are looked for.
	forgetEvery = time.Minute
)

type (
	// Schedule says which entries a control instance announces itself to, and when.
	// The zero value knows none. One goroutine at a time uses it.
	Schedule struct {
		known    map[netip.AddrPort]*listener
		waiting  []*listener // not linked, and told; looked through in turn
		next     int         // index in waiting
		changes  uint64
		forgetAt time.Time
	}

	// listener is where an entry listens for announcements.
	listener struct {
		addr     netip.AddrPort
		links    int
		since    time.Time // when it was linked last, or remembered
		toldAt   time.Time
		awaiting bool // it stands in Schedule.waiting
	}
)

// Remember takes entries that were known before a restart.
func (s *Schedule) Remember(now time.Time, addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if l := s.listener(now, addr); l != nil {
			s.await(l)
		}
	}
}

// Linked notes that an entry has a link.
func (s *Schedule) Linked(now time.Time, addr netip.AddrPort) {
	if l := s.listener(now, addr); l != nil {
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
		l.since = now
		s.await(l)
	}
}

// Due returns the entries to be told now, PerTick at most.
func (s *Schedule) Due(now time.Time) []netip.AddrPort {
	s.forget(now)
	var due []netip.AddrPort
	for range len(s.waiting) {
		if len(due) == PerTick {
			break
		}
		s.next %= len(s.waiting)
		l := s.waiting[s.next]
		if l.links > 0 || now.Sub(l.since) > tellFor {
			l.awaiting = false
			s.waiting = slices.Delete(s.waiting, s.next, s.next+1)
			continue
		}
		s.next++
		if now.Sub(l.toldAt) >= every {
			l.toldAt = now
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

// listener returns what is known of an entry, which begins now; nil where there
// is no room.
func (s *Schedule) listener(now time.Time, addr netip.AddrPort) *listener {
	if l := s.known[addr]; l != nil {
		return l
	}
	if !addr.IsValid() || len(s.known) >= keepMost {
		return nil
	}
	if s.known == nil {
		s.known = map[netip.AddrPort]*listener{}
	}
	l := &listener{addr: addr, since: now}
	s.known[addr] = l
	s.changes++
	return l
}

// await has an entry told.
func (s *Schedule) await(l *listener) {
	if !l.awaiting {
		l.awaiting = true
		s.waiting = append(s.waiting, l)
	}
}

// forget forgets, now and then, entries that were not linked for long.
func (s *Schedule) forget(now time.Time) {
	if now.Before(s.forgetAt) {
		return
	}
	s.forgetAt = now.Add(forgetEvery)
	for addr, l := range s.known {
		if l.links == 0 && now.Sub(l.since) > keepFor {
			delete(s.known, addr)
			s.changes++
		}
	}
}
