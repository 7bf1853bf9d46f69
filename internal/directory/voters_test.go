package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startFleet lets a fleet run undisturbed until its voters are as many as wanted.
func startFleet(instances, maxLosses int) *fleet {
	f := newFleet(1, instances, maxLosses)
	for range startupTime / testStep {
		f.step()
	}
	f.checkVoters()
	return f
}

func (f *fleet) runFor(d time.Duration) {
	for range d / testStep {
		f.step()
	}
}

// leader returns the machine that leads.
func (f *fleet) leader() *instance {
	for _, inst := range f.instances {
		if inst.d != nil && inst.d.Status(f.now).Current {
			return inst
		}
	}
	return nil
}

// commitDocument puts a document and waits until it is committed.
func (f *fleet) commitDocument() {
	before := f.ackedVersion
	for range 2000 {
		if f.proposeNext(); f.ackedVersion > before {
			return
		}
		f.step()
	}
	Fail("nothing is acknowledged")
}

var _ = Describe("the voters", func() {
	It("grow from the seeds to what the tolerance needs, spread over the failure domains", func() {
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

	It("replace a machine that is gone for good by an empty one at another address", func() {
		f := startFleet(3, 1)
		f.commitDocument()
		f.replaceInstance(f.leader())
		f.runFor(time.Second)
		f.restartStopped()
		f.runFor(catchUpTime)
		f.checkVoters()
	})

	It("bear that a newcomer loses its disk again before it has caught up", func() {
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

	It("find the acknowledged when its holder's disk is lost as all others lose power", func() {
		f := startFleet(3, 1)
		behind := f.instances[2]
		if behind == f.leader() {
			behind = f.instances[1]
		}
		f.isolate(behind) // misses the last changes
		f.commitDocument()
		f.commitDocument()
		f.wipe(f.leader())
		f.stopAll()
		f.restartStopped()
		f.recoverAndCheck()
	})

	It("do not count an empty disk as a vote, whatever the rest of the machines do", func() {
		f := startFleet(3, 1)
		f.commitDocument()
		holder, behind := f.instances[0], f.instances[1]
		f.wipe(behind)
		f.stop(f.instances[2])
		f.stop(holder)
		f.start(behind)
		f.runFor(5 * time.Second)
		Expect(behind.d.Status(f.now).Role).To(Equal("follower"))
		Expect(behind.d.Status(f.now).Voters).To(BeEmpty())
		f.recoverAndCheck()
	})

	It("offer after a restart only what was committed, not what was merely written", func() {
		f := startFleet(3, 1)
		f.commitDocument()
		alone, before := f.leader(), f.ackedVersion
		f.isolate(alone)
		alone.committedHint = alone.d.Status(f.now).Commit
		_, done, err := alone.d.Put(f.now, f.document(before+10))
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		f.processReady(alone)
		f.stop(alone)
		alone.disk.Restart(0)
		f.start(alone)
		Expect(alone.d.Document().Version()).To(Equal(before))
	})
})
