package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

var testStart = time.Unix(1000, 0)

// newTestReplica returns instance "a" of three voters, with one entry of term 1
// on disk.
func newTestReplica() *Replica {
	loaded := &storage.Loaded{HardState: &wire.HardState{Term: 1}, Entries: []*wire.LogEntry{{Index: 1, Term: 1, Command: []byte("old")}}}
	return New(Config{
		Self: "a", Voters: []string{"a", "b", "c"}, Heartbeat: testHeartbeat, Lease: testLease, Drift: testDrift,
		Rand: rand.New(rand.NewPCG(1, 1)),
	}, testStart, loaded)
}

// elect makes the replica leader of term 2 with the vote of b.
func elect(r *Replica, now time.Time) {
	r.Tick(now)
	r.Ready(now)
	r.Step(now, &wire.LogMessage{Kind: wire.LogMessage_PRE_VOTE_REPLY, Term: 2, From: "b", To: "a", Granted: true})
	r.Ready(now)
	r.Step(now, &wire.LogMessage{Kind: wire.LogMessage_VOTE_REPLY, Term: 2, From: "b", To: "a", Granted: true})
	r.Ready(now)
}

// An entry of an older term that a majority holds may still be replaced by
// another leader, so it commits only with an entry of the current term.
func TestOldTermsAreNotCommittedByCounting(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestReplica()
	now := testStart.Add(time.Second)
	elect(r, now)
	g.Expect(r.Role()).To(gomega.Equal(Leader))
	reply := func(index uint64) {
		r.Step(now, &wire.LogMessage{Kind: wire.LogMessage_APPEND_REPLY, Term: 2, From: "b", To: "a", Granted: true, Index: index, Stamp: now.UnixNano()})
		r.Ready(now)
	}
	reply(1)
	g.Expect(r.Commit()).To(gomega.BeZero())
	g.Expect(r.Current(now)).To(gomega.BeFalse(), "no entry of the current term is committed")
	reply(2)
	g.Expect(r.Commit()).To(gomega.Equal(uint64(2)))
	g.Expect(r.Current(now)).To(gomega.BeTrue())
	g.Expect(r.Current(now.Add(testLease))).To(gomega.BeFalse(), "the lease has expired")
}

// A follower grants no vote within a lease of its leader's last append, whatever
// the term and log of the candidate.
func TestNoVoteDuringLeaderLease(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestReplica()
	now := testStart.Add(time.Second)
	r.Step(now, &wire.LogMessage{Kind: wire.LogMessage_APPEND, Term: 2, From: "b", To: "a", Index: 1, LogTerm: 1, Stamp: 1})
	r.Ready(now)
	granted := func(at time.Time, kind wire.LogMessage_Kind) bool {
		r.Step(at, &wire.LogMessage{Kind: kind, Term: 9, From: "c", To: "a", Index: 50, LogTerm: 8})
		for _, m := range r.Ready(at).Messages {
			if m.Granted {
				return true
			}
		}
		return false
	}
	soon := now.Add(testLease / 2)
	g.Expect(granted(soon, wire.LogMessage_PRE_VOTE)).To(gomega.BeFalse())
	g.Expect(granted(soon, wire.LogMessage_VOTE)).To(gomega.BeFalse())
	g.Expect(r.Term()).To(gomega.Equal(uint64(2)), "the candidate's term is not adopted")
	late := now.Add(testLease)
	g.Expect(granted(late, wire.LogMessage_VOTE)).To(gomega.BeTrue())
	g.Expect(granted(late, wire.LogMessage_VOTE)).To(gomega.BeTrue(), "repeated request of the same candidate")
	r.Step(late, &wire.LogMessage{Kind: wire.LogMessage_VOTE, Term: 9, From: "b", To: "a", Index: 50, LogTerm: 8})
	for _, m := range r.Ready(late).Messages {
		g.Expect(m.Granted).To(gomega.BeFalse(), "one vote per term")
	}
}

// A promise to a leader is lost in a restart, so no vote is granted for one lease.
func TestNoVoteAfterRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	r := newTestReplica()
	r.Step(testStart.Add(testLease/2), &wire.LogMessage{Kind: wire.LogMessage_VOTE, Term: 9, From: "c", To: "a", Index: 50, LogTerm: 8})
	g.Expect(r.Ready(testStart).Messages).To(gomega.BeEmpty())
}
