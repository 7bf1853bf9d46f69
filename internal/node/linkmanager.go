package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oxbowsaddle/internal/announce"
	"oxbowsaddle/internal/attachment"
	"oxbowsaddle/internal/wire"
)

const (
	// maxLoadStartWait and maxLoadWait bound how long a link waits for another link to start
	// and to finish loading its initial endpoint list.
	maxLoadStartWait = 150 * time.Millisecond
	maxLoadWait      = linkIdleTimeout
	// leaderlessTimeout is how long a control instance may be without a leader before
	// another one is used in addition. It exceeds the duration of an election.
	leaderlessTimeout = 2 * time.Second
	// unreachableRetryDelay is how long an address counts as unreachable after the last
	// failure if no link to it is being attempted.
	unreachableRetryDelay = 2 * time.Second
)

type (
	// linkManager maintains links from an entry to several control instances, so that no
	// single instance can delay an update.
	linkManager struct {
		entry  *Entry
		plan   attachment.Config
		jitter func() float64 // random numbers in [0, 1), for pauses

		mu        sync.Mutex
		seeds     []string
		links     map[string]*managedLink           // by address
		rosters   map[string][]attachment.Candidate // instances listed by each sender's roster, by its address
		announced announce.Cache
		failedAt  map[string]time.Time    // last failure by address
		backoffs  map[string]*dialBackoff // by address, kept when the link to it is stopped and started again
		loadSlot  chan struct{}           // held by the link that loads its initial endpoint list

		loadStarted atomic.Bool // the holder of loadSlot has received the first part of the list
	}

	// managedLink is the link that is maintained to one address.
	managedLink struct {
		cancel          context.CancelFunc
		backoff         *dialBackoff
		active          bool      // connected and subscribed to updates
		leaderlessSince time.Time // since when the instance has had no leader, zero if it has one
	}
)

func newLinkManager(e *Entry) *linkManager {
	return &linkManager{
		entry: e, plan: attachment.Config{Entry: e.config.Name, Domain: e.config.Domain, Links: attachment.RequiredLinks(e.config.ToleratedLosses)},
		links: map[string]*managedLink{}, rosters: map[string][]attachment.Candidate{}, failedAt: map[string]time.Time{},
		backoffs: map[string]*dialBackoff{}, jitter: rand.Float64,
		loadSlot: make(chan struct{}, 1),
	}
}

// setSeeds replaces the seed addresses from the settings.
func (m *linkManager) setSeeds(rootCtx context.Context, seeds []netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = nil
	for _, s := range seeds {
		m.seeds = append(m.seeds, s.String())
	}
	m.reconcileLocked(rootCtx)
}

// setRoster replaces the roster received from source; nil drops it, as source is unreachable.
func (m *linkManager) setRoster(rootCtx context.Context, source string, roster *wire.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.rosters, source)
	if roster != nil {
		for _, c := range roster.Instances {
			m.rosters[source] = append(m.rosters[source], attachment.Candidate{Address: c.Address, Domain: c.Domain})
		}
	}
	m.reconcileLocked(rootCtx)
}

// listed returns the control instances that rosters list.
func (m *linkManager) listed() []attachment.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := map[string]attachment.Candidate{}
	for _, list := range m.rosters {
		for _, c := range list {
			known[c.Address] = c
		}
	}
	return slices.Collect(maps.Values(known))
}

// reconcile starts and stops links as needed.
func (m *linkManager) reconcile(rootCtx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reconcileLocked(rootCtx)
}

// handleAnnouncement records the announcement of a control instance. The instance may be
// the only one reachable: after a power failure it may be up before any seed, and the
// settings may name seeds that have since been replaced.
func (m *linkManager) handleAnnouncement(rootCtx context.Context, now time.Time, addr netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.announced.Add(now, addr)
	m.reconcileLocked(rootCtx)
}

// setFollowsLeader records whether the instance at an address follows a leader.
func (m *linkManager) setFollowsLeader(address string, followsLeader bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	link := m.links[address]
	switch {
	case link == nil:
	case followsLeader:
		link.leaderlessSince = time.Time{}
	case link.leaderlessSince.IsZero():
		link.leaderlessSince = m.entry.config.Now()
	}
}

// candidates returns the seeds, the instances listed in rosters, and the senders of recent
// announcements.
func (m *linkManager) candidates(now time.Time) []attachment.Candidate {
	domains := map[string]string{}
	for _, address := range m.seeds {
		domains[address] = ""
	}
	for _, addr := range m.announced.Recent(now) {
		domains[addr.String()] = ""
	}
	for _, list := range m.rosters {
		for _, c := range list {
			domains[c.Address] = c.Domain
		}
	}
	all := make([]attachment.Candidate, 0, len(domains))
	for address, domain := range domains {
		all = append(all, attachment.Candidate{Address: address, Domain: domain})
	}
	return all
}

// usable reports whether the instance at an address is believed reachable and has, or may
// soon have, a leader.
func (m *linkManager) usable(now time.Time, address string) bool {
	link := m.links[address]
	if link != nil && link.active {
		return link.leaderlessSince.IsZero() || now.Sub(link.leaderlessSince) < leaderlessTimeout
	}
	at, lost := m.failedAt[address]
	return !lost || link == nil && now.Sub(at) >= unreachableRetryDelay
}

// reconcileLocked starts links to the targets among the candidates. A link to an instance
// that is no longer a target is stopped once enough links to targets are active. The caller
// holds mu.
func (m *linkManager) reconcileLocked(rootCtx context.Context) {
	now := m.entry.config.Now()
	candidates := m.candidates(now)
	chosen, healthy := map[string]bool{}, 0
	for _, address := range m.targets(now, candidates) {
		chosen[address] = true
		if link := m.links[address]; link == nil {
			m.startLink(rootCtx, address)
		} else if link.active && m.usable(now, address) {
			healthy++
		}
	}
	enough := healthy >= min(m.plan.Links, len(candidates))
	isCandidate := map[string]bool{}
	for _, c := range candidates {
		isCandidate[c.Address] = true
	}
	for address, link := range m.links {
		if !isCandidate[address] || !chosen[address] && (enough || !link.active && m.anyActive()) {
			link.cancel()
			delete(m.links, address)
		}
	}
	maps.DeleteFunc(m.failedAt, func(address string, _ time.Time) bool { return !isCandidate[address] })
	maps.DeleteFunc(m.backoffs, func(address string, _ *dialBackoff) bool { return !isCandidate[address] })
}

// preferred returns the candidates whose links should be active: unusable ones are included,
// together with their substitutes.
func (m *linkManager) preferred(now time.Time, candidates []attachment.Candidate) []string {
	return m.plan.Choose(candidates, func(address string) bool { return m.usable(now, address) })
}

// targets returns the addresses to maintain links to: the preferred candidates and, while no
// link is active, all seeds and the senders of recent announcements.
func (m *linkManager) targets(now time.Time, candidates []attachment.Candidate) []string {
	chosen := m.preferred(now, candidates)
	if m.anyActive() {
		return chosen
	}
	chosen = append(chosen, m.seeds...)
	for _, addr := range m.announced.Recent(now) {
		chosen = append(chosen, addr.String())
	}
	return chosen
}

// anyActive reports whether any link is active.
func (m *linkManager) anyActive() bool {
	for _, link := range m.links {
		if link.active {
			return true
		}
	}
	return false
}

// startLink starts a goroutine that maintains a link to an address.
func (m *linkManager) startLink(rootCtx context.Context, address string) {
	linkCtx, cancel := context.WithCancel(rootCtx)
	if m.backoffs[address] == nil {
		m.backoffs[address] = &dialBackoff{}
	}
	link := &managedLink{cancel: cancel, backoff: m.backoffs[address]}
	m.links[address] = link
	go m.runLink(linkCtx, rootCtx, address, link)
}

// activate marks the link to an address as active if the address is preferred, or if a
// roster has been seen on the link before and no link is active yet. It reports whether the
// link is now active. ctx is the context of the link, rootCtx the parent of all links.
func (m *linkManager) activate(ctx, rootCtx context.Context, address string, rosterSeen bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	link := m.links[address]
	if link == nil || ctx.Err() != nil {
		return false
	}
	now := m.entry.config.Now()
	if !slices.Contains(m.preferred(now, m.candidates(now)), address) && (!rosterSeen || m.anyActive()) {
		return false
	}
	link.active, link.leaderlessSince = true, time.Time{}
	delete(m.failedAt, address)
	m.reconcileLocked(rootCtx)
	return true
}

// markUnreachable records that an address is unreachable and starts links to others if needed.
func (m *linkManager) markUnreachable(rootCtx context.Context, address string, link *managedLink) {
	m.mu.Lock()
	defer m.mu.Unlock()
	link.active = false
	m.failedAt[address] = m.entry.config.Now()
	m.reconcileLocked(rootCtx)
}
