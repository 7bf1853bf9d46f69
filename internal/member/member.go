// Package member is the entry's side of control: it learns the replicated log
// by beats to the leading control instance, holds the lease that lets the
// entry decide, and makes the view that the traffic goroutine reads. State
// goes only forward, by index, and only from a source that shows its term. It
// has no input or output.
package member

import (
	"slices"
	"time"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/peer"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// maxSteps bounds the tables that are kept for readers that were slow.
const maxSteps = 32

type (
	// Config names the entry.
	Config struct {
		Name        string
		Domain      string
		Incarnation uint64 // differs in each life
		Peers       peer.Config
	}

	// Core is the entry's control state. One goroutine uses it.
	Core struct {
		config      Config
		state       *control.State
		peers       *peer.Tracker
		term        uint64
		leader      string
		active      uint64
		leaseUntil  time.Time
		confirmed   time.Time
		stopping    bool
		leavingAt   uint64 // index from which the state lists it as leaving
		download    download
		steps       []*route.Table
		stopped     bool
		firstViewAt time.Time // of the first view
		view        *flow.View
	}

	// download is a snapshot that arrives in chunks.
	download struct {
		index uint64
		data  []byte
	}
)

// New returns the core of an entry that knows nothing.
func New(c Config) *Core {
	return &Core{config: c, state: control.NewState(), peers: peer.New(c.Peers), view: &flow.View{Table: control.NewState().Table()}}
}

// State returns the learned state; it must not be changed.
func (c *Core) State() *control.State { return c.state }

// Leader returns the name of the leading control instance last heard of.
func (c *Core) Leader() string { return c.leader }

// Term returns the highest term that a source has shown.
func (c *Core) Term() uint64 { return c.term }

// Active returns the index up to which changes are in use.
func (c *Core) Active() uint64 { return c.active }

// LeaseUntil returns until when the entry may decide.
func (c *Core) LeaseUntil() time.Time { return c.leaseUntil }

// Confirmed returns when a current leader last confirmed the state.
func (c *Core) Confirmed() time.Time { return c.confirmed }

// Peers returns the tracker of the other entries.
func (c *Core) Peers() *peer.Tracker { return c.peers }

// Stop makes the following beats announce a planned stop.
func (c *Core) Stop() { c.stopping = true }

// Stopped makes the next beat the last: everything is handed over.
func (c *Core) Stopped() { c.stopped = true }

// HasStopped reports whether the last beat was announced.
func (c *Core) HasStopped() bool { return c.stopped }

// Steps returns the last tables at which the entries changed, in order.
func (c *Core) Steps() []*route.Table { return c.steps }

// Leaving reports whether the state lists this entry as one that stops.
func (c *Core) Leaving() bool {
	m, ok := c.state.Table().Member(c.config.Name)
	return ok && m.Leaving()
}

// MayStop reports whether a planned stop may end the process: since it was
// listed as leaving, one whole pass over its flows has been made and all that
// the holders had to be told has been confirmed.
func (c *Core) MayStop(count flow.Count, backlog uint64) bool {
	if !c.stopping || !c.Leaving() {
		return false
	}
	if c.leavingAt == 0 {
		c.leavingAt = c.state.Index()
	}
	return count.Index >= c.leavingAt && backlog == 0
}

// Listed reports whether the state lists this life of the entry.
func (c *Core) Listed() bool {
	m, ok := c.state.Table().Member(c.config.Name)
	return ok && m.Incarnation() == c.config.Incarnation
}

// Request returns the next beat.
func (c *Core) Request(count flow.Count, loads []*wire.EndpointLoad) *wire.BeatRequest {
	r := &wire.BeatRequest{
		Name: c.config.Name, Domain: c.config.Domain, Incarnation: c.config.Incarnation,
		Applied: c.state.Index(), Checksum: c.state.Checksum(), Active: c.active, Stopping: c.stopping, Stopped: c.stopped,
		CountedIndex: count.Index, Loads: loads, ChunkIndex: c.download.index, ChunkOffset: uint64(len(c.download.data)),
	}
	for _, row := range count.Rows {
		r.Counts = append(r.Counts, &wire.BucketCount{Service: row.Service, Bucket: row.Bucket, Flows: row.Flows, Pending: row.Pending})
	}
	return r
}

// Reply takes the answer to a beat that was sent at the given time. It
// reports whether the state went forward, so that the next beat is due at once.
func (c *Core) Reply(sent time.Time, r *wire.BeatReply) (bool, error) {
	if r.Term < c.term {
		return false, nil // an old leader's answer that came late
	}
	if r.LeaderName != "" {
		c.leader = r.LeaderName
	}
	if !r.Leader {
		return false, nil
	}
	c.term = r.Term
	before := c.state.Index()
	if err := c.applyLog(r); err != nil {
		return false, err
	}
	c.active = max(c.active, min(r.Active, c.state.Index()))
	if r.LeaseNanos > 0 {
		if until := sent.Add(time.Duration(r.LeaseNanos)); until.After(c.leaseUntil) {
			c.leaseUntil = until
		}
		c.confirmed = sent
	}
	return c.state.Index() > before || len(c.download.data) > 0, nil
}

// applyLog applies what the reply brings of the log.
func (c *Core) applyLog(r *wire.BeatReply) error {
	if s := r.Snapshot; s != nil {
		return c.addSnapshotChunk(s)
	}
	for _, e := range r.Entries {
		if e.Index <= c.state.Index() {
			continue
		}
		before := c.state.Table().Members()
		if _, err := c.state.Apply(e.Index, e.Command); err != nil {
			return err
		}
		c.recordMemberChange(before)
	}
	return nil
}

// recordMemberChange keeps the table where the entries have changed. The slice is
// copied, since views hold it.
func (c *Core) recordMemberChange(before []route.Member) {
	if slices.Equal(before, c.state.Table().Members()) {
		return
	}
	steps := c.steps[max(0, len(c.steps)-maxSteps+1):]
	c.steps = append(slices.Clone(steps), c.state.Table())
}

func (c *Core) addSnapshotChunk(s *wire.Snapshot) error {
	if s.Index <= c.state.Index() {
		return nil
	}
	if s.Index != c.download.index {
		c.download = download{index: s.Index}
	}
	if s.Offset != uint64(len(c.download.data)) {
		return nil // a chunk that came twice or out of order; the next beat says what is missing
	}
	c.download.data = append(c.download.data, s.State...)
	if uint64(len(c.download.data)) < s.Total {
		return nil
	}
	data := c.download.data
	c.download = download{}
	state, err := control.Restore(data)
	if err != nil {
		return err
	}
	if state.Index() != s.Index {
		return fault.New(fault.DamagedLog, "snapshot says index %d, its header %d", state.Index(), s.Index)
	}
	c.state = state
	return nil
}

// View returns the view for the traffic goroutine. It is the same value as
// before where nothing has changed.
func (c *Core) View(now time.Time) *flow.View {
	table := c.state.Table()
	if c.firstViewAt.IsZero() {
		c.firstViewAt = now
	}
	lease := c.leaseUntil
	reachable := c.peers.Reachable(now, table)
	if now.Sub(c.firstViewAt) < c.config.Peers.HeardFor && len(reachable)+1 < len(table.Members()) {
		lease = time.Time{} // it has not heard its peers yet: it would share records with nobody
	}
	next := &flow.View{
		Table: table, Steps: c.steps, Active: c.active, LeaseUntil: lease,
		Island:    c.peers.Island(now, c.leaseUntil, table),
		Reachable: reachable,
		Leased:    c.peers.Leased(now, table),
		Domains:   c.peers.Domains(now, table),
	}
	if sameView(c.view, next) {
		return c.view
	}
	c.view = next
	return next
}

func sameView(a, b *flow.View) bool {
	return a.Table == b.Table && a.Active == b.Active && a.LeaseUntil.Equal(b.LeaseUntil) && a.Island == b.Island &&
		slices.Equal(a.Reachable, b.Reachable) && slices.Equal(a.Leased, b.Leased) && slices.Equal(a.Domains, b.Domains)
}
