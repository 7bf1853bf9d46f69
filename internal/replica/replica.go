// Package replica is the replicated log of the control instances: terms,
// votes, a leader with a lease that it can show, and commit by a majority. It
// is a core without input or output: the caller feeds in messages, proposals
// and the time, and takes out what to persist, then what to send, then what
// to apply, in that order. The rules are Raft's (Ongaro and Ousterhout, 2014),
// with pre-votes, leader leases, and changes of one control instance at a time.
package replica

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// The roles of a control instance.
const (
	Follower Role = iota
	Candidate
	Leader
)

const (
	// maxBatchEntries bounds the entries of one message, maxBatchBytes their size.
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
)

type (
	// Role is what a control instance is at the moment.
	Role int

	// Config sets the times of the log.
	Config struct {
		Self      string
		Voters    []string      // at the first start; later the log says
		Heartbeat time.Duration // between appends of a leader
		Lease     time.Duration // followers vote for nobody else so long after an append
		Drift     time.Duration // the most that clocks differ over one lease
		Rand      *rand.Rand
	}

	// Ready is what the caller must do, in this order: persist Record, save
	// Snapshot, send Messages, apply Committed.
	Ready struct {
		Record    *wire.Record // nil where there is nothing to persist
		Snapshot  *wire.SnapshotFile
		Hard      *wire.HardState // to be saved with Snapshot, whose log begins anew
		Messages  []*wire.LogMessage
		Committed []*wire.LogEntry
	}

	// progress is what a leader knows of a follower.
	progress struct {
		next, match   uint64
		lastAcked     int64 // stamp of the last append that was answered
		inFlightSince time.Time
	}

	// Replica is the core of one control instance. One goroutine uses it.
	Replica struct {
		config    Config
		role      Role
		hardState *wire.HardState
		leader    string
		log       entryLog
		commit    uint64
		delivered uint64 // last index handed out to be applied

		electionDeadline time.Time
		noVoteBefore     time.Time // until when no vote is given
		votes            map[string]bool
		preVote          bool

		followers      map[string]*progress
		learners       []string // are sent the log, but do not count
		lastBroadcast  time.Time
		termFirstIndex uint64 // of the leader's own term

		unsaved          []*wire.LogEntry
		truncateAfter    uint64
		truncates        bool
		hardStateChanged bool
		pendingSnapshot  *wire.SnapshotFile
		messages         []*wire.LogMessage
	}
)

// String returns the role's name.
func (r Role) String() string { return [...]string{"follower", "candidate", "leader"}[r] }

// New returns a replica with what the disk held. It forgot what it promised
// before it stopped, so it votes for nobody for one lease.
func New(c Config, now time.Time, loaded *storage.Loaded) *Replica {
	r := &Replica{config: c, hardState: loaded.Hard, noVoteBefore: now.Add(c.Lease)}
	r.log = newEntryLog(c.Voters, loaded)
	r.commit = r.log.snapIndex
	r.delivered = r.log.snapIndex
	r.resetElectionDeadline(now)
	return r
}

// Role returns what the instance is.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// Leader returns the leader of the current term, or "".
func (r *Replica) Leader() string { return r.leader }

// Commit returns the index that a majority has on synced disk.
func (r *Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// Voters returns the control instances by the last entry that names them.
func (r *Replica) Voters() []string { return r.log.voters() }

// SetLearners names the instances that a leader sends the log without their
// counting for anything, so that one of them can become a voter at once.
func (r *Replica) SetLearners(names []string) {
	r.learners = names
	if r.role == Leader {
		r.updateFollowers()
	}
}

// Match returns up to which index an instance is known to hold the leader's
// log, 0 where that is not known.
func (r *Replica) Match(name string) uint64 {
	if f := r.followers[name]; r.role == Leader && f != nil {
		return f.match
	}
	return 0
}

// Confirmed reports whether what is committed here includes all that was
// committed when the leader of the present term was elected: the last
// committed entry is of this term.
func (r *Replica) Confirmed() bool {
	return r.leader != "" && r.hardState.Term > 0 && r.log.term(r.commit) == r.hardState.Term
}

// peers returns everybody that a leader sends the log.
func (r *Replica) peers() []string {
	voters := r.log.voters()
	peers := make([]string, 0, len(voters)+len(r.learners))
	for _, name := range voters {
		if name != r.config.Self {
			peers = append(peers, name)
		}
	}
	for _, name := range r.learners {
		if name != r.config.Self && !slices.Contains(voters, name) {
			peers = append(peers, name)
		}
	}
	return peers
}

// Current reports whether this instance is the leader, has committed an entry
// of its own term, and can show a lease: a majority has promised to vote for
// nobody else until after now.
func (r *Replica) Current(now time.Time) bool {
	return r.role == Leader && r.commit >= r.termFirstIndex && now.Before(r.LeaseUntil())
}

// LeaseUntil returns until when a majority's promises hold.
func (r *Replica) LeaseUntil() time.Time {
	if r.role != Leader {
		return time.Time{}
	}
	var stamps []int64
	for _, name := range r.log.voters() {
		if name == r.config.Self {
			stamps = append(stamps, r.lastBroadcast.UnixNano())
		} else if f := r.followers[name]; f != nil {
			stamps = append(stamps, f.lastAcked)
		} else {
			stamps = append(stamps, 0)
		}
	}
	slices.Sort(stamps)
	oldest := stamps[len(stamps)-majority(len(stamps))]
	return time.Unix(0, oldest).Add(r.config.Lease - r.config.Drift)
}

func majority(n int) int { return n/2 + 1 }

// Propose appends a command; only a leader that can show its lease takes one.
func (r *Replica) Propose(now time.Time, command []byte) (uint64, error) {
	if !r.Current(now) {
		return 0, fault.New(fault.NotCurrent, "%s is not the current leader", r.config.Self)
	}
	return r.append(&wire.LogEntry{Command: command}), nil
}

// ProposeVoters changes the control instances by one, added or removed. It is
// refused while an earlier change is not committed.
func (r *Replica) ProposeVoters(now time.Time, voters []string) (uint64, error) {
	if !r.Current(now) {
		return 0, fault.New(fault.NotCurrent, "%s is not the current leader", r.config.Self)
	}
	if r.log.votersIndex() > r.commit {
		return 0, fault.New(fault.Conflict, "the last change of control instances is not committed yet")
	}
	if countDifferences(r.log.voters(), voters) != 1 || len(voters) == 0 {
		return 0, fault.New(fault.InvalidChange, "control instances change by one at a time: %v to %v", r.log.voters(), voters)
	}
	return r.append(&wire.LogEntry{Voters: voters}), nil
}

func countDifferences(a, b []string) int {
	n := 0
	for _, name := range a {
		if !slices.Contains(b, name) {
			n++
		}
	}
	for _, name := range b {
		if !slices.Contains(a, name) {
			n++
		}
	}
	return n
}

func (r *Replica) append(e *wire.LogEntry) uint64 {
	e.Index, e.Term = r.log.lastIndex()+1, r.hardState.Term
	r.log.append(e)
	r.unsaved = append(r.unsaved, e)
	r.updateFollowers()
	return e.Index
}

// Tick does what is due: an election or the leader's next append.
func (r *Replica) Tick(now time.Time) {
	switch {
	case r.role == Leader && now.Sub(r.lastBroadcast) >= r.config.Heartbeat:
		r.broadcast(now)
	case r.role != Leader && !now.Before(r.electionDeadline) && slices.Contains(r.log.voters(), r.config.Self):
		r.startElection(now, true)
	}
}

func (r *Replica) resetElectionDeadline(now time.Time) {
	maxJitter := int64(r.config.Lease)
	r.electionDeadline = now.Add(r.config.Lease + r.config.Heartbeat + time.Duration(r.config.Rand.Int64N(maxJitter)))
}

// Ready returns what is to be done and assumes that it is done: the caller
// must persist, send and apply before it calls anything else.
func (r *Replica) Ready(now time.Time) Ready {
	if r.role == Leader {
		r.sendNewEntries(now)
	}
	ready := Ready{Snapshot: r.pendingSnapshot, Hard: &wire.HardState{Term: r.hardState.Term, Vote: r.hardState.Vote}}
	if len(r.unsaved) > 0 || r.hardStateChanged || r.truncates {
		ready.Record = &wire.Record{Entries: r.unsaved, Cuts: r.truncates, CutAfter: r.truncateAfter}
		ready.Record.Hard = ready.Hard
	}
	r.unsaved, r.truncates, r.hardStateChanged, r.pendingSnapshot = nil, false, false, nil
	if r.role == Leader {
		// What is persisted now counts as this instance's own acknowledgement.
		r.acknowledgeOwnLog()
		r.advanceCommit()
		r.stepDownIfRemoved(now)
	}
	ready.Messages, r.messages = r.messages, nil
	ready.Committed = r.log.between(r.delivered, r.commit)
	r.delivered = max(r.delivered, r.commit)
	return ready
}

// stepDownIfRemoved steps down once a change that drops this instance is committed.
func (r *Replica) stepDownIfRemoved(now time.Time) {
	if r.commit >= r.log.votersIndex() && !slices.Contains(r.log.voters(), r.config.Self) {
		r.becomeFollower(now, r.hardState.Term, "")
	}
}

// Compact drops the log up to an index that a saved snapshot covers, and
// returns what the snapshot file must name beside the state.
func (r *Replica) Compact(index uint64, state []byte) (*wire.SnapshotFile, *wire.HardState, []*wire.LogEntry) {
	file := &wire.SnapshotFile{Index: index, Term: r.log.term(index), Voters: r.log.votersAt(index), State: state}
	r.log.compact(file)
	return file, &wire.HardState{Term: r.hardState.Term, Vote: r.hardState.Vote}, r.log.entries
}

// Entries returns committed entries from an index on, or false where the log
// begins after it.
func (r *Replica) Entries(from uint64, maxBytes int) ([]*wire.LogEntry, bool) {
	if from <= r.log.snapIndex {
		return nil, false
	}
	var size int
	entries := r.log.between(from-1, r.commit)
	for i, e := range entries {
		if size += len(e.Command); size > maxBytes && i > 0 {
			return entries[:i], true
		}
	}
	return entries, true
}

// Follows reports whether this instance has heard the leader within a lease.
func (r *Replica) Follows(now time.Time) bool {
	return r.role == Follower && r.leader != "" && now.Before(r.noVoteBefore)
}
