package controller

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// membership lists entries that have come and drops those whose lease has run
// out. A domain that is lost whole may only be cut off and serve by itself, so
// it is marked before its entries are dropped.
func (k *Controller) membership(now time.Time) []*wire.Command {
	var commands []*wire.Command
	change := &wire.Members{}
	for _, name := range slices.Sorted(maps.Keys(k.joining)) {
		change.Joined = append(change.Joined, k.joining[name])
	}
	clear(k.joining)
	alive := k.aliveDomains(now)
	commands = append(commands, k.noteReturns(now, alive)...)
	for _, m := range k.state.Table().Members() {
		if k.stopping[m.Name()] {
			change.Stopped = append(change.Stopped, m.Name())
			k.assessor.RemoveChecker(m.Name())
			continue
		}
		have := k.members[m.Name()]
		if have != nil && now.Before(k.staysUntil(have)) || joins(change, m.Name()) {
			continue
		}
		if !alive[m.Domain()] && !m.Leaving() && !slices.Contains(k.state.Table().Cut(), m.Domain()) {
			alive[m.Domain()] = true // marked once
			k.cutOff[m.Domain()] = k.livesIn(m.Domain())
			delete(k.returned, m.Domain())
			commands = append(commands, suspect(&wire.Suspect{Domain: m.Domain()}))
		}
		change.Left = append(change.Left, m.Name())
		if have != nil {
			k.lost(have)
			delete(k.members, m.Name())
			k.assessor.RemoveChecker(m.Name())
		}
	}
	clear(k.stopping)
	if len(change.Joined)+len(change.Left)+len(change.Stopped) > 0 {
		commands = append(commands, &wire.Command{Body: &wire.Command_Members{Members: change}})
	}
	return commands
}

// staysUntil returns until when an entry stays listed: while it has a lease,
// and long enough after a beat to apply what it lacks and get its first one.
func (k *Controller) staysUntil(m *member) time.Time {
	heard := m.lastBeat.Add(k.config.Lease + k.config.Margin)
	if heard.After(m.leaseUntil) {
		return heard
	}
	return m.leaseUntil
}

// livesIn returns the incarnations of a domain's entries by name.
func (k *Controller) livesIn(domain string) map[string]uint64 {
	lives := map[string]uint64{}
	for _, m := range k.state.Table().Members() {
		if m.Domain() == domain {
			lives[m.Name()] = m.Incarnation()
		}
	}
	return lives
}

func joins(change *wire.Members, name string) bool {
	return slices.ContainsFunc(change.Joined, func(m *wire.Member) bool { return m.Name == name })
}

// aliveDomains returns the domains of which an entry is heard.
func (k *Controller) aliveDomains(now time.Time) map[string]bool {
	alive := map[string]bool{}
	for _, m := range k.members {
		if now.Before(k.staysUntil(m)) {
			alive[m.domain] = true
		}
	}
	return alive
}

func suspect(s *wire.Suspect) *wire.Command {
	return &wire.Command{Body: &wire.Command_Suspect{Suspect: s}}
}

// noteReturns marks each domain that was lost whole and of which an entry
// holds a lease again as one that can be asked.
func (k *Controller) noteReturns(now time.Time, alive map[string]bool) []*wire.Command {
	var commands []*wire.Command
	for _, domain := range k.state.Table().Cut() {
		if alive[domain] {
			k.returned[domain] = &comeback{since: now, index: k.state.Index()}
			commands = append(commands, suspect(&wire.Suspect{Domain: domain, Returned: true}))
		}
	}
	return commands
}

// returning ends the doubt about domains that are back: once every entry has
// counted its flows since, the buckets that have flows elsewhere are opened,
// and when that is in force everywhere the domain is cleared.
func (k *Controller) returning(now time.Time) []*wire.Command {
	domains := k.state.Table().Returned()
	if len(domains) == 0 {
		clear(k.returned)
		return nil
	}
	for _, d := range domains {
		if !k.counted(now, d) {
			return nil
		}
	}
	commands := k.reopen()
	for _, d := range domains {
		back := k.returned[d]
		if len(commands) > 0 || back.openedAt == 0 {
			back.openedAt = k.state.Index() + uint64(len(commands))
		} else if k.active >= back.openedAt {
			whole := k.sameLives(d)
			commands = append(commands, suspect(&wire.Suspect{Domain: d, Cleared: whole, Lost: !whole}))
		}
	}
	return commands
}

// counted reports whether all flows of a domain that is back are known.
func (k *Controller) counted(now time.Time, domain string) bool {
	back := k.returned[domain]
	if back == nil {
		back = &comeback{since: now, index: k.state.Index()} // marked under a former leader
		k.returned[domain] = back
	}
	waited := now.Sub(back.since)
	return waited >= k.config.SettleAfter && k.allCounted(now, back.index) &&
		(k.allBack(domain) || waited >= k.config.ReturnWait)
}

// allBack reports whether every entry that a domain had when it was lost is
// listed again. Under a leader that did not see the loss it cannot be known.
func (k *Controller) allBack(domain string) bool {
	lives, known := k.cutOff[domain]
	for name := range lives {
		if _, listed := k.state.Table().Member(name); !listed {
			return false
		}
	}
	return known
}

// sameLives reports whether all of them live the life that they had then.
func (k *Controller) sameLives(domain string) bool {
	lives, known := k.cutOff[domain]
	for name, incarnation := range lives {
		if m, listed := k.state.Table().Member(name); !listed || m.Incarnation() != incarnation {
			return false
		}
	}
	return known
}

// mourning ends the doubt about what lost entries of a cut domain knew: after
// one idle limit every flow of theirs has been reset or is over.
func (k *Controller) mourning(now time.Time) []*wire.Command {
	domains := k.state.Table().Bereft()
	if len(domains) == 0 {
		clear(k.bereft)
		return nil
	}
	var idle time.Duration
	k.state.Table().Services(func(s *route.Service) { idle = max(idle, s.Policy().Idle) })
	var commands []*wire.Command
	for _, d := range domains {
		since, known := k.bereft[d]
		if !known {
			k.bereft[d] = now
		} else if now.Sub(since) >= idle+k.config.SettleAfter {
			commands = append(commands, suspect(&wire.Suspect{Domain: d, Cleared: true}))
		}
	}
	return commands
}

// reopen returns commands that open the settled buckets of which an entry
// still sees flows on another endpoint.
func (k *Controller) reopen() []*wire.Command {
	buckets := map[uint32][]uint32{}
	for _, m := range k.members {
		for key, r := range m.rows {
			s := k.state.Table().Service(key.service)
			if s == nil || r.flows == 0 {
				continue
			}
			if _, open := s.Transition(key.bucket); !open && !slices.Contains(buckets[key.service], key.bucket) {
				buckets[key.service] = append(buckets[key.service], key.bucket)
			}
		}
	}
	var commands []*wire.Command
	for _, service := range slices.Sorted(maps.Keys(buckets)) {
		slices.Sort(buckets[service])
		commands = append(commands, &wire.Command{Body: &wire.Command_Reopen{
			Reopen: &wire.Reopen{Service: service, Buckets: buckets[service]},
		}})
	}
	return commands
}

// allCounted reports whether every entry with a lease has counted its flows
// since an index was applied.
func (k *Controller) allCounted(now time.Time, since uint64) bool {
	for _, m := range k.members {
		if now.Before(m.leaseUntil) && (!m.heard || m.counted < since) {
			return false
		}
	}
	return true
}
