package node

import (
	"context"
	"maps"
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
	// maxLoadStartWait is how long a link waits until another one has begun to load its first
	// table, and turnLoads until that has come: the list of the largest fleet, over its
	// links.
	maxLoadStartWait = 150 * time.Millisecond
	maxLoadWait      = linkIdle
	// leaderlessTimeout is for how long a control instance must say that it hears no leader
	// before another one is used beside it: longer than an election.
	leaderlessTimeout = 2 * time.Second
	// unreachableRetryDelay is how long an address that could not be reached, and is no longer
	// tried, counts as out of reach.
	unreachableRetryDelay = 2 * time.Second
)

type (
	// linkManager keeps links from an entry to a few control instances: whichever can be
	// reached tells what is in force, so that no single one can hold news back.
	linkManager struct {
		entry *Entry
		plan  attachment.Config

		mu        sync.Mutex
		seeds     []string
		links     map[string]*managedLink           // by address, those that are kept up
		rosters   map[string][]attachment.Candidate // by the address of the roster's sender
		announced announce.Heard
		failedAt  map[string]time.Time // when an address was found out of reach
		loadSlot  chan struct{}        // held by the link that loads its first table

		loadStarted atomic.Bool // it has begun to come
	}

	// managedLink is the link that is kept up to one address.
	managedLink struct {
		cancel          context.CancelFunc
		active          bool      // it stands and carries what is told
		leaderlessSince time.Time // since when the instance has heard no leader, zero where it has
	}
)

func newLinkManager(e *Entry) *linkManager {
	return &linkManager{
		entry: e, plan: attachment.Config{Entry: e.config.Name, Domain: e.config.Domain, Links: attachment.Links(e.config.Losses)},
		links: map[string]*managedLink{}, rosters: map[string][]attachment.Candidate{}, failedAt: map[string]time.Time{},
		loadSlot: make(chan struct{}, 1),
	}
}

// setSeeds takes the addresses that the settings name now.
func (w *linkManager) setSeeds(rootCtx context.Context, seeds []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = nil
	for _, s := range seeds {
		w.seeds = append(w.seeds, s.String())
	}
	w.reconcileLocked(rootCtx)
}

// setRoster takes the roster of a control instance; nil is that it is out of reach.
func (w *linkManager) setRoster(rootCtx context.Context, source string, roster *wire.Roster) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.rosters, source)
	if roster != nil {
		for _, c := range roster.Instances {
			w.rosters[source] = append(w.rosters[source], attachment.Candidate{Address: c.Address, Domain: c.Domain})
		}
	}
	w.reconcileLocked(rootCtx)
}

// reconcile looks whether links are wanted that do not stand.
func (w *linkManager) reconcile(rootCtx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reconcileLocked(rootCtx)
}

// handleAnnouncement takes that a control instance has announced itself. After a
// loss of power it may be up before any seed, and after an exchange of the seeds
// none of those that the settings name may be one.
func (w *linkManager) handleAnnouncement(rootCtx context.Context, now time.Time, addr netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced.Take(now, addr)
	w.reconcileLocked(rootCtx)
}

// setFollowsLeader takes whether the instance at an address follows a leader.
func (w *linkManager) setFollowsLeader(address string, followsLeader bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := w.links[address]
	switch {
	case link == nil:
	case followsLeader:
		link.leaderlessSince = time.Time{}
	case link.leaderlessSince.IsZero():
		link.leaderlessSince = w.entry.config.Now()
	}
}

// candidates returns whatever is a seed, listed by anybody in reach or has announced
// itself lately.
func (w *linkManager) candidates(now time.Time) []attachment.Candidate {
	domains := map[string]string{}
	for _, address := range w.seeds {
		domains[address] = ""
	}
	for _, addr := range w.announced.Recent(now) {
		domains[addr.String()] = ""
	}
	for _, list := range w.rosters {
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

// usable reports whether the instance at an address may be counted on, as far as known.
func (w *linkManager) usable(now time.Time, address string) bool {
	link := w.links[address]
	if link != nil && link.active {
		return link.leaderlessSince.IsZero() || now.Sub(link.leaderlessSince) < leaderlessTimeout
	}
	at, lost := w.failedAt[address]
	return !lost || link == nil && now.Sub(at) >= unreachableRetryDelay
}

// reconcileLocked keeps links to the control instances that are chosen among the candidates.
// One that is no longer chosen ends only once those that are carry what is told.
func (w *linkManager) reconcileLocked(rootCtx context.Context) {
	now := w.entry.config.Now()
	candidates := w.candidates(now)
	chosen, healthy := map[string]bool{}, 0
	for _, address := range w.targets(now, candidates) {
		chosen[address] = true
		if link := w.links[address]; link == nil {
			w.startLink(rootCtx, address)
		} else if link.active && w.usable(now, address) {
			healthy++
		}
	}
	enough := healthy >= min(w.plan.Links, len(candidates))
	isCandidate := map[string]bool{}
	for _, c := range candidates {
		isCandidate[c.Address] = true
	}
	for address, link := range w.links {
		if !isCandidate[address] || !chosen[address] && (enough || !link.active && w.anyActive()) {
			link.cancel()
			delete(w.links, address)
		}
	}
	maps.DeleteFunc(w.failedAt, func(address string, _ time.Time) bool { return !isCandidate[address] })
}

// preferred returns where links are to be used, those out of use beside them.
func (w *linkManager) preferred(now time.Time, candidates []attachment.Candidate) []string {
	return w.plan.Choose(candidates, func(address string) bool { return w.usable(now, address) })
}

// targets returns where links are kept to: while nothing is told by any, also to all seeds
// and to whatever has announced itself lately.
func (w *linkManager) targets(now time.Time, candidates []attachment.Candidate) []string {
	chosen := w.preferred(now, candidates)
	if w.anyActive() {
		return chosen
	}
	chosen = append(chosen, w.seeds...)
	for _, addr := range w.announced.Recent(now) {
		chosen = append(chosen, addr.String())
	}
	return chosen
}

// anyActive reports whether any link carries what is anyActive.
func (w *linkManager) anyActive() bool {
	for _, link := range w.links {
		if link.active {
			return true
		}
	}
	return false
}

// startLink has a link to an address kept up.
func (w *linkManager) startLink(rootCtx context.Context, address string) {
	linkCtx, cancel := context.WithCancel(rootCtx)
	link := &managedLink{cancel: cancel}
	w.links[address] = link
	go w.maintainLink(linkCtx, rootCtx, address, link)
}

// activate has the link to an address carry what is told from now on, and reports whether
// it is to: it is chosen, or it has been there for a while and no link does yet. Ctx is
// that of the link, all that of every link.
func (w *linkManager) activate(ctx, rootCtx context.Context, address string, rosterSeen bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := w.links[address]
	if link == nil || ctx.Err() != nil {
		return false
	}
	now := w.entry.config.Now()
	if !slices.Contains(w.preferred(now, w.candidates(now)), address) && (!rosterSeen || w.anyActive()) {
		return false
	}
	link.active, link.leaderlessSince = true, time.Time{}
	delete(w.failedAt, address)
	w.reconcileLocked(rootCtx)
	return true
}

// markUnreachable notes that an address is out of reach, and has another one tried.
func (w *linkManager) markUnreachable(rootCtx context.Context, address string, link *managedLink) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link.active = false
	w.failedAt[address] = w.entry.config.Now()
	w.reconcileLocked(rootCtx)
}
