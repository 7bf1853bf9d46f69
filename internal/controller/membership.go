package controller

import (
	"maps"
	"slices"
	"time"

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
		commands = append(commands, k.noteReturn(now, k.joining[name].Domain)...)
	}
	clear(k.joining)
	alive := k.aliveDomains(now)
	for _, m := range k.state.Table().Members() {
		have := k.members[m.Name()]
		if have != nil && now.Before(have.leaseUntil) || joins(change, m.Name()) {
			continue
		}
		if !alive[m.Domain()] && !m.Leaving() && !slices.Contains(k.state.Table().Cut(), m.Domain()) {
			alive[m.Domain()] = true // marked once
			commands = append(commands, suspect(&wire.Suspect{Domain: m.Domain()}))
		}
		change.Left = append(change.Left, m.Name())
		if have != nil {
			k.lost(have)
			delete(k.members, m.Name())
			k.assessor.Forget(m.Name())
		}
	}
	if len(change.Joined)+len(change.Left) > 0 {
		commands = append(commands, &wire.Command{Body: &wire.Command_Members{Members: change}})
	}
	return commands
}

func joins(change *wire.Members, name string) bool {
	return slices.ContainsFunc(change.Joined, func(m *wire.Member) bool { return m.Name == name })
}

// aliveDomains returns the domains of which an entry holds a lease.
func (k *Controller) aliveDomains(now time.Time) map[string]bool {
	alive := map[string]bool{}
	for _, m := range k.members {
		if now.Before(m.leaseUntil) {
			alive[m.domain] = true
		}
	}
	return alive
}

func suspect(s *wire.Suspect) *wire.Command {
	return &wire.Command{Body: &wire.Command_Suspect{Suspect: s}}
}

// noteReturn marks a domain that was cut off as one that can be asked again.
func (k *Controller) noteReturn(now time.Time, domain string) []*wire.Command {
	if !slices.Contains(k.state.Table().Cut(), domain) {
		return nil
	}
	if _, noted := k.returned[domain]; noted {
		return nil
	}
	k.returned[domain] = now
	return []*wire.Command{suspect(&wire.Suspect{Domain: domain, Returned: true})}
}

// returning ends the doubt about a domain that is back: once every entry has
// counted its flows since, the buckets that have flows elsewhere are opened
// and the domain is cleared.
func (k *Controller) returning(now time.Time) []*wire.Command {
	domains := k.state.Table().Returned()
	if len(domains) == 0 {
		clear(k.returned)
		return nil
	}
	for _, d := range domains {
		since, noted := k.returned[d]
		if !noted {
			k.returned[d] = now // marked under a former leader
			return nil
		}
		if now.Sub(since) < k.config.SettleAfter || !k.allCounted(now, k.state.Index()) {
			return nil
		}
	}
	commands := k.reopen()
	if len(commands) > 0 {
		return commands // first in force everywhere, then cleared
	}
	if k.active < k.state.Index() {
		return nil
	}
	for _, d := range domains {
		commands = append(commands, suspect(&wire.Suspect{Domain: d, Cleared: true}))
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
