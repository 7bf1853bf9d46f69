package node

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/outlier"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// controlTickInterval is the interval of the periodic work of Control.loop, and so the
// resolution of the timeouts of the replicated log.
const controlTickInterval = 25 * time.Millisecond

type (
	// ControlConfig configures a Control.
	ControlConfig struct {
		Domain string
		// Domains are all existing failure domains; nil if unknown.
		Domains    []string
		PeerAddr   netip.AddrPort   // listens for links of entries and peers
		Front      string           // address for operators and endpoints
		Seeds      []netip.AddrPort // peer addresses of other control instances
		FirstStart bool             // whether the whole fleet starts for the first time
		// OpenFiles opens the data folder.
		OpenFiles         func() (storage.Files, error)
		Voters            int           // number of voters to maintain
		HeartbeatInterval time.Duration // of endpoints
		AdmissionControl  bool          // whether the instance allocates credits to entries
		Log               *log.Logger
		Dial              Dialer // DialTCP outside tests
		Now               func() time.Time
	}

	// Control is a running control instance.
	Control struct {
		config           ControlConfig
		calls            chan func(now time.Time)       // run by loop
		published        atomic.Pointer[publishedState] // state that entries receive
		status           atomic.Pointer[timedStatus]
		roster           atomic.Pointer[timedRoster]
		publishedChanges notifier // notifies of changes of published
		endpoints        *endpointList
		initialList      *initialList
		announceTargets  *announceTargets
		entries          *entryList
		timings          controlTimings
		peers            *peerLinks
		suspicions       *suspicionBatcher
		malformed        *malformedCalls
		allocation       *allocation // nil unless admission control is on
		outliersMu       sync.Mutex  // guards outliers
		outliers         *outlier.Tracker

		// Used by the goroutine of loop only.
		directory        *directory.Directory // nil while the disk has failed
		store            *storage.Store
		pendingProposals map[uint64]chan bool // receives whether the proposal was committed, by log index
		diskFailed       bool                 // the disk failed and has not been reopened since
		reopenAt         time.Time
		lastIterationAt  time.Time // last iteration of loop
		resumedAt        time.Time // end of the last stall of loop
	}
)

// NewControl returns a control instance; Run starts it.
func NewControl(c ControlConfig) *Control {
	const maxQueuedCalls = 256
	control := &Control{
		config: c, calls: make(chan func(time.Time), maxQueuedCalls), pendingProposals: map[uint64]chan bool{},
		endpoints: newEndpointList(c), entries: newEntryList(c.Now), timings: newControlTimings(),
		outliers: outlier.New(), suspicions: newSuspicionBatcher(c.Now), malformed: newMalformedCalls(),
	}
	control.endpoints.setRelay(false) // until the instance is a voter
	control.initialList = &initialList{endpoints: control.endpoints}
	control.announceTargets = &announceTargets{now: c.Now}
	control.status.Store(&timedStatus{})
	control.published.Store(&publishedState{})
	control.roster.Store(&timedRoster{roster: &wire.Roster{}})
	control.peers = newPeerLinks(control)
	if c.AdmissionControl {
		control.allocation = newAllocation(control.endpoints, control.isEvacuated)
	}
	return control
}

// Run serves until the context is done. It returns an error of kind AddressInUse if it cannot
// listen on the peer address.
func (c *Control) Run(ctx context.Context) error {
	links, err := newLinkServer(c.config.PeerAddr.String(), &linkHandler{control: c}, &controlAPI{control: c}, c.config.Log)
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.run(ctx) })
	group.Go(func() error { return c.endpoints.loop(ctx) })
	for _, b := range []*batchLog{c.endpoints.fullBatches, c.endpoints.summaryBatches, c.endpoints.peerBatches} {
		group.Go(func() error { return b.loop(ctx) })
	}
	group.Go(func() error { return c.suspicionLoop(ctx) })
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.hintsLoop(ctx) })
	group.Go(func() error { return c.announceLoop(ctx) })
	if c.allocation != nil {
		group.Go(func() error { return c.allocation.lists.loop(ctx) })
		group.Go(func() error { return c.allocationLoop(ctx) })
		group.Go(func() error { return c.poolLogLoop(ctx) })
	}
	return group.Wait()
}

// loop is the goroutine that owns the directory and the disk.
func (c *Control) loop(ctx context.Context) error {
	c.peers.setSeeds(ctx, c.config.Seeds)
	ticker := time.NewTicker(controlTickInterval)
	defer ticker.Stop()
	c.openDisk(c.config.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-c.calls:
			now := c.config.Now()
			c.detectStall(now)
			call(now)
		case <-ticker.C:
			c.tick(ctx)
		}
		if err := c.processReady(); err != nil {
			c.config.Log.Error("data folder failed", "error", err, "next", fault.KindOf(err).Answer().NextStep())
			c.closeDisk(c.config.Now())
		}
	}
}

// tick runs the periodic work: it reopens a failed disk, or advances the directory and
// updates the links to peers.
func (c *Control) tick(ctx context.Context) {
	now := c.config.Now()
	c.detectStall(now)
	if c.directory == nil {
		if !now.Before(c.reopenAt) {
			c.openDisk(now)
		}
		return
	}
	c.directory.Tick(now)
	c.roster.Store(&timedRoster{c.directory.Roster(now), now})
	c.peers.connect(ctx, c.directory.Addresses())
}

// processReady persists the new log entries, then sends messages, then resolves proposals.
// The order matters: nothing may be sent or acknowledged before it is on disk.
func (c *Control) processReady() error {
	if c.directory == nil {
		return nil
	}
	ready, err := c.directory.Ready(c.config.Now())
	if err != nil {
		return err
	}
	if err := c.persistAndObserve(ready); err != nil {
		return err
	}
	for _, m := range ready.Log.Messages {
		c.peers.queueMessage(m)
	}
	c.publish()
	for _, index := range ready.Done {
		c.resolveProposal(index, true)
	}
	for _, index := range ready.Lost {
		c.resolveProposal(index, false)
	}
	return nil
}

// persistAndObserve calls persist and records the duration if there was something to write.
func (c *Control) persistAndObserve(ready directory.Ready) error {
	if ready.Log.Record == nil && ready.Log.Snapshot == nil {
		return c.persist(ready)
	}
	start := c.config.Now()
	err := c.persist(ready)
	observeSince(c.timings.sync, c.config.Now, start, err)
	return err
}

// resolveProposal reports to the caller that waits for a proposal whether it was committed.
func (c *Control) resolveProposal(index uint64, committed bool) {
	if w := c.pendingProposals[index]; w != nil {
		w <- committed
		delete(c.pendingProposals, index)
	}
}

// publish makes the latest state available to entries and callers, and logs what has changed.
func (c *Control) publish() {
	now := c.config.Now()
	status, last := c.directory.Status(now), c.status.Load().status
	c.status.Store(&timedStatus{status, now})
	if status.Role != last.Role || status.Leader != last.Leader || status.Term != last.Term {
		c.config.Log.Info("log role", "id", status.Self, "role", status.Role, "leader", status.Leader, "term", status.Term, "commit", status.Commit)
	}
	if votes := slices.Contains(status.Voters, status.Self); votes != slices.Contains(last.Voters, last.Self) {
		c.endpoints.setRelay(votes)
	}
	if !slices.Equal(status.Voters, last.Voters) {
		c.config.Log.Info("voters", "voters", status.Voters, "before", last.Voters)
	}
	current := c.published.Load()
	next := current.with(c.directory.Document(), status.Evacuations, current.confirmed || status.Confirmed)
	if next == current {
		return
	}
	c.published.Store(next)
	c.publishedChanges.notify()
	if next.evacuations.Revision() > current.evacuations.Revision() {
		c.config.Log.Info("evacuations in force", "revision", next.evacuations.Revision(), "domains", next.evacuations.Domains())
	}
	if doc := next.document(); doc != nil && (doc != current.document() || next.confirmed != current.confirmed) {
		c.config.Log.Info("document in force", "version", doc.Version(), "routes", len(doc.Routes()), "confirmed", next.confirmed)
	}
}

// call runs f in the loop and waits for it. The error is of kind DataFolder while the disk
// has failed, and of kind NoQuorum if ctx is done before f has run.
func (c *Control) call(ctx context.Context, f func(now time.Time, d *directory.Directory)) error {
	done := make(chan error, 1)
	run := func(now time.Time) {
		if c.directory == nil {
			done <- fault.New(fault.DataFolder, "the data folder is not writable")
			return
		}
		f(now, c.directory)
		done <- nil
	}
	select {
	case c.calls <- run:
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "the control instance is busy")
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "the control instance is busy")
	}
}

// handleLogMessage queues a message of the replicated log for the loop. It is dropped if the
// queue is full, which the log tolerates.
func (c *Control) handleLogMessage(m *wire.LogMessage) {
	c.enqueue(func(now time.Time, d *directory.Directory) { d.Step(now, m) })
}

// handleRoster queues the roster of a peer for the loop. It is dropped if the queue is full.
func (c *Control) handleRoster(roster *wire.Roster) {
	c.enqueue(func(now time.Time, d *directory.Directory) { d.HandleRoster(now, roster) })
}

// enqueue queues f for the loop without blocking. f is dropped if the queue is full or the
// disk has failed.
func (c *Control) enqueue(f func(now time.Time, d *directory.Directory)) {
	run := func(now time.Time) {
		if c.directory != nil {
			f(now, c.directory)
		}
	}
	select {
	case c.calls <- run:
	default:
	}
}

// SetSeeds replaces the seeds after a change of the settings.
func (c *Control) SetSeeds(ctx context.Context, seeds []netip.AddrPort) { c.peers.setSeeds(ctx, seeds) }

// Status returns the last known state of the fleet. If the loop has been stalled for longer
// than a lease, the instance no longer counts as the current leader.
func (c *Control) Status() directory.Status {
	latest := c.status.Load()
	s := latest.status
	if c.config.Now().Sub(latest.at) > directory.Lease {
		s.Current = false
	}
	return s
}
