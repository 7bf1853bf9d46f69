package replica

import (
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// broadcast sends an append to every follower, empty or not; its stamp is
// what the leader's lease counts from.
func (r *Replica) broadcast(now time.Time) {
	r.beatAt = now
	for _, name := range r.peers() {
		r.sendAppend(now, name)
	}
}

// sendNew sends entries that were appended since the last broadcast.
func (r *Replica) sendNew(now time.Time) {
	for _, name := range r.peers() {
		f := r.followers[name]
		if f != nil && f.next <= r.log.last() && now.Sub(f.inFlight) >= r.config.Heartbeat {
			r.sendAppend(now, name)
		}
	}
}

func (r *Replica) sendAppend(now time.Time, name string) {
	f := r.followers[name]
	if f.next <= r.log.snapIndex {
		r.sendSnapshot(now, name, f)
		return
	}
	entries := r.log.between(f.next-1, min(r.log.last(), f.next-1+maxBatch))
	size := 0
	for i, e := range entries {
		if size += len(e.Command); size > maxBatchBytes && i > 0 {
			entries = entries[:i]
			break
		}
	}
	if len(entries) > 0 {
		f.inFlight = now
	}
	r.send(&wire.LogMessage{
		Kind: wire.LogMessage_APPEND, Term: r.hard.Term, To: name, Index: f.next - 1, LogTerm: r.log.term(f.next - 1),
		Commit: r.commit, Entries: entries, Stamp: now.UnixNano(),
	})
}

func (r *Replica) sendSnapshot(now time.Time, name string, f *progress) {
	f.inFlight = now
	r.send(&wire.LogMessage{
		Kind: wire.LogMessage_SNAPSHOT, Term: r.hard.Term, To: name, Commit: r.commit, Stamp: now.UnixNano(),
		Snapshot: &wire.Snapshot{Index: r.log.snapIndex, Term: r.log.snapTerm, State: r.log.snapState, Voters: r.log.snapVoters},
	})
}

func (r *Replica) hearLeader(now time.Time, m *wire.LogMessage) {
	r.follow(now, m.Term, m.From)
	r.resetElection(now)
	r.promised = now.Add(r.config.Lease)
}

func (r *Replica) onAppend(now time.Time, m *wire.LogMessage) {
	r.hearLeader(now, m)
	reply := &wire.LogMessage{Kind: wire.LogMessage_APPEND_REPLY, Term: r.hard.Term, To: m.From, Stamp: m.Stamp}
	if m.Index > r.log.last() || m.Index >= r.log.snapIndex && r.log.term(m.Index) != m.LogTerm {
		reply.Hint = min(m.Index, r.log.last()+1) // where the leader should go on
		r.send(reply)
		return
	}
	for _, e := range m.Entries {
		r.take(e)
	}
	reply.Granted = true
	reply.Index = m.Index + uint64(len(m.Entries))
	r.commit = max(r.commit, min(m.Commit, reply.Index))
	r.send(reply)
}

// take stores an entry of the leader; one of another term at the same index,
// and all after it, were never committed and go.
func (r *Replica) take(e *wire.LogEntry) {
	if e.Index <= r.log.snapIndex {
		return
	}
	if e.Index <= r.log.last() {
		if r.log.term(e.Index) == e.Term {
			return
		}
		r.log.cutAfter(e.Index - 1)
		r.unsaved = slices.DeleteFunc(r.unsaved, func(u *wire.LogEntry) bool { return u.Index >= e.Index })
		if !r.cuts || e.Index-1 < r.cutAfter {
			r.cuts, r.cutAfter = true, e.Index-1
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
	f.acked = max(f.acked, m.Stamp)
	f.inFlight = time.Time{}
	if !m.Granted {
		f.next = max(1, min(m.Hint, r.log.last()))
		r.sendAppend(now, m.From)
		return
	}
	f.match = max(f.match, m.Index)
	f.next = max(f.next, f.match+1)
	r.advanceCommit()
	if f.next <= r.log.last() {
		r.sendAppend(now, m.From)
	}
}

// selfSaved notes that the leader's own log is on synced disk; the caller
// persists it before it sends or applies anything of the same Ready.
func (r *Replica) selfSaved() {
	if slices.Contains(r.log.voters(), r.config.Self) {
		r.followers[r.config.Self] = &progress{match: r.log.last(), next: r.log.last() + 1}
	}
}

// advanceCommit commits what a majority holds, if it is of the own term: an
// entry of an older term could still be replaced.
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
	if index > r.commit && r.log.term(index) == r.hard.Term {
		r.commit = index
	}
}

func (r *Replica) onSnapshot(now time.Time, m *wire.LogMessage) {
	r.hearLeader(now, m)
	s := m.Snapshot
	if s.Index > r.commit {
		file := &wire.SnapshotFile{Index: s.Index, Term: s.Term, Voters: s.Voters, State: s.State}
		r.log.install(file)
		r.install = file
		r.unsaved, r.cuts = nil, false
		r.commit, r.taken = s.Index, s.Index
	}
	r.send(&wire.LogMessage{
		Kind: wire.LogMessage_APPEND_REPLY, Term: r.hard.Term, To: m.From, Granted: true, Index: r.commit, Stamp: m.Stamp,
	})
}
