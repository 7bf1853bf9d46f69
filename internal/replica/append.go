package replica

import (
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// broadcast sends an append, possibly without entries, to every follower. The
// leader's lease is measured from its timestamp.
func (r *Replica) broadcast(now time.Time) {
	r.lastBroadcast = now
	for _, name := range r.peers() {
		r.sendAppend(now, name)
	}
}

// sendNewEntries sends appended entries to each follower that has no batch
// in flight, or whose last batch is older than a heartbeat.
func (r *Replica) sendNewEntries(now time.Time) {
	for _, name := range r.peers() {
		f := r.followers[name]
		if f != nil && f.next <= r.log.lastIndex() && now.Sub(f.inFlightSince) >= r.config.Heartbeat {
			r.sendAppend(now, name)
		}
	}
}

// sendAppend sends a follower its next batch of entries, or a snapshot if these
// entries have been compacted.
func (r *Replica) sendAppend(now time.Time, name string) {
	f := r.followers[name]
	if f.next <= r.log.snapIndex {
		r.sendSnapshot(now, name, f)
		return
	}
	entries := r.log.between(f.next-1, min(r.log.lastIndex(), f.next-1+maxBatchEntries))
	size := 0
	for i, e := range entries {
		if size += len(e.Command); size > maxBatchBytes && i > 0 {
			entries = entries[:i]
			break
		}
	}
	if len(entries) > 0 {
		f.inFlightSince = now
	}
	r.send(&wire.LogMessage{
		Kind: wire.LogMessage_APPEND, Term: r.hardState.Term, To: name, Index: f.next - 1, LogTerm: r.log.term(f.next - 1),
		Commit: r.commit, Entries: entries, Stamp: now.UnixNano(),
	})
}

func (r *Replica) sendSnapshot(now time.Time, name string, f *progress) {
	f.inFlightSince = now
	r.send(&wire.LogMessage{
		Kind: wire.LogMessage_SNAPSHOT, Term: r.hardState.Term, To: name, Commit: r.commit, Stamp: now.UnixNano(),
		Snapshot: &wire.Snapshot{Index: r.log.snapIndex, Term: r.log.snapTerm, State: r.log.snapState, Voters: r.log.snapVoters},
	})
}

// acceptLeader follows the sender and renews the promise not to vote for
// another candidate for one lease.
func (r *Replica) acceptLeader(now time.Time, m *wire.LogMessage) {
	r.becomeFollower(now, m.Term, m.From)
	r.resetElectionDeadline(now)
	r.noVoteBefore = now.Add(r.config.Lease)
}

func (r *Replica) onAppend(now time.Time, m *wire.LogMessage) {
	r.acceptLeader(now, m)
	reply := &wire.LogMessage{Kind: wire.LogMessage_APPEND_REPLY, Term: r.hardState.Term, To: m.From, Stamp: m.Stamp}
	if m.Index > r.log.lastIndex() || m.Index >= r.log.snapIndex && r.log.term(m.Index) != m.LogTerm {
		reply.Hint = min(m.Index, r.log.lastIndex()+1) // next index the leader should try
		r.send(reply)
		return
	}
	for _, e := range m.Entries {
		r.storeEntry(e)
	}
	reply.Granted = true
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, reply.Index))
	r.send(reply)
}

// storeEntry appends an entry from the leader. A conflicting entry of another
// term at the same index, and all entries after it, are uncommitted and are
// removed.
func (r *Replica) storeEntry(e *wire.LogEntry) {
	if e.Index <= r.log.snapIndex {
		return
	}
	if e.Index <= r.log.lastIndex() {
		if r.log.term(e.Index) == e.Term {
			return
		}
		r.log.truncateAfter(e.Index - 1)
		r.unsaved = slices.DeleteFunc(r.unsaved, func(u *wire.LogEntry) bool { return u.Index >= e.Index })
		if !r.truncates || e.Index-1 < r.truncateAfter {
			r.truncates, r.truncateAfter = true, e.Index-1
		}
	}
	r.log.append(e)
	r.unsaved = append(r.unsaved, e)
}

func (r *Replica) onAppendReply(now time.Time, m *wire.LogMessage) {
	f := r.followers[m.From]
	if r.role != Leader || f == nil {
		return
	}
	f.lastAcked = max(f.lastAcked, m.Stamp)
	f.inFlightSince = time.Time{}
	if !m.Granted {
		f.next = max(1, min(m.Hint, r.log.lastIndex()))
		r.sendAppend(now, m.From)
		return
	}
	f.match = max(f.match, m.Index)
	f.next = max(f.next, f.match+1)
	r.advanceCommit()
	if f.next <= r.log.lastIndex() {
		r.sendAppend(now, m.From)
	}
}

// acknowledgeOwnLog counts the leader's own log as replicated: the caller
// syncs it before it sends or applies anything of the same Ready.
func (r *Replica) acknowledgeOwnLog() {
	if slices.Contains(r.log.voters(), r.config.Self) {
		r.followers[r.config.Self] = &progress{match: r.log.lastIndex(), next: r.log.lastIndex() + 1}
	}
}

// advanceCommit commits the highest index that a majority holds, if its entry
// is of the current term: an entry of an older term could still be replaced.
func (r *Replica) advanceCommit() {
	voters := r.log.voters()
	matches := make([]uint64, 0, len(voters))
	for _, name := range voters {
		if f := r.followers[name]; f != nil {
			matches = append(matches, f.match)
		} else {
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-majority(len(matches))]
	if index > r.commit && r.log.term(index) == r.hardState.Term {
		r.commit = index
	}
}

func (r *Replica) onSnapshot(now time.Time, m *wire.LogMessage) {
	r.acceptLeader(now, m)
	s := m.Snapshot
	if s.Index > r.commit {
		file := &wire.SnapshotFile{Index: s.Index, Term: s.Term, Voters: s.Voters, State: s.State}
		r.log.install(file)
		r.pendingSnapshot = file
		r.unsaved, r.truncates = nil, false
		r.commit, r.delivered = s.Index, s.Index
	}
	r.send(&wire.LogMessage{
		Kind: wire.LogMessage_APPEND_REPLY, Term: r.hardState.Term, To: m.From, Granted: true, Index: r.commit, Stamp: m.Stamp,
	})
}
