package node

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"oxbowsaddle/internal/announce"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// watchMost is how many control instances an entry watches at once. A
	// change that a majority of up to 13 holds reaches one of them.
	watchMost = 7
	// turnMost is how long a link waits until another has loaded its first
	// table: some hundred endpoints over a link of 2 Mbit/s.
	turnMost = 150 * time.Millisecond
)

// watch keeps links from an entry to the control instances: whichever can be
// reached tells what is in force, so that no single one can hold news back.
type watch struct {
	entry *Entry

	mu     sync.Mutex
	seeds  []string
	links  map[string]context.CancelFunc // by address
	listed map[string][]string           // by the address of the roster's sender
	heard  announce.Heard
	turn   chan struct{} // held by the link that loads its first table
}

func newWatch(e *Entry) *watch {
	return &watch{entry: e, links: map[string]context.CancelFunc{}, listed: map[string][]string{}, turn: make(chan struct{}, 1)}
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
			w.listed[source] = append(w.listed[source], c.Address)
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

// connect keeps links to whatever is a seed, listed by anybody in reach or has
// announced itself lately, and ends others. Links that stand are kept before others are begun, so that the
// bound does not make them change about.
func (w *watch) connect(ctx context.Context) {
	named := map[string]bool{}
	for _, address := range w.seeds {
		named[address] = true
	}
	for _, list := range w.listed {
		for _, address := range list {
			named[address] = true
		}
	}
	for _, addr := range w.heard.Recent(w.entry.config.Now()) {
		named[addr.String()] = true
	}
	for address, cancel := range w.links {
		if !named[address] {
			cancel()
			delete(w.links, address)
		}
	}
	for _, address := range slices.Sorted(maps.Keys(named)) {
		if w.links[address] == nil && len(w.links) < watchMost {
			linkCtx, cancel := context.WithCancel(ctx)
			w.links[address] = cancel
			go w.run(linkCtx, ctx, address)
		}
	}
}

// run keeps the link to one address up until ctx ends; all is the context of
// every link, which ends later.
func (w *watch) run(ctx, all context.Context, address string) {
	var pace redial
	for ctx.Err() == nil {
		err := w.follow(ctx, all, address, &pace)
		if ctx.Err() == nil && fault.KindOf(err) == fault.Unreachable {
			time.Sleep(redialAfter)
		}
	}
}

// follow takes what a control instance sends until the link fails.
func (w *watch) follow(ctx, all context.Context, address string, pace *redial) error {
	raw, err := pace.dial(ctx, w.entry.config.Dial, address, !w.entry.linked())
	if err != nil {
		return fault.Wrap(fault.Unreachable, err)
	}
	stream, done, err := openLink(ctx, raw)
	if err != nil {
		return err
	}
	defer done()
	pace.reached()
	w.entry.config.Log.Info("control instance reached", "control", address)
	loaded := w.awaitTurn(ctx)
	defer loaded()
	link := &entryLink{watch: w, address: address, stream: stream}
	err = link.serve(all, loaded)
	w.entry.forget(address)
	w.takeRoster(all, address, nil)
	if ctx.Err() == nil {
		w.entry.config.Log.Warn("control instance lost", "control", address, "error", err)
	}
	return err
}

// awaitTurn lets links load their first table one after the other, so that the
// first one is not held up by the others on a small link. It returns what
// gives the turn on; nobody waits for longer than turnMost.
func (w *watch) awaitTurn(ctx context.Context) (loaded func()) {
	select {
	case w.turn <- struct{}{}:
		return sync.OnceFunc(func() { <-w.turn })
	case <-time.After(turnMost):
	case <-ctx.Done():
	}
	return func() {}
}
