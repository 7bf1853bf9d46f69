package controller

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// membershipCommands lists entries that have come and drops those whose lease has run
// out. A domain that is lost whole may only be cut off and serve by itself, so
// it is marked before its entries are dropped.
func (k *Controller) membershipCommands(now time.Time) []*wire.Command {
	var commands []*wire.Command
	change := &wire.Members{}
	for _, name := range slices.Sorted(maps.Keys(k.joining)) {
		change.Joined = append(change.Joined, k.joining[name])
	}
	clear(k.joining)
	aliveDomains := k.aliveDomains(now)
	commands = append(commands, k.markReturned(now, aliveDomains)...)
	for _, m := range k.state.Table().Members() {
		if k.stopped[m.Name()] {
			change.Stopped = append(change.Stopped, m.Name())
			k.assessor.Forget(m.Name())
			continue
		}
		known := k.members[m.Name()]
		if known != nil && now.Before(k.listedUntil(known)) || isJoining(change, m.Name()) {
			continue
		}
		if !aliveDomains[m.Domain()] && !m.Leaving() && !slices.Contains(k.state.Table().Cut(), m.Domain()) {
			aliveDomains[m.Domain()] = true // marked once
			k.lostIncarnations[m.Domain()] = k.incarnationsIn(m.Domain())
			delete(k.returnedDomains, m.Domain())
			commands = append(commands, suspectCommand(&wire.Suspect{Domain: m.Domain()}))
		}
		change.Left = append(change.Left, m.Name())
		if known != nil {
			k.memberLost(known)
			delete(k.members, m.Name())
			k.assessor.Forget(m.Name())
		}
	}
	clear(k.stopped)
	if len(change.Joined)+len(change.Left)+len(change.Stopped) > 0 {
		commands = append(commands, &wire.Command{Body: &wire.Command_Members{Members: change}})
	}
	return commands
}

// listedUntil returns until when an entry stays listed: while it has a lease,
// and long enough after a beat to apply what it lacks and get its first one.
func (k *Controller) listedUntil(m *member) time.Time {
	beatDeadline := m.lastBeat.Add(k.config.Lease + k.config.Margin)
	if beatDeadline.After(m.leaseUntil) {
		return beatDeadline
	}
	return m.leaseUntil
}

// incarnationsIn returns the incarnations of a domain's entries by name.
func (k *Controller) incarnationsIn(domain string) map[string]uint64 {
	incarnations := map[string]uint64{}
	for _, m := range k.state.Table().Members() {
		if m.Domain() == domain {
			incarnations[m.Name()] = m.Incarnation()
		}
	}
	return incarnations
}

func isJoining(change *wire.Members, name string) bool {
	return slices.ContainsFunc(change.Joined, func(m *wire.Member) bool { return m.Name == name })
}

// aliveDomains returns the domains of which an entry is heard.
func (k *Controller) aliveDomains(now time.Time) map[string]bool {
	domains := map[string]bool{}
	for _, m := range k.members {
		if now.Before(k.listedUntil(m)) {
			domains[m.domain] = true
		}
	}
	return domains
}

func suspectCommand(s *wire.Suspect) *wire.Command {
	return &wire.Command{Body: &wire.Command_Suspect{Suspect: s}}
}

// markReturned marks each domain that was lost whole and of which an entry
// holds a lease again as one that can be asked.
func (k *Controller) markReturned(now time.Time, aliveDomains map[string]bool) []*wire.Command {
	var commands []*wire.Command
	for _, domain := range k.state.Table().Cut() {
		if aliveDomains[domain] {
			k.returnedDomains[domain] = &returnedDomain{returnedAt: now, returnIndex: k.state.Index()}
			commands = append(commands, suspectCommand(&wire.Suspect{Domain: domain, Returned: true}))
		}
	}
	return commands
}

// resolveReturned ends the doubt about domains that are back: once every entry has
// counted its flows since, the buckets that have flows elsewhere are opened,
// and when that is in force everywhere the domain is cleared.
func (k *Controller) resolveReturned(now time.Time) []*wire.Command {
	domains := k.state.Table().Returned()
	if len(domains) == 0 {
		clear(k.returnedDomains)
		return nil
	}
	for _, d := range domains {
		if !k.domainCounted(now, d) {
			return nil
		}
	}
	commands := k.reopenCommands()
	for _, d := range domains {
		returned := k.returnedDomains[d]
		if len(commands) > 0 || returned.reopenIndex == 0 {
			returned.reopenIndex = k.state.Index() + uint64(len(commands))
		} else if k.activeIndex >= returned.reopenIndex {
			noLoss := k.sameIncarnations(d)
			commands = append(commands, suspectCommand(&wire.Suspect{Domain: d, Cleared: noLoss, Lost: !noLoss}))
		}
	}
	return commands
}

// domainCounted reports whether all flows of a domain that is back are known.
func (k *Controller) domainCounted(now time.Time, domain string) bool {
	returned := k.returnedDomains[domain]
	if returned == nil {
		returned = &returnedDomain{returnedAt: now, returnIndex: k.state.Index()} // marked under a former leader
		k.returnedDomains[domain] = returned
	}
	waited := now.Sub(returned.returnedAt)
	return waited >= k.config.SettleAfter && k.allMembersCounted(now, returned.returnIndex) &&
		(k.allMembersReturned(domain) || waited >= k.config.ReturnWait)
}

// allMembersReturned reports whether every entry that a domain had when it was lost is
// listed again. Under a leader that did not see the loss it cannot be known.
func (k *Controller) allMembersReturned(domain string) bool {
	incarnations, known := k.lostIncarnations[domain]
	for name := range incarnations {
		if _, listed := k.state.Table().Member(name); !listed {
			return false
		}
	}
	return known
}

// sameIncarnations reports whether all of them live the life that they had then.
func (k *Controller) sameIncarnations(domain string) bool {
	incarnations, known := k.lostIncarnations[domain]
	for name, incarnation := range incarnations {
		if m, listed := k.state.Table().Member(name); !listed || m.Incarnation() != incarnation {
			return false
		}
	}
	return known
}

// resolveLosses ends the doubt about what lost entries of a cut domain knew: after
// one idle limit every flow of theirs has been reset or is over.
func (k *Controller) resolveLosses(now time.Time) []*wire.Command {
	domains := k.state.Table().Bereft()
	if len(domains) == 0 {
		clear(k.lossSince)
		return nil
	}
	var maxIdle time.Duration
	k.state.Table().Services(func(s *route.Service) { maxIdle = max(maxIdle, s.Policy().Idle) })
	var commands []*wire.Command
	for _, d := range domains {
		since, known := k.lossSince[d]
		if !known {
			k.lossSince[d] = now
		} else if now.Sub(since) >= maxIdle+k.config.SettleAfter {
			commands = append(commands, suspectCommand(&wire.Suspect{Domain: d, Cleared: true}))
		}
	}
	return commands
}

// reopenCommands returns commands that open the settled buckets of which an entry
// still sees flows on another endpoint.
func (k *Controller) reopenCommands() []*wire.Command {
	buckets := map[uint32][]uint32{}
	for _, m := range k.members {
		for key, r := range m.counts {
			s := k.state.Table().Service(key.service)
			if s == nil || r.flows == 0 {
				continue
			}
			if _, inTransition := s.Transition(key.bucket); !inTransition && !slices.Contains(buckets[key.service], key.bucket) {
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

// allMembersCounted reports whether every entry with a lease has counted its flows
// since an index was applied.
func (k *Controller) allMembersCounted(now time.Time, since uint64) bool {
	for _, m := range k.members {
		if now.Before(m.leaseUntil) && (!m.beatReceived || m.countedIndex < since) {
			return false
		}
	}
	return true
}
