package replica

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "replica")
}

var _ = ginkgo.Describe("a snapshot of the leader", func() {
	// Saving a snapshot replaces the log file: a vote missing from the new one
	// could be granted twice in the same term.
	ginkgo.It("is saved with the current vote even if that is unchanged", func() {
		now := time.Unix(5000, 0)
		voters := []string{"a", "b", "c"}
		r := New(Config{
			Self: "a", Voters: voters, Heartbeat: testHeartbeat, Lease: testLease, Drift: testDrift, Rand: rand.New(rand.NewPCG(1, 1)),
		}, now, &storage.Loaded{HardState: &wire.HardState{Term: 4, Vote: "b"}})
		r.Step(now, &wire.LogMessage{
			Kind: wire.LogMessage_SNAPSHOT, Term: 4, From: "b", To: "a", Snapshot: &wire.Snapshot{Index: 9, Term: 3, Voters: voters},
		})
		ready := r.Ready(now)
		Expect(ready.Record).To(BeNil())
		Expect(ready.Snapshot.Index).To(Equal(uint64(9)))
		Expect(ready.HardState.Term).To(Equal(uint64(4)))
		Expect(ready.HardState.Vote).To(Equal("b"))
	})
})
