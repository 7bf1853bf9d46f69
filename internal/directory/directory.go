// Package directory is the core of a control instance of a fleet whose fabric
// carries tags: the document in force, kept by the replicated log under the
// rule that the highest version wins, the evacuated failure domains, of which the
// last order in the log wins, and the list of control instances, kept
// in the log too. It has no I/O: the caller feeds in messages, orders and the
// time, and takes out what to persist, to send and to answer, in that order.
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

// The times of the replicated log. A follower calls an election between one
// and two leases after it heard the leader last, so a lost leader is replaced
// within a second; heartbeats come six times in a lease, so that single
// losses and a disk of 200 ms a sync do not end it.
const (
	Heartbeat = 75 * time.Millisecond
	Lease     = 450 * time.Millisecond
	Drift     = 30 * time.Millisecond
)

type (
	// Config sets who an instance is.
	Config struct {
		Self    string // id; its disk keeps it
		Address string // where peers call, IP:port
		Front   string // where operators and endpoints call
		Domain  string
		// Founders are the voters of the very first start, nil at any other:
		// an empty disk is otherwise never a vote.
		Founders []string
		// Voters is how many voters are wanted.
		Voters int
		// Committed is an index up to which the log on disk is known to be
		// committed, 0 where nothing is known.
		Committed uint64
		Rand      *rand.Rand
	}

	// Ready is what the caller must do, in this order: persist what Log says,
	// send its messages, then tell Done to those who wait.
	Ready struct {
		Log replica.Ready
		// Done holds the proposals that are committed, Lost those of which it
		// is not known, since this instance leads no more.
		Done, Lost []uint64
	}

	// Status is what an instance believes.
	Status struct {
		Self, Role, Leader    string
		Term, Commit, Version uint64
		Evacuations           *evacuation.Set
		Voters                []string
		Current, Confirmed    bool
	}

	// Directory is one control instance. One goroutine uses it.
	Directory struct {
		config      Config
		replica     *replica.Replica
		document    *document.Document
		evacuations *evacuation.Set
		applied     uint64
		proposals   map[uint64]uint64 // term by index
		peers       map[string]*peer
		replaced    map[string]bool // ids whose address another id has now
		leaderSince time.Time
	}
)

// New returns an instance with what its disk held; an error is of kind
// DamagedLog where that cannot be decoded.
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

// Step takes a message of another control instance; one to an earlier holder
// of the address is dropped.
func (d *Directory) Step(now time.Time, m *wire.LogMessage) {
	if m.To == d.config.Self {
		d.replica.Step(now, m)
	}
}

// Tick does what is due.
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

// Leader returns who leads, as far as this instance knows, or "".
func (d *Directory) Leader() string { return d.replica.Leader() }

// Status returns what the instance believes.
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

// Ready returns what is to be done and assumes that it is done: a caller that
// fails to persist must not use this instance any further.
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
