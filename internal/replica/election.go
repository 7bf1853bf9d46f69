package replica

import (
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// startElection asks for votes; first by a pre-vote, which changes nothing at
// the others, so that an instance that was cut off does not disturb them.
func (r *Replica) startElection(now time.Time, preVote bool) {
	r.role, r.leader, r.preVote = Candidate, "", preVote
	r.votes = map[string]bool{r.config.Self: true}
	r.resetElection(now)
	kind, term := wire.LogMessage_PRE_VOTE, r.hard.Term+1
	if !preVote {
		r.setHard(r.hard.Term+1, r.config.Self)
		kind = wire.LogMessage_VOTE
	}
	for _, name := range r.log.voters() {
		if name != r.config.Self {
			r.send(&wire.LogMessage{Kind: kind, Term: term, To: name, Index: r.log.last(), LogTerm: r.log.term(r.log.last())})
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
	r.lead(now)
}

// lead begins a term: an entry of the own term must be committed before
// anything is served, since only then all earlier ones are known to be.
func (r *Replica) lead(now time.Time) {
	r.role, r.leader = Leader, r.config.Self
	r.followers = map[string]*progress{}
	// It names the control instances, so that from the first term on the log
	// says who they are, whatever the settings are changed to.
	r.firstIndex = r.append(&wire.LogEntry{Voters: r.log.voters()})
	r.broadcast(now)
}

func (r *Replica) setHard(term uint64, vote string) {
	r.hard = &wire.HardState{Term: term, Vote: vote}
	r.hardDirty = true
}

// follow steps down into a term.
func (r *Replica) follow(now time.Time, term uint64, leader string) {
	if term > r.hard.Term {
		r.setHard(term, "")
	}
	if r.role != Follower {
		r.resetElection(now)
	}
	r.role, r.leader = Follower, leader
}

// Step takes a message of another control instance.
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
	if m.Term > r.hard.Term {
		r.follow(now, m.Term, "")
	}
	if m.Term < r.hard.Term {
		r.rejectOld(m)
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

// rejectOld tells a sender of an old term about the present one.
func (r *Replica) rejectOld(m *wire.LogMessage) {
	if m.Kind == wire.LogMessage_APPEND || m.Kind == wire.LogMessage_SNAPSHOT {
		r.send(&wire.LogMessage{Kind: wire.LogMessage_APPEND_REPLY, Term: r.hard.Term, To: m.From})
	}
}

func (r *Replica) onPreVote(now time.Time, m *wire.LogMessage) {
	granted := m.Term > r.hard.Term && r.log.upToDate(m.Index, m.LogTerm) && r.free(now)
	term := m.Term
	if !granted {
		term = r.hard.Term // so that one that was away learns the term
	}
	r.send(&wire.LogMessage{Kind: wire.LogMessage_PRE_VOTE_REPLY, Term: term, To: m.From, Granted: granted})
}

func (r *Replica) onPreVoteReply(now time.Time, m *wire.LogMessage) {
	switch {
	case !m.Granted && m.Term > r.hard.Term:
		r.follow(now, m.Term, "")
	case m.Granted && r.role == Candidate && r.preVote && m.Term == r.hard.Term+1:
		r.votes[m.From] = true
		r.countVotes(now)
	}
}

// free reports whether no leader holds this instance's promise.
func (r *Replica) free(now time.Time) bool {
	return r.role != Leader && !now.Before(r.promised) || r.role == Leader && !now.Before(r.LeaseUntil())
}

// onVote grants a vote at most once a term, to a log that is new enough, and
// not while a leader holds this instance's promise.
func (r *Replica) onVote(now time.Time, m *wire.LogMessage) {
	if !r.free(now) {
		return
	}
	if m.Term > r.hard.Term {
		r.follow(now, m.Term, "")
	}
	granted := m.Term == r.hard.Term && (r.hard.Vote == "" || r.hard.Vote == m.From) && r.log.upToDate(m.Index, m.LogTerm)
	if granted {
		r.setHard(m.Term, m.From)
		r.resetElection(now)
	}
	r.send(&wire.LogMessage{Kind: wire.LogMessage_VOTE_REPLY, Term: r.hard.Term, To: m.From, Granted: granted})
}

func (r *Replica) send(m *wire.LogMessage) {
	m.From = r.config.Self
	r.messages = append(r.messages, m)
}

// followAll makes progress of everybody whom a leader sends the log.
func (r *Replica) followAll() {
	peers := r.peers()
	for _, name := range peers {
		if r.followers[name] == nil {
			r.followers[name] = &progress{next: r.log.last()}
		}
	}
	for name := range r.followers {
		if name != r.config.Self && !slices.Contains(peers, name) {
			delete(r.followers, name)
		}
	}
}
