// Package member keeps the control state of an entry instance. It follows the
// replicated log through heartbeats to the leading control instance, holds the
// lease under which the entry makes decisions, and builds the view used by the
// traffic goroutine. The state never goes back to a lower index, and replies
// with an older term are ignored. The package does no I/O.
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

// maxMembershipTables limits the tables kept for a reader that skipped some.
const maxMembershipTables = 32

type (
	// Config identifies the entry.
	Config struct {
		Name        string
		Domain      string
		Incarnation uint64 // differs after each restart
		Peers       peer.Config
	}

	// Core is the control state of an entry. It is not safe for concurrent use.
	Core struct {
		config           Config
		state            *control.State
		peers            *peer.Tracker
		term             uint64
		leader           string
		active           uint64
		leaseUntil       time.Time
		confirmed        time.Time
		stopping         bool
		stopBy           time.Time // time limit of a planned stop, zero if there is none
		leavingAt        uint64    // index at which the entry was first seen as leaving
		download         download
		membershipTables []*route.Table
		stopped          bool
		firstViewAt      time.Time
		view             *flow.View
	}

	// download is a partially received snapshot.
	download struct {
		index uint64
		data  []byte
	}
)

// New returns a core with an empty state.
func New(c Config) *Core {
	return &Core{config: c, state: control.NewState(), peers: peer.New(c.Peers), view: &flow.View{Table: control.NewState().Table()}}
}

// State returns the replicated state; it must not be modified.
func (c *Core) State() *control.State { return c.state }

// Leader returns the name of the last known leading control instance.
func (c *Core) Leader() string { return c.leader }

// Term returns the highest term seen in a leader's reply.
func (c *Core) Term() uint64 { return c.term }

// Active returns the index up to which changes are in effect.
func (c *Core) Active() uint64 { return c.active }

// LeaseUntil returns when the lease expires under which the entry makes
// decisions.
func (c *Core) LeaseUntil() time.Time { return c.leaseUntil }

// Confirmed returns the send time of the last heartbeat that renewed the lease.
func (c *Core) Confirmed() time.Time { return c.confirmed }

// Peers returns the tracker of the other entry instances.
func (c *Core) Peers() *peer.Tracker { return c.peers }

// AnnounceStop makes later heartbeats announce a planned stop, which should end by a time;
// zero means no limit.
func (c *Core) AnnounceStop(by time.Time) { c.stopping, c.stopBy = true, by }

// AnnounceStopped makes later heartbeats announce that the handover is complete. From then on
// the entry makes no decisions that need a lease, since the leader no longer waits for it.
func (c *Core) AnnounceStopped() { c.stopped = true }

// HasStopped reports whether the handover was marked as complete.
func (c *Core) HasStopped() bool { return c.stopped }

// HasLeft reports whether the handover was marked as complete and the state no longer lists this
// incarnation. An entry that ended before could be taken for lost when it starts again: the
// removal is not in the log yet if the leader ends first, which may be this instance.
func (c *Core) HasLeft() bool { return c.stopped && !c.Listed() }

// Leaving reports whether the state lists this entry as leaving.
func (c *Core) Leaving() bool {
	m, ok := c.state.Table().Member(c.config.Name)
	return ok && m.Leaving()
}

// MayStop reports whether the process may exit in a planned stop: since the
// entry was listed as leaving, a sweep has covered all its flows, and no push of
// flow records to other entries is pending.
func (c *Core) MayStop(sweep flow.SweepResult, backlog uint64) bool {
	if !c.stopping || !c.Leaving() {
		return false
	}
	if c.leavingAt == 0 {
		c.leavingAt = c.state.Index()
	}
	return sweep.Index >= c.leavingAt && backlog == 0
}

// Listed reports whether the state lists this incarnation of the entry.
func (c *Core) Listed() bool {
	m, ok := c.state.Table().Member(c.config.Name)
	return ok && m.Incarnation() == c.config.Incarnation
}

// NextHeartbeat builds the next heartbeat request.
func (c *Core) NextHeartbeat(sweep flow.SweepResult, loads []*wire.EndpointLoad) *wire.BeatRequest {
	r := &wire.BeatRequest{
		Name: c.config.Name, Domain: c.config.Domain, Incarnation: c.config.Incarnation,
		Applied: c.state.Index(), Checksum: c.state.Checksum(), Active: c.active, Stopping: c.stopping, Stopped: c.stopped,
		CountedIndex: sweep.Index, Loads: loads, ChunkIndex: c.download.index, ChunkOffset: uint64(len(c.download.data)),
	}
	for _, row := range sweep.Buckets {
		r.Counts = append(r.Counts, &wire.BucketCount{Service: row.Service, Bucket: row.Bucket, Flows: row.Flows, Pending: row.Pending})
	}
	return r
}

// HandleReply handles the reply to a heartbeat sent at the given time. It
// reports whether it made progress, so that the next heartbeat is due at once.
func (c *Core) HandleReply(sent time.Time, r *wire.BeatReply) (bool, error) {
	if r.Term < c.term {
		return false, nil // late reply of a previous leader
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

// applyLog applies the log entries or the snapshot chunk of a reply.
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

// recordMemberChange keeps the current table if the list of entry instances
// has changed. The slice is copied, since views refer to it.
func (c *Core) recordMemberChange(before []route.Member) {
	if slices.Equal(before, c.state.Table().Members()) {
		return
	}
	kept := c.membershipTables[max(0, len(c.membershipTables)-maxMembershipTables+1):]
	c.membershipTables = append(slices.Clone(kept), c.state.Table())
}

func (c *Core) addSnapshotChunk(s *wire.Snapshot) error {
	if s.Index <= c.state.Index() {
		return nil
	}
	if s.Index != c.download.index {
		c.download = download{index: s.Index}
	}
	if s.Offset != uint64(len(c.download.data)) {
		return nil // duplicate or out of order; the next heartbeat states the expected offset
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
		return fault.New(fault.DamagedLog, "snapshot contains index %d, its header says %d", state.Index(), s.Index)
	}
	c.state = state
	return nil
}

// View returns the view for the traffic goroutine. It returns the same pointer
// as before if nothing has changed.
func (c *Core) View(now time.Time) *flow.View {
	table := c.state.Table()
	if c.firstViewAt.IsZero() {
		c.firstViewAt = now
	}
	lease := c.leaseUntil
	reachable := c.peers.Reachable(now, table)
	if now.Sub(c.firstViewAt) < c.config.Peers.ProbeTimeout && len(reachable)+1 < len(table.Members()) {
		lease = time.Time{} // peers that are not known yet cannot receive flow records
	}
	if c.stopped {
		lease = time.Time{}
	}
	next := &flow.View{
		Table: table, MembershipTables: c.membershipTables, Active: c.active, LeaseUntil: lease,
		Isolated:         c.peers.Isolated(now, c.leaseUntil, table),
		Reachable:        reachable,
		Leased:           c.peers.Leased(now, table),
		ReachableDomains: c.peers.ReachableDomains(now, table),
		StopBy:           c.stopBy,
	}
	if sameView(c.view, next) {
		return c.view
	}
	c.view = next
	return next
}

func sameView(a, b *flow.View) bool {
	return a.Table == b.Table && a.Active == b.Active && a.LeaseUntil.Equal(b.LeaseUntil) && a.StopBy.Equal(b.StopBy) && a.Isolated == b.Isolated &&
		slices.Equal(a.Reachable, b.Reachable) && slices.Equal(a.Leased, b.Leased) && slices.Equal(a.ReachableDomains, b.ReachableDomains)
}
