// Package replica implements the replicated log of the control instances. It
// is Raft (Ongaro and Ousterhout, 2014) with pre-votes, leader leases and
// single-voter membership changes. The package does no I/O: the caller passes
// in messages, proposals and the time, and gets back what to persist, send and
// apply, in that order.
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
	// maxBatchEntries and maxBatchBytes limit the entries of one message.
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
)

type (
	// Role is the Raft role of a control instance.
	Role int

	// Config identifies an instance and sets the timing of the log.
	Config struct {
		Self      string
		Voters    []string      // initial voters, until the log lists them
		Heartbeat time.Duration // interval between appends of a leader
		Lease     time.Duration // a follower votes for no other candidate this long after an append
		Drift     time.Duration // maximum clock drift over one lease
		Rand      *rand.Rand
	}

	// Ready lists the work of the caller, in this order: save Snapshot, persist
	// Record, send Messages, apply Committed.
	Ready struct {
		Record    *wire.Record // nil if there is nothing to persist
		Snapshot  *wire.SnapshotFile
		HardState *wire.HardState // saved with Snapshot, which replaces the log file
		Messages  []*wire.LogMessage
		Committed []*wire.LogEntry
	}

	// progress is the replication state of a follower, kept by the leader.
	progress struct {
		next, match   uint64
		lastAcked     int64     // timestamp of the last acknowledged append, in Unix nanoseconds
		inFlightSince time.Time // when the unanswered batch was sent, zero if there is none
	}

	// Replica is the Raft state of one control instance. It is not safe for
	// concurrent use.
	Replica struct {
		config    Config
		role      Role
		hardState *wire.HardState
		leader    string
		log       entryLog
		commit    uint64
		delivered uint64 // last index returned in Ready.Committed

		electionDeadline time.Time
		noVoteBefore     time.Time // a leader's lease forbids votes before this
		votes            map[string]bool
		preVote          bool

		followers      map[string]*progress
		learners       []string // receive the log but do not vote
		lastBroadcast  time.Time
		termFirstIndex uint64 // first index of the leader's term

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

// New returns a replica with the state loaded from disk. The promise to a
// leader is not stored, so after a restart it grants no vote for one lease.
func New(c Config, now time.Time, loaded *storage.Loaded) *Replica {
	r := &Replica{config: c, hardState: loaded.HardState, noVoteBefore: now.Add(c.Lease)}
	r.log = newEntryLog(c.Voters, loaded)
	r.commit = r.log.snapIndex
	r.delivered = r.log.snapIndex
	r.resetElectionDeadline(now)
	return r
}

// Role returns the current role.
func (r *Replica) Role() Role { return r.role }

// Term returns the current term.
func (r *Replica) Term() uint64 { return r.hardState.Term }

// Leader returns the known leader of the current term, or "".
func (r *Replica) Leader() string { return r.leader }

// Commit returns the highest index known to be committed.
func (r *Replica) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last entry of the log.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// Voters returns the voters according to the last log entry that changes them.
func (r *Replica) Voters() []string { return r.log.voters() }

// SetLearners sets the non-voting instances that the leader replicates the log
// to, so that one of them can become a voter without catching up first.
func (r *Replica) SetLearners(names []string) {
	r.learners = names
	if r.role == Leader {
		r.updateFollowers()
	}
}

// Match returns the highest index that an instance is known to have
// replicated, or 0 if this is unknown.
func (r *Replica) Match(name string) uint64 {
	if f := r.followers[name]; r.role == Leader && f != nil {
		return f.match
	}
	return 0
}

// LastAck returns when the last append that an instance acknowledged was sent,
// or the zero time if this is unknown.
func (r *Replica) LastAck(name string) time.Time {
	f := r.followers[name]
	if r.role != Leader || f == nil || f.lastAcked == 0 {
		return time.Time{}
	}
	return time.Unix(0, f.lastAcked)
}

// Confirmed reports whether the local commit index covers everything that was
// committed when the current leader was elected, that is, whether the last
// committed entry is of the current term.
func (r *Replica) Confirmed() bool {
	return r.leader != "" && r.hardState.Term > 0 && r.log.term(r.commit) == r.hardState.Term
}

// peers returns the other voters and the learners.
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
// of its own term, and holds a valid lease: a majority votes for no other
// candidate until after now.
func (r *Replica) Current(now time.Time) bool {
	return r.role == Leader && r.commit >= r.termFirstIndex && now.Before(r.LeaseUntil())
}

// LeaseUntil returns when the leader's lease expires, or the zero time if this
// instance does not lead.
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

// Propose appends a command and returns its index. It fails with NotCurrent
// unless this instance leads with a valid lease.
func (r *Replica) Propose(now time.Time, command []byte) (uint64, error) {
	if !r.Current(now) {
		return 0, fault.New(fault.NotCurrent, "%s is not the current leader", r.config.Self)
	}
	return r.append(&wire.LogEntry{Command: command}), nil
}

// ProposeVoters adds or removes one voter. It fails while an earlier change is
// not committed.
func (r *Replica) ProposeVoters(now time.Time, voters []string) (uint64, error) {
	if !r.Current(now) {
		return 0, fault.New(fault.NotCurrent, "%s is not the current leader", r.config.Self)
	}
	if r.log.votersIndex() > r.commit {
		return 0, fault.New(fault.Conflict, "the previous change of voters is not committed yet")
	}
	if countDifferences(r.log.voters(), voters) != 1 || len(voters) == 0 {
		return 0, fault.New(fault.InvalidChange, "voters must change by exactly one instance: %v to %v", r.log.voters(), voters)
	}
	return r.append(&wire.LogEntry{Voters: voters}), nil
}

// countDifferences counts the names that are in only one of the two lists.
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

// Tick starts an election or sends the leader's heartbeat, if it is due.
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

// Ready returns the pending work and considers it done: the caller must
// complete it before calling any other method.
func (r *Replica) Ready(now time.Time) Ready {
	if r.role == Leader {
		r.sendNewEntries(now)
	}
	ready := Ready{Snapshot: r.pendingSnapshot, HardState: &wire.HardState{Term: r.hardState.Term, Vote: r.hardState.Vote}}
	if len(r.unsaved) > 0 || r.hardStateChanged || r.truncates {
		ready.Record = &wire.Record{Entries: r.unsaved, Cuts: r.truncates, CutAfter: r.truncateAfter}
		ready.Record.Hard = ready.HardState
	}
	r.unsaved, r.truncates, r.hardStateChanged, r.pendingSnapshot = nil, false, false, nil
	if r.role == Leader {
		r.acknowledgeOwnLog()
		r.advanceCommit()
		r.stepDownIfRemoved(now)
	}
	ready.Messages, r.messages = r.messages, nil
	ready.Committed = r.log.between(r.delivered, r.commit)
	r.delivered = max(r.delivered, r.commit)
	return ready
}

// stepDownIfRemoved steps down once the removal of this instance from the
// voters is committed.
func (r *Replica) stepDownIfRemoved(now time.Time) {
	if r.commit >= r.log.votersIndex() && !slices.Contains(r.log.voters(), r.config.Self) {
		r.becomeFollower(now, r.hardState.Term, "")
	}
}

// Compact discards the log up to an index and returns the snapshot that
// replaces it, with the hard state and the remaining entries to save beside it.
func (r *Replica) Compact(index uint64, state []byte) (*wire.SnapshotFile, *wire.HardState, []*wire.LogEntry) {
	file := &wire.SnapshotFile{Index: index, Term: r.log.term(index), Voters: r.log.votersAt(index), State: state}
	r.log.compact(file)
	return file, &wire.HardState{Term: r.hardState.Term, Vote: r.hardState.Vote}, r.log.entries
}

// Entries returns committed entries starting at an index, at most maxBytes of
// commands but at least one entry. It returns false if the index is compacted.
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

// FollowsLeader reports whether this instance is a follower and has heard from
// its leader within a lease.
func (r *Replica) FollowsLeader(now time.Time) bool {
	return r.role == Follower && r.leader != "" && now.Before(r.noVoteBefore)
}
