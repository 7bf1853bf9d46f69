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

// controlTick is how often the loop looks for what is due: the grain of the
// replicated log's times.
const controlTick = 25 * time.Millisecond

type (
	// ControlConfig is what a control instance is told.
	ControlConfig struct {
		Domain string
		// Domains are all failure domains that there are; nil where that is not known.
		Domains []string
		Peer    netip.AddrPort   // listens for links
		Front   string           // where operators and endpoints call
		Seeds   []netip.AddrPort // peer addresses of other control instances
		First   bool             // the whole system starts for the first time
		// Files opens the data folder.
		Files  func() (storage.Files, error)
		Voters int           // wanted voters
		Beat   time.Duration // heartbeat period of endpoints
		Log    *log.Logger
		Dial   Dialer // DialTCP, but for tests
		Now    func() time.Time
	}

	// Control is a running control instance.
	Control struct {
		config    ControlConfig
		calls     chan func(now time.Time)
		published atomic.Pointer[published]
		status    atomic.Pointer[madeStatus]
		roster    atomic.Pointer[madeRoster]
		documents notifier
		endpoints *endpointList
		firstList *firstList
		audience  *announceTargets
		entries   *entryList
		timings   controlTimings
		peers     *peerLinks
		doubts    *suspicionBatcher
		malformed *malformedCalls
		judging   sync.Mutex // held while outliers is used
		outliers  *outlier.Tracker

		// Owned by loop.
		directory *directory.Directory // nil while the disk fails
		store     *storage.Store
		waiting   map[uint64]chan bool // by proposal; true once committed
		failed    bool                 // the disk failed and has not been opened since
		reopenAt  time.Time
		turnedAt  time.Time // of the loop's last turn
		resumedAt time.Time // when the loop went on after a standstill
	}
)

// NewControl returns a control instance that does not run yet.
func NewControl(c ControlConfig) *Control {
	const queue = 256
	control := &Control{
		config: c, calls: make(chan func(time.Time), queue), waiting: map[uint64]chan bool{},
		endpoints: newEndpointList(c), entries: newEntryList(c.Now), timings: newControlTimings(),
		outliers: outlier.New(), doubts: newSuspicionBatcher(c.Now), malformed: newMalformedCalls(),
	}
	control.endpoints.setRelay(false) // until it votes
	control.firstList = &firstList{endpoints: control.endpoints}
	control.audience = &announceTargets{now: c.Now}
	control.status.Store(&madeStatus{})
	control.published.Store(&published{})
	control.roster.Store(&madeRoster{roster: &wire.Roster{}})
	control.peers = newPeerLinks(control)
	return control
}

// Run serves until the context ends; an error at once is of kind AddressInUse
// where the peer address cannot be had.
func (c *Control) Run(ctx context.Context) error {
	links, err := newLinkServer(c.config.Peer.String(), &linkHandler{control: c}, &controlAnswers{control: c})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.run(ctx) })
	group.Go(func() error { return c.endpoints.loop(ctx) })
	for _, b := range []*batches{c.endpoints.whole, c.endpoints.brief, c.endpoints.peers} {
		group.Go(func() error { return b.loop(ctx) })
	}
	group.Go(func() error { return c.suspicionLoop(ctx) })
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.hintsLoop(ctx) })
	group.Go(func() error { return c.announceLoop(ctx) })
	return group.Wait()
}

// loop owns the directory and the disk.
func (c *Control) loop(ctx context.Context) error {
	c.peers.setSeeds(ctx, c.config.Seeds)
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	c.open(c.config.Now())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-c.calls:
			now := c.config.Now()
			c.noteStandstill(now)
			call(now)
		case <-ticker.C:
			c.tick(ctx)
		}
		if err := c.pump(); err != nil {
			c.config.Log.Error("data folder failed", "error", err, "next", fault.KindOf(err).Answer().NextStep())
			c.close(c.config.Now())
		}
	}
}

// tick does what is due: it tries a disk that failed again, or lets the
// directory and the links to others go on.
func (c *Control) tick(ctx context.Context) {
	now := c.config.Now()
	c.noteStandstill(now)
	if c.directory == nil {
		if !now.Before(c.reopenAt) {
			c.open(now)
		}
		return
	}
	c.directory.Tick(now)
	c.roster.Store(&madeRoster{c.directory.Roster(now), now})
	c.peers.connect(ctx, c.directory.Addresses())
}

// pump persists, sends and answers, in this order.
func (c *Control) pump() error {
	if c.directory == nil {
		return nil
	}
	ready, err := c.directory.Ready(c.config.Now())
	if err != nil {
		return err
	}
	if err := c.persistTimed(ready); err != nil {
		return err
	}
	for _, m := range ready.Log.Messages {
		c.peers.post(m)
	}
	c.publish()
	for _, index := range ready.Done {
		c.answer(index, true)
	}
	for _, index := range ready.Lost {
		c.answer(index, false)
	}
	return nil
}

// persistTimed persists and takes the time where there is something to write.
func (c *Control) persistTimed(ready directory.Ready) error {
	if ready.Log.Record == nil && ready.Log.Snapshot == nil {
		return c.persist(ready)
	}
	began := c.config.Now()
	err := c.persist(ready)
	observeSince(c.timings.sync, c.config.Now, began, err)
	return err
}

// answer tells whoever waits for a proposal whether it is committed.
func (c *Control) answer(index uint64, committed bool) {
	if w := c.waiting[index]; w != nil {
		w <- committed
		delete(c.waiting, index)
	}
}

// publish tells entries and callers what is in force, and logs what changed.
func (c *Control) publish() {
	now := c.config.Now()
	status, last := c.directory.Status(now), c.status.Load().status
	c.status.Store(&madeStatus{status, now})
	if status.Role != last.Role || status.Leader != last.Leader || status.Term != last.Term {
		c.config.Log.Info("log role", "id", status.Self, "role", status.Role, "leader", status.Leader, "term", status.Term, "commit", status.Commit)
	}
	if votes := slices.Contains(status.Voters, status.Self); votes != slices.Contains(last.Voters, last.Self) {
		c.endpoints.setRelay(votes)
	}
	if !slices.Equal(status.Voters, last.Voters) {
		c.config.Log.Info("voters", "voters", status.Voters, "before", last.Voters)
	}
	held := c.published.Load()
	next := held.with(c.directory.Document(), status.Evacuations, held.confirmed || status.Confirmed)
	if next == held {
		return
	}
	c.published.Store(next)
	c.documents.notify()
	if next.evacuations.Revision() > held.evacuations.Revision() {
		c.config.Log.Info("evacuations in force", "revision", next.evacuations.Revision(), "domains", next.evacuations.Domains())
	}
	if doc := next.document(); doc != nil && (doc != held.document() || next.confirmed != held.confirmed) {
		c.config.Log.Info("document in force", "version", doc.Version(), "routes", len(doc.Routes()), "confirmed", next.confirmed)
	}
}

// call runs f in the loop and waits for it. The error is of kind DataFolder
// while the disk fails, and NoQuorum where the loop takes too long.
func (c *Control) call(ctx context.Context, f func(now time.Time, d *directory.Directory)) error {
	done := make(chan error, 1)
	run := func(now time.Time) {
		if c.directory == nil {
			done <- fault.New(fault.DataFolder, "the data folder takes no writes")
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

// step hands a message of the log to the loop; one that finds the queue full
// is lost, which the log bears.
func (c *Control) step(m *wire.LogMessage) {
	c.post(func(now time.Time, d *directory.Directory) { d.Step(now, m) })
}

// hear hands the roster of another control instance to the loop.
func (c *Control) hear(roster *wire.Roster) {
	c.post(func(now time.Time, d *directory.Directory) { d.HandleRoster(now, roster) })
}

// post queues f for the loop without waiting; it is left out where the queue
// is full or the disk fails.
func (c *Control) post(f func(now time.Time, d *directory.Directory)) {
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

// SetSeeds takes other seeds, after the settings have changed.
func (c *Control) SetSeeds(ctx context.Context, seeds []netip.AddrPort) { c.peers.setSeeds(ctx, seeds) }

// Status returns what the instance believes. One whose loop has stood still
// for longer than a lease leads no more, whatever it believed last.
func (c *Control) Status() directory.Status {
	made := c.status.Load()
	s := made.status
	if c.config.Now().Sub(made.at) > directory.Lease {
		s.Current = false
	}
	return s
}
