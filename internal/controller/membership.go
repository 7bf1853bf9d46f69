package controller

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// membershipCommands lists entries that joined and removes those that stopped or
// whose lease expired. A domain of which all entries expired may be partitioned and
// still serving by itself, so it is marked before its entries are removed.
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
			k.assessor.RemoveChecker(m.Name())
			continue
		}
		known := k.members[m.Name()]
		if known != nil && now.Before(k.listedUntil(known)) || isJoining(change, m.Name()) {
			continue
		}
		if !aliveDomains[m.Domain()] && !m.Leaving() && !slices.Contains(k.state.Table().Partitioned(), m.Domain()) {
			aliveDomains[m.Domain()] = true // mark the domain only once
			k.lostIncarnations[m.Domain()] = k.incarnationsIn(m.Domain())
			delete(k.returnedDomains, m.Domain())
			commands = append(commands, suspectCommand(&wire.Suspect{Domain: m.Domain()}))
		}
		change.Left = append(change.Left, m.Name())
		if known != nil {
			k.memberLost(known)
			delete(k.members, m.Name())
			k.assessor.RemoveChecker(m.Name())
		}
	}
	clear(k.stopped)
	if len(change.Joined)+len(change.Left)+len(change.Stopped) > 0 {
		commands = append(commands, &wire.Command{Body: &wire.Command_Members{Members: change}})
	}
	return commands
}

// listedUntil returns when an entry is removed from the members: at the end of its
// lease, or one lease after its last heartbeat if that is later, so that an entry
// without a lease has time to catch up with the log.
func (k *Controller) listedUntil(m *member) time.Time {
	heartbeatDeadline := m.lastHeartbeat.Add(k.config.Lease + k.config.ClockMargin)
	if heartbeatDeadline.After(m.leaseUntil) {
		return heartbeatDeadline
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

// aliveDomains returns the domains with at least one entry that hasn't expired.
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

// markReturned marks each partitioned domain that has a live entry as reachable again.
func (k *Controller) markReturned(now time.Time, aliveDomains map[string]bool) []*wire.Command {
	var commands []*wire.Command
	for _, domain := range k.state.Table().Partitioned() {
		if aliveDomains[domain] {
			k.returnedDomains[domain] = &returnedDomain{returnedAt: now, returnIndex: k.state.Index()}
			commands = append(commands, suspectCommand(&wire.Suspect{Domain: domain, Returned: true}))
		}
	}
	return commands
}

// resolveReturned resolves domains that are reachable again. Once every entry has
// counted its flows since the return, it reopens the buckets with flows on other
// endpoints. When that is active, it clears the marks of the domains.
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

// domainCounted reports whether all flows of a returned domain have been counted.
func (k *Controller) domainCounted(now time.Time, domain string) bool {
	returned := k.returnedDomains[domain]
	if returned == nil {
		returned = &returnedDomain{returnedAt: now, returnIndex: k.state.Index()} // marked under an earlier leader
		k.returnedDomains[domain] = returned
	}
	waited := now.Sub(returned.returnedAt)
	return waited >= k.config.SettleAfter && k.allMembersCounted(now, returned.returnIndex) &&
		(k.allMembersReturned(domain) || waited >= k.config.ReturnTimeout)
}

// allMembersReturned reports whether every entry that a domain had when it was
// partitioned is listed again. It is false if that happened under an earlier leader.
func (k *Controller) allMembersReturned(domain string) bool {
	incarnations, known := k.lostIncarnations[domain]
	for name := range incarnations {
		if _, listed := k.state.Table().Member(name); !listed {
			return false
		}
	}
	return known
}

// sameIncarnations reports whether every entry that a domain had when it was
// partitioned is listed with the same incarnation, and so still has its records.
func (k *Controller) sameIncarnations(domain string) bool {
	incarnations, known := k.lostIncarnations[domain]
	for name, incarnation := range incarnations {
		if m, listed := k.state.Table().Member(name); !listed || m.Incarnation() != incarnation {
			return false
		}
	}
	return known
}

// resolveLosses clears the marks of domains that returned without the records of
// failed entries. After one idle timeout, all flows of these records have ended or
// been reset.
func (k *Controller) resolveLosses(now time.Time) []*wire.Command {
	domains := k.state.Table().ReturnedWithLoss()
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

// reopenCommands returns commands that put settled buckets in transition for which
// an entry reports flows on another endpoint.
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
// since it applied an index.
func (k *Controller) allMembersCounted(now time.Time, since uint64) bool {
	for _, m := range k.members {
		if now.Before(m.leaseUntil) && (!m.heartbeatReceived || m.countedIndex < since) {
			return false
		}
	}
	return true
}
