package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startFleet runs a new fleet without faults and asserts that it reaches the
// configured number of voters.
func startFleet(instances, maxLosses int) *fleet {
	f := newFleet(1, instances, maxLosses)
	for range startupTime / testStep {
		f.step()
	}
	f.checkVoters()
	return f
}

// runFor runs the fleet without new faults.
func (f *fleet) runFor(d time.Duration) {
	for range d / testStep {
		f.step()
	}
}

// leader returns the current leader, or nil.
func (f *fleet) leader() *instance {
	for _, inst := range f.instances {
		if inst.d != nil && inst.d.Status(f.now).Current {
			return inst
		}
	}
	return nil
}

// commitDocument proposes documents until one is acknowledged.
func (f *fleet) commitDocument() {
	before := f.ackedVersion
	for range 2000 {
		if f.proposeNext(); f.ackedVersion > before {
			return
		}
		f.step()
	}
	Fail("no document is acknowledged")
}

var _ = Describe("the voters", func() {
	It("grow from the founders to the configured number, spread over the failure domains", func() {
		f := startFleet(6, 2)
		domains := map[string]int{}
		for _, id := range f.leader().d.Status(f.now).Voters {
			domains[f.byAddress(AddressOf(id)).domain]++
		}
		Expect(domains).To(HaveLen(3))
		for _, n := range domains {
			Expect(n).To(BeNumerically("<=", 2))
		}
	})

	It("replace a lost instance by an empty one at another address", func() {
		f := startFleet(3, 1)
		f.commitDocument()
		f.replaceInstance(f.leader())
		f.runFor(time.Second)
		f.restartStopped()
		f.runFor(catchUpTime)
		f.checkVoters()
	})

	It("survive a new instance losing its disk before it has caught up", func() {
		f := startFleet(5, 2)
		f.commitDocument()
		first, second := f.instances[0], f.instances[1]
		f.wipe(first)
		f.replaceInstance(second)
		f.restartStopped()
		f.runFor(500 * time.Millisecond)
		f.wipe(f.instances[1])
		f.runFor(3 * time.Second)
		f.commitDocument()
		f.restartStopped()
		f.runFor(catchUpTime)
		f.recoverAndCheck()
	})

	It("keep acknowledged documents when the leader's disk is lost in a power outage", func() {
		f := startFleet(3, 1)
		lagging := f.instances[2]
		if lagging == f.leader() {
			lagging = f.instances[1]
		}
		f.isolate(lagging) // misses the next two documents
		f.commitDocument()
		f.commitDocument()
		f.wipe(f.leader())
		f.stopAll()
		f.restartStopped()
		f.recoverAndCheck()
	})

	It("do not include an instance with an empty disk, even if all others are stopped", func() {
		f := startFleet(3, 1)
		f.commitDocument()
		holder, lagging := f.instances[0], f.instances[1]
		f.wipe(lagging)
		f.stop(f.instances[2])
		f.stop(holder)
		f.start(lagging)
		f.runFor(5 * time.Second)
		Expect(lagging.d.Status(f.now).Role).To(Equal("follower"))
		Expect(lagging.d.Status(f.now).Voters).To(BeEmpty())
		f.recoverAndCheck()
	})

	It("restore only committed documents after a restart", func() {
		f := startFleet(3, 1)
		f.commitDocument()
		isolated, before := f.leader(), f.ackedVersion
		f.isolate(isolated)
		isolated.committedHint = isolated.d.Status(f.now).Commit
		_, done, err := isolated.d.Put(f.now, f.document(before+10))
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		f.processReady(isolated)
		f.stop(isolated)
		isolated.disk.Restart(0)
		f.start(isolated)
		Expect(isolated.d.Document().Version()).To(Equal(before))
	})
})
