package replica

import (
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// startElection requests votes. A pre-vote comes first: it changes no state on
// the other voters, so that an instance returning from a partition does not
// raise their term.
func (r *Replica) startElection(now time.Time, preVote bool) {
	r.role, r.leader, r.preVote = Candidate, "", preVote
	r.votes = map[string]bool{r.config.Self: true}
	r.resetElectionDeadline(now)
	kind, term := wire.LogMessage_PRE_VOTE, r.hardState.Term+1
	if !preVote {
		r.setHardState(r.hardState.Term+1, r.config.Self)
		kind = wire.LogMessage_VOTE
	}
	for _, name := range r.log.voters() {
		if name != r.config.Self {
			r.send(&wire.LogMessage{Kind: kind, Term: term, To: name, Index: r.log.lastIndex(), LogTerm: r.log.term(r.log.lastIndex())})
		}
	}
	r.countVotes(now)
}

func (r *Replica) countVotes(now time.Time) {
	granted := 0
	for _, name := range r.log.voters() {
		if r.votes[name] {
			granted++
		}
	}
	if granted < majority(len(r.log.voters())) {
		return
	}
	if r.preVote {
		r.startElection(now, false)
		return
	}
	r.becomeLeader(now)
}

// becomeLeader starts leading the current term. It appends an entry, since
// earlier entries are known to be committed only once one of the leader's own
// term is.
func (r *Replica) becomeLeader(now time.Time) {
	r.role, r.leader = Leader, r.config.Self
	r.followers = map[string]*progress{}
	// The entry lists the voters, so that the log rather than the settings
	// defines them from the first term on.
	r.termFirstIndex = r.append(&wire.LogEntry{Voters: r.log.voters()})
	r.broadcast(now)
}

func (r *Replica) setHardState(term uint64, vote string) {
	r.hardState = &wire.HardState{Term: term, Vote: vote}
	r.hardStateChanged = true
}

// becomeFollower follows a leader, which is "" if unknown, and adopts the term if
// it is higher.
func (r *Replica) becomeFollower(now time.Time, term uint64, leader string) {
	if term > r.hardState.Term {
		r.setHardState(term, "")
	}
	if r.role != Follower {
		r.resetElectionDeadline(now)
	}
	r.role, r.leader = Follower, leader
}

// Step handles a message from another control instance.
func (r *Replica) Step(now time.Time, m *wire.LogMessage) {
	switch m.Kind {
	case wire.LogMessage_PRE_VOTE:
		r.onPreVote(now, m)
		return
	case wire.LogMessage_PRE_VOTE_REPLY:
		r.onPreVoteReply(now, m)
		return
	case wire.LogMessage_VOTE:
		r.onVote(now, m)
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(now, m.Term, "")
	}
	if m.Term < r.hardState.Term {
		r.rejectStaleTerm(m)
		return
	}
	switch m.Kind {
	case wire.LogMessage_VOTE_REPLY:
		if r.role == Candidate && !r.preVote && m.Granted {
			r.votes[m.From] = true
			r.countVotes(now)
		}
	case wire.LogMessage_APPEND:
		r.onAppend(now, m)
	case wire.LogMessage_APPEND_REPLY:
		r.onAppendReply(now, m)
	case wire.LogMessage_SNAPSHOT:
		r.onSnapshot(now, m)
	}
}

// rejectStaleTerm replies to a leader of an older term with the current one.
func (r *Replica) rejectStaleTerm(m *wire.LogMessage) {
	if m.Kind == wire.LogMessage_APPEND || m.Kind == wire.LogMessage_SNAPSHOT {
		r.send(&wire.LogMessage{Kind: wire.LogMessage_APPEND_REPLY, Term: r.hardState.Term, To: m.From})
	}
}

func (r *Replica) onPreVote(now time.Time, m *wire.LogMessage) {
	granted := m.Term > r.hardState.Term && r.log.upToDate(m.Index, m.LogTerm) && r.mayVote(now)
	term := m.Term
	if !granted {
		term = r.hardState.Term // lets a candidate with an older term catch up
	}
	r.send(&wire.LogMessage{Kind: wire.LogMessage_PRE_VOTE_REPLY, Term: term, To: m.From, Granted: granted})
}

func (r *Replica) onPreVoteReply(now time.Time, m *wire.LogMessage) {
	switch {
	case !m.Granted && m.Term > r.hardState.Term:
		r.becomeFollower(now, m.Term, "")
	case m.Granted && r.role == Candidate && r.preVote && m.Term == r.hardState.Term+1:
		r.votes[m.From] = true
		r.countVotes(now)
	}
}

// mayVote reports whether this instance is not bound by a leader's lease.
func (r *Replica) mayVote(now time.Time) bool {
	return r.role != Leader && !now.Before(r.noVoteBefore) || r.role == Leader && !now.Before(r.LeaseUntil())
}

// onVote grants at most one vote per term, only to a candidate whose log is up
// to date, and not during a leader's lease.
func (r *Replica) onVote(now time.Time, m *wire.LogMessage) {
	if !r.mayVote(now) {
		return
	}
	if m.Term > r.hardState.Term {
		r.becomeFollower(now, m.Term, "")
	}
	granted := m.Term == r.hardState.Term && (r.hardState.Vote == "" || r.hardState.Vote == m.From) && r.log.upToDate(m.Index, m.LogTerm)
	if granted {
		r.setHardState(m.Term, m.From)
		r.resetElectionDeadline(now)
	}
	r.send(&wire.LogMessage{Kind: wire.LogMessage_VOTE_REPLY, Term: r.hardState.Term, To: m.From, Granted: granted})
}

func (r *Replica) send(m *wire.LogMessage) {
	m.From = r.config.Self
	r.messages = append(r.messages, m)
}

// updateFollowers tracks progress for every peer of the leader and drops it
// for former peers.
func (r *Replica) updateFollowers() {
	peers := r.peers()
	for _, name := range peers {
		if r.followers[name] == nil {
			r.followers[name] = &progress{next: r.log.lastIndex()}
		}
	}
	for name := range r.followers {
		if name != r.config.Self && !slices.Contains(peers, name) {
			delete(r.followers, name)
		}
	}
}
