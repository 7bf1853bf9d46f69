package node

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

const (
	// controlTick is the grain of the log's times.
	controlTick = 25 * time.Millisecond
	// callMost is how long an order or a leave may wait for its confirmation:
	// callers turn elsewhere after a second.
	callMost = 800 * time.Millisecond
	// leaderPoll is how often an order looks for a leader.
	leaderPoll = 40 * time.Millisecond
	// compactAt is the size of the log file at which a snapshot is taken.
	compactAt = 1 << 20
	// documentsKept is how many versions are remembered to send only what
	// differs: an entry that is further behind is sent the whole.
	documentsKept = 8
	// reopenAfter is the pause before a disk that failed is tried again.
	reopenAfter = 250 * time.Millisecond
)

type (
	// ControlConfig is what a control instance is told.
	ControlConfig struct {
		Domain string
		Peer   netip.AddrPort   // listens for links
		Front  string           // where operators and endpoints call
		Seeds  []netip.AddrPort // peer addresses of other control instances
		First  bool             // the whole system starts for the first time
		Data   string           // data folder
		Voters int              // wanted voters
		Beat   time.Duration    // heartbeat period of endpoints
		Log    *log.Logger
		Now    func() time.Time
	}

	// published is what entries are told of the document: the one in force
	// is the last, before it some that entries may still hold.
	published struct {
		documents []*document.Document
		confirmed bool
		frames    sync.Map // *wire.DocumentFrame by the version that an entry holds
	}

	// Control is a running control instance.
	Control struct {
		config    ControlConfig
		calls     chan func(now time.Time)
		published atomic.Pointer[published]
		status    atomic.Pointer[directory.Status]
		roster    atomic.Pointer[wire.Roster]
		documents notifier
		endpoints *endpointList
		peers     *peerLinks

		// Owned by loop.
		directory *directory.Directory // nil while the disk fails
		store     *storage.Store
		waiting   map[uint64]chan bool // by proposal; true once committed
		reopenAt  time.Time
	}
)

// NewControl returns a control instance that does not run yet.
func NewControl(c ControlConfig) *Control {
	const queue = 256
	control := &Control{
		config: c, calls: make(chan func(time.Time), queue), endpoints: newEndpointList(c), waiting: map[uint64]chan bool{},
	}
	control.status.Store(&directory.Status{})
	control.published.Store(&published{})
	control.roster.Store(&wire.Roster{})
	control.peers = newPeerLinks(control)
	return control
}

// Run serves until the context ends.
func (c *Control) Run(ctx context.Context) error {
	links, err := newLinkServer(c.config.Peer.String(), &linkHandler{control: c})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return links.run(ctx) })
	group.Go(func() error { return c.endpoints.loop(ctx) })
	group.Go(func() error { return c.loop(ctx) })
	group.Go(func() error { return c.hintsLoop(ctx) })
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
			call(c.config.Now())
		case <-ticker.C:
			c.tick(ctx)
		}
		if err := c.pump(); err != nil {
			c.config.Log.Error("data folder failed", "error", err, "next", fault.KindOf(err).Answer().NextStep())
			c.close(c.config.Now())
		}
	}
}

func (c *Control) tick(ctx context.Context) {
	now := c.config.Now()
	if c.directory == nil {
		if !now.Before(c.reopenAt) {
			c.open(now)
		}
		return
	}
	c.directory.Tick(now)
	c.roster.Store(c.directory.Roster(now))
	c.peers.connect(ctx, c.directory.Addresses())
}

// open reads the data folder; where that fails it is tried again later.
func (c *Control) open(now time.Time) {
	c.reopenAt = now.Add(reopenAfter)
	files, err := storage.Folder(c.config.Data)
	if err != nil {
		c.config.Log.Error("data folder cannot be opened", "error", err)
		return
	}
	identity, err := loadIdentity(files, c.config)
	if err != nil {
		c.config.Log.Error("identity cannot be kept", "error", err)
		return
	}
	store, loaded, err := storage.Open(files)
	if err != nil {
		c.config.Log.Error("log cannot be opened", "error", err, "next", fault.KindOf(err).Answer().NextStep())
		return
	}
	d, err := directory.New(directory.Config{
		Self: identity.Id, Address: c.config.Peer.String(), Front: c.config.Front, Domain: c.config.Domain,
		Founders: identity.Founders, Voters: c.config.Voters, Committed: c.loadHints(files).Commit, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, now, loaded)
	if err != nil {
		c.config.Log.Error("log cannot be used", "error", err)
		return
	}
	c.store, c.directory = store, d
	c.config.Log.Info("log opened", "id", identity.Id, "founders", identity.Founders, "entries", len(loaded.Entries),
		"term", loaded.Hard.Term, "torn", loaded.Torn)
}

// close gives the disk up until it can be opened again, as after a crash.
func (c *Control) close(now time.Time) {
	_ = c.store.Close() // it has failed already
	c.store, c.directory, c.reopenAt = nil, nil, now.Add(reopenAfter)
	c.status.Store(&directory.Status{})
	for index := range c.waiting {
		c.answer(index, false)
	}
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
	if err := c.persist(ready); err != nil {
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

func (c *Control) persist(ready directory.Ready) error {
	if s := ready.Log.Snapshot; s != nil {
		hard := &wire.HardState{Term: c.directory.Status(c.config.Now()).Term}
		if r := ready.Log.Record; r != nil && r.Hard != nil {
			hard = r.Hard
		}
		if err := c.store.SaveSnapshot(s, hard, nil); err != nil {
			return err
		}
	}
	if ready.Log.Record != nil {
		if err := c.store.Append(ready.Log.Record); err != nil {
			return err
		}
	}
	if c.store.Size() < compactAt {
		return nil
	}
	file, hard, after, err := c.directory.Compact()
	if err != nil || file == nil {
		return err
	}
	return c.store.SaveSnapshot(file, hard, after)
}

func (c *Control) answer(index uint64, committed bool) {
	if w := c.waiting[index]; w != nil {
		w <- committed
		delete(c.waiting, index)
	}
}

// publish tells entries and callers what is in force, and logs what changed.
func (c *Control) publish() {
	status, last := c.directory.Status(c.config.Now()), c.status.Load()
	c.status.Store(&status)
	if status.Role != last.Role || status.Leader != last.Leader || status.Term != last.Term {
		c.config.Log.Info("log role", "id", status.Self, "role", status.Role, "leader", status.Leader, "term", status.Term, "commit", status.Commit)
	}
	if !slices.Equal(status.Voters, last.Voters) {
		c.config.Log.Info("voters", "voters", status.Voters, "before", last.Voters)
	}
	held := c.published.Load()
	next := held.with(c.directory.Document(), held.confirmed || status.Confirmed)
	if next == held {
		return
	}
	c.published.Store(next)
	c.documents.notify()
	if doc := next.document(); doc != nil {
		c.config.Log.Info("document in force", "version", doc.Version(), "routes", len(doc.Routes()), "confirmed", next.confirmed)
	}
}

// document returns the one in force, nil where there is none.
func (p *published) document() *document.Document {
	if len(p.documents) == 0 {
		return nil
	}
	return p.documents[len(p.documents)-1]
}

// frame returns what an entry that holds a version is sent. It is made once
// for all of them.
func (p *published) frame(held uint64) *wire.DocumentFrame {
	base := p.find(held)
	if base == nil {
		held = 0
	}
	if f, ok := p.frames.Load(held); ok {
		return f.(*wire.DocumentFrame)
	}
	f, _ := p.frames.LoadOrStore(held, p.document().Frame(base, p.confirmed))
	return f.(*wire.DocumentFrame)
}

// find returns a remembered version, nil where it is not.
func (p *published) find(version uint64) *document.Document {
	for _, d := range p.documents {
		if d.Version() == version {
			return d
		}
	}
	return nil
}

// with returns what is told once a document is in force: the same where it is
// not newer and nothing else changes.
func (p *published) with(doc *document.Document, confirmed bool) *published {
	last := p.document()
	newer := doc != nil && (last == nil || doc.Version() > last.Version())
	if !newer && confirmed == p.confirmed {
		return p
	}
	next := &published{documents: p.documents, confirmed: confirmed}
	if newer {
		next.documents = append(slices.Clone(p.documents), doc)
		next.documents = next.documents[max(0, len(next.documents)-documentsKept):]
	}
	return next
}

// call runs f in the loop and waits for it.
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

func (c *Control) hear(roster *wire.Roster) {
	c.post(func(now time.Time, d *directory.Directory) { d.Hear(now, roster) })
}

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

// Status returns what the instance believes.
func (c *Control) Status() directory.Status { return *c.status.Load() }

// registryUpdate changes the registry and returns the number of the change.
func (c *Control) registryUpdate(change func(now time.Time, r *registry.Registry) uint64) uint64 {
	var number uint64
	c.endpoints.update(func(now time.Time, r *registry.Registry) { number = change(now, r) })
	return number
}
