// Package directory keeps the state of a control instance in a fleet whose
// network fabric carries a tag with each flow. The replicated log holds the
// routing document, of which the highest version wins, the evacuated failure
// domains, for which the last order wins, and the voting control instances. The
// package does no I/O: the caller passes in messages, orders and the time, and
// gets back what to persist, send and answer, in that order.
package directory

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/replica"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// Timing of the replicated log. A follower starts an election between one and
// two leases, plus one heartbeat, after its leader's last append, so within about
// a second of the loss of the leader. A lease spans several heartbeats, to
// tolerate lost messages and slow syncs.
const (
	Heartbeat = 75 * time.Millisecond
	Lease     = 450 * time.Millisecond
	Drift     = 30 * time.Millisecond // maximum clock drift over one lease
)

// MaxCommandSize is the maximum size of an encoded command in bytes. Other instances must
// be able to receive a message that contains one.
const MaxCommandSize = 12 << 20

type (
	// Config identifies a control instance.
	Config struct {
		Self    string // instance ID, stored on its disk
		Address string // for other control instances, IP:port
		Front   string // for operators and endpoints, IP:port
		Domain  string // failure domain
		// Founders are the voters of the first start of a new fleet, nil at any
		// other start, so that an instance with an empty disk cannot vote.
		Founders []string
		// Voters is the target number of voters.
		Voters int
		// Committed is an index up to which the log on disk is known to be
		// committed, 0 if unknown.
		Committed uint64
		Rand      *rand.Rand
	}

	// Ready lists the work of the caller, in this order: persist and send what
	// Log contains, then notify the proposers.
	Ready struct {
		Log replica.Ready
		// Done lists the log indexes of committed proposals, Lost those of
		// proposals that were replaced or whose outcome is unknown because this
		// instance no longer leads.
		Done, Lost []uint64
	}

	// Status is an instance's own view of the fleet. Current and Confirmed are
	// the results of the methods of replica.Replica with these names.
	Status struct {
		Self, Role, Leader    string
		Term, Commit, Version uint64
		Evacuations           *evacuation.Set
		Voters                []string
		Current, Confirmed    bool
	}

	// Directory is the state of one control instance. It is not safe for
	// concurrent use.
	Directory struct {
		config      Config
		replica     *replica.Replica
		document    *document.Document
		evacuations *evacuation.Set
		applied     uint64
		proposals   map[uint64]uint64 // term by log index
		peers       map[string]*peer  // by ID
		replaced    map[string]bool   // IDs whose address now belongs to another ID
		leaderSince time.Time         // zero while this instance is not the current leader
	}
)

// New returns an instance with the state loaded from disk. The error is of kind
// DamagedLog if the state cannot be decoded.
func New(c Config, now time.Time, loaded *storage.Loaded) (*Directory, error) {
	d := &Directory{
		config: c, proposals: map[uint64]uint64{}, peers: map[string]*peer{}, replaced: map[string]bool{},
	}
	if loaded.Snapshot != nil {
		if err := d.restore(loaded.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, e := range loaded.Entries {
		if e.Index > c.Committed || len(e.Command) == 0 {
			continue
		}
		if err := d.applyCommand(e.Index, e.Command); err != nil {
			return nil, err
		}
	}
	d.replica = replica.New(replica.Config{
		Self: c.Self, Voters: c.Founders, Heartbeat: Heartbeat, Lease: Lease, Drift: Drift, Rand: c.Rand,
	}, now, loaded)
	return d, nil
}

// Step handles a message from another control instance. Messages to a previous
// ID at this address are dropped.
func (d *Directory) Step(now time.Time, m *wire.LogMessage) {
	if m.To == d.config.Self {
		d.replica.Step(now, m)
	}
}

// Tick runs the replicated log's timers and, on the leader, updates learners
// and voters.
func (d *Directory) Tick(now time.Time) {
	d.replica.Tick(now)
	if !d.replica.Current(now) {
		d.leaderSince = time.Time{}
		return
	}
	if d.leaderSince.IsZero() {
		d.leaderSince = now
	}
	d.replica.SetLearners(d.learners(now))
	d.changeVoters(now)
}

// Leader returns the ID of the known leader, or "".
func (d *Directory) Leader() string { return d.replica.Leader() }

// Status returns the instance's own view of the fleet.
func (d *Directory) Status(now time.Time) Status {
	s := Status{
		Self: d.config.Self, Role: d.replica.Role().String(), Leader: d.replica.Leader(), Term: d.replica.Term(),
		Commit: d.replica.Commit(), Voters: d.replica.Voters(), Current: d.replica.Current(now), Confirmed: d.replica.Confirmed(),
		Evacuations: d.evacuations,
	}
	if d.document != nil {
		s.Version = d.document.Version()
	}
	return s
}

// Ready returns the pending work and considers it done: a caller that fails to
// persist it must stop using the instance.
func (d *Directory) Ready(now time.Time) (Ready, error) {
	ready := Ready{Log: d.replica.Ready(now)}
	if s := ready.Log.Snapshot; s != nil {
		if err := d.restore(s); err != nil {
			return ready, err
		}
	}
	for _, e := range ready.Log.Committed {
		if err := d.apply(e, &ready); err != nil {
			return ready, err
		}
	}
	if d.replica.Role() != replica.Leader {
		for index := range d.proposals {
			ready.Lost = append(ready.Lost, index)
		}
		slices.Sort(ready.Lost)
		clear(d.proposals)
	}
	return ready, nil
}
