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
	// turnMost is how long a link waits until another one has begun to load its first
	// table, and turnLoads until that has come: the list of the largest fleet, over its
	// links.
	turnMost  = 150 * time.Millisecond
	turnLoads = linkIdle
	// behindAfter is for how long a control instance must say that it hears no leader
	// before another one is used beside it: longer than an election.
	behindAfter = 2 * time.Second
	// tryAgainAfter is how long an address that could not be reached, and is no longer
	// tried, counts as out of reach.
	tryAgainAfter = 2 * time.Second
)

type (
	// watch keeps links from an entry to a few control instances: whichever can be
	// reached tells what is in force, so that no single one can hold news back.
	watch struct {
		entry *Entry
		plan  attachment.Config

		mu     sync.Mutex
		seeds  []string
		links  map[string]*watched               // by address, those that are kept up
		listed map[string][]attachment.Candidate // by the address of the roster's sender
		heard  announce.Heard
		lost   map[string]time.Time // when an address was found out of reach
		turn   chan struct{}        // held by the link that loads its first table

		loading atomic.Bool // it has begun to come
	}

	// watched is the link that is kept up to one address.
	watched struct {
		cancel context.CancelFunc
		used   bool      // it stands and carries what is told
		behind time.Time // since when the instance has heard no leader, zero where it has
	}
)

func newWatch(e *Entry) *watch {
	return &watch{
		entry: e, plan: attachment.Config{Entry: e.config.Name, Domain: e.config.Domain, Links: attachment.Links(e.config.Losses)},
		links: map[string]*watched{}, listed: map[string][]attachment.Candidate{}, lost: map[string]time.Time{},
		turn: make(chan struct{}, 1),
	}
}

// setSeeds takes the addresses that the settings name now.
func (w *watch) setSeeds(ctx context.Context, seeds []netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seeds = nil
	for _, s := range seeds {
		w.seeds = append(w.seeds, s.String())
	}
	w.connect(ctx)
}

// takeRoster takes the roster of a control instance; nil is that it is out of reach.
func (w *watch) takeRoster(ctx context.Context, source string, roster *wire.Roster) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.listed, source)
	if roster != nil {
		for _, c := range roster.Instances {
			w.listed[source] = append(w.listed[source], attachment.Candidate{Address: c.Address, Domain: c.Domain})
		}
	}
	w.connect(ctx)
}

// reconnect looks whether links are wanted that do not stand.
func (w *watch) reconnect(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connect(ctx)
}

// takeAnnouncement takes that a control instance has announced itself. After a
// loss of power it may be up before any seed, and after an exchange of the seeds
// none of those that the settings name may be one.
func (w *watch) takeAnnouncement(ctx context.Context, now time.Time, addr netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard.Take(now, addr)
	w.connect(ctx)
}

// noteCurrent takes whether the instance at an address follows a leader.
func (w *watch) noteCurrent(address string, current bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := w.links[address]
	switch {
	case link == nil:
	case current:
		link.behind = time.Time{}
	case link.behind.IsZero():
		link.behind = w.entry.config.Now()
	}
}

// candidates returns whatever is a seed, listed by anybody in reach or has announced
// itself lately.
func (w *watch) candidates(now time.Time) []attachment.Candidate {
	domains := map[string]string{}
	for _, address := range w.seeds {
		domains[address] = ""
	}
	for _, addr := range w.heard.Recent(now) {
		domains[addr.String()] = ""
	}
	for _, list := range w.listed {
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
func (w *watch) usable(now time.Time, address string) bool {
	link := w.links[address]
	if link != nil && link.used {
		return link.behind.IsZero() || now.Sub(link.behind) < behindAfter
	}
	at, lost := w.lost[address]
	return !lost || link == nil && now.Sub(at) >= tryAgainAfter
}

// connect keeps links to the control instances that are chosen among the candidates.
// One that is no longer chosen ends only once those that are carry what is told.
func (w *watch) connect(ctx context.Context) {
	now := w.entry.config.Now()
	candidates := w.candidates(now)
	chosen, standing := map[string]bool{}, 0
	for _, address := range w.choose(now, candidates) {
		chosen[address] = true
		if link := w.links[address]; link == nil {
			w.begin(ctx, address)
		} else if link.used && w.usable(now, address) {
			standing++
		}
	}
	enough := standing >= min(w.plan.Links, len(candidates))
	named := map[string]bool{}
	for _, c := range candidates {
		named[c.Address] = true
	}
	for address, link := range w.links {
		if !named[address] || !chosen[address] && (enough || !link.used && w.told()) {
			link.cancel()
			delete(w.links, address)
		}
	}
	maps.DeleteFunc(w.lost, func(address string, _ time.Time) bool { return !named[address] })
}

// planned returns where links are to be used, those out of use beside them.
func (w *watch) planned(now time.Time, candidates []attachment.Candidate) []string {
	return w.plan.Choose(candidates, func(address string) bool { return w.usable(now, address) })
}

// choose returns where links are kept to: while nothing is told by any, also to all seeds
// and to whatever has announced itself lately.
func (w *watch) choose(now time.Time, candidates []attachment.Candidate) []string {
	chosen := w.planned(now, candidates)
	if w.told() {
		return chosen
	}
	chosen = append(chosen, w.seeds...)
	for _, addr := range w.heard.Recent(now) {
		chosen = append(chosen, addr.String())
	}
	return chosen
}

// told reports whether any link carries what is told.
func (w *watch) told() bool {
	for _, link := range w.links {
		if link.used {
			return true
		}
	}
	return false
}

// begin has a link to an address kept up.
func (w *watch) begin(ctx context.Context, address string) {
	linkCtx, cancel := context.WithCancel(ctx)
	link := &watched{cancel: cancel}
	w.links[address] = link
	go w.run(linkCtx, ctx, address, link)
}

// use has the link to an address carry what is told from now on, and reports whether
// it is to: it is chosen, or it has been there for a while and no link does yet. Ctx is
// that of the link, all that of every link.
func (w *watch) use(ctx, all context.Context, address string, waited bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	link := w.links[address]
	if link == nil || ctx.Err() != nil {
		return false
	}
	now := w.entry.config.Now()
	if !slices.Contains(w.planned(now, w.candidates(now)), address) && (!waited || w.told()) {
		return false
	}
	link.used, link.behind = true, time.Time{}
	delete(w.lost, address)
	w.connect(all)
	return true
}

// fail notes that an address is out of reach, and has another one tried.
func (w *watch) fail(ctx context.Context, address string, link *watched) {
	w.mu.Lock()
	defer w.mu.Unlock()
	link.used = false
	w.lost[address] = w.entry.config.Now()
	w.connect(ctx)
}
