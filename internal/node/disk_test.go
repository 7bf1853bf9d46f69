package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
)

var _ = ginkgo.Describe("control instances with failing disks", func() {
	var fleet controlFleet
	start := func(subnet byte, n int) {
		fleet = startFleet(subnet, n, 3, ginkgo.GinkgoT().TempDir, log.New(ginkgo.GinkgoWriter))
		ginkgo.DeferCleanup(func() { fleet.stop() })
		fleet.put(1)
	}
	voters := func() []string {
		if leader := fleet.leader(); leader != nil {
			return leader.Status().Voters
		}
		return nil
	}

	ginkgo.It("acknowledge orders while the leader's disk is full, and the leader rejoins later", func() {
		start(41, 3)
		full := fleet.leader()
		full.disk.SetFull(true)
		fleet.put(2)
		var err error
		Eventually(func() fault.Kind {
			_, err = full.Put(context.Background(), mustDocument(document.New(document.Config{Version: 3})))
			return fault.KindOf(err)
		}, settleTimeout).Should(Equal(fault.DataFolder), "the instance reports its failed disk: %v", err)
		full.disk.SetFull(false)
		Eventually(func() uint64 { return full.Status().Version }, settleTimeout).Should(BeNumerically(">=", 2))
	})

	ginkgo.It("acknowledge orders while the leader's disk hangs", func() {
		start(42, 3)
		stalled := fleet.leader()
		resume := stalled.disk.Stall()
		defer resume()
		fleet.put(2)
		Expect(fleet.leader()).NotTo(BeIdenticalTo(stalled))
		resume()
		Eventually(func() uint64 { return stalled.Status().Version }, settleTimeout).Should(Equal(uint64(2)))
	})

	ginkgo.It("acknowledge orders while the disk of the leader or of a follower is slow", func() {
		start(45, 3)
		const slow = 100 * time.Millisecond // far longer than a write and a sync usually take
		for version, r := range []*runningControl{fleet.leader(), fleet.follower()} {
			r.disk.SetDelay(slow)
			fleet.put(uint64(2 + version))
			r.disk.SetDelay(0)
		}
		for _, r := range fleet {
			Eventually(func() uint64 { return r.Status().Version }, settleTimeout).Should(Equal(uint64(3)))
		}
	})

	ginkgo.It("replace a voter whose disk rejects writes", func() {
		start(43, 4)
		Eventually(voters, settleTimeout).Should(HaveLen(3))
		full := fleet[slices.IndexFunc(fleet, func(r *runningControl) bool {
			return r != fleet.leader() && slices.Contains(voters(), r.Status().Self)
		})]
		lost := full.Status().Self
		full.disk.SetFull(true)
		fleet.put(2) // the write detects the failure
		Eventually(voters, settleTimeout).Should(And(HaveLen(3), Not(ContainElement(lost))))
	})

	ginkgo.It("replace a voter whose disk hangs", func() {
		start(44, 4)
		Eventually(voters, settleTimeout).Should(HaveLen(3))
		stalled := fleet.leader()
		lost := stalled.Status().Self
		resume := stalled.disk.Stall()
		defer resume()
		fleet.put(2) // the write detects the failure
		Eventually(voters, settleTimeout).Should(And(HaveLen(3), Not(ContainElement(lost))))
	})
})

// mustDocument returns the document and panics if it is invalid.
func mustDocument(doc *document.Document, faults []string) *document.Document {
	if len(faults) > 0 {
		panic(errors.New(faults[0]))
	}
	return doc
}
