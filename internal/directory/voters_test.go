package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// elect lets a fleet run undisturbed until its voters are as many as wanted.
func elect(machines, losses int) *fleet {
	f := newFleet(1, machines, losses)
	for range begin / testStep {
		f.step()
	}
	f.checkVoters()
	return f
}

func (f *fleet) rest(d time.Duration) {
	for range d / testStep {
		f.step()
	}
}

// leader returns the machine that leads.
func (f *fleet) leader() *machine {
	for _, m := range f.machines {
		if m.d != nil && m.d.Status(f.now).Current {
			return m
		}
	}
	return nil
}

// acknowledge puts a document and waits until it is committed.
func (f *fleet) acknowledge() {
	before := f.acked
	for range 2000 {
		if f.order(); f.acked > before {
			return
		}
		f.step()
	}
	Fail("nothing is acknowledged")
}

var _ = Describe("the voters", func() {
	It("grow from the seeds to what the tolerance needs, spread over the failure domains", func() {
		f := elect(6, 2)
		domains := map[string]int{}
		for _, id := range f.leader().d.Status(f.now).Voters {
			domains[f.at(AddressOf(id)).domain]++
		}
		Expect(domains).To(HaveLen(3))
		for _, n := range domains {
			Expect(n).To(BeNumerically("<=", 2))
		}
	})

	It("replace a machine that is gone for good by an empty one at another address", func() {
		f := elect(3, 1)
		f.acknowledge()
		f.replace(f.leader())
		f.rest(time.Second)
		f.mend()
		f.rest(catchUp)
		f.checkVoters()
	})

	It("bear that a newcomer loses its disk again before it has caught up", func() {
		f := elect(5, 2)
		f.acknowledge()
		first, second := f.machines[0], f.machines[1]
		f.wipe(first)
		f.replace(second)
		f.mend()
		f.rest(500 * time.Millisecond)
		f.wipe(f.machines[1])
		f.rest(3 * time.Second)
		f.acknowledge()
		f.mend()
		f.rest(catchUp)
		f.finish()
	})

	It("find the acknowledged when its holder's disk is lost as all others lose power", func() {
		f := elect(3, 1)
		behind := f.machines[2]
		if behind == f.leader() {
			behind = f.machines[1]
		}
		f.cutOff(behind) // misses the last changes
		f.acknowledge()
		f.acknowledge()
		f.wipe(f.leader())
		f.powerOff()
		f.mend()
		f.finish()
	})

	It("do not count an empty disk as a vote, whatever the rest of the machines do", func() {
		f := elect(3, 1)
		f.acknowledge()
		holder, behind := f.machines[0], f.machines[1]
		f.wipe(behind)
		f.stop(f.machines[2])
		f.stop(holder)
		f.start(behind)
		f.rest(5 * time.Second)
		Expect(behind.d.Status(f.now).Role).To(Equal("follower"))
		Expect(behind.d.Status(f.now).Voters).To(BeEmpty())
		f.finish()
	})

	It("offer after a restart only what was committed, not what was merely written", func() {
		f := elect(3, 1)
		f.acknowledge()
		alone, before := f.leader(), f.acked
		f.cutOff(alone)
		alone.hint = alone.d.Status(f.now).Commit
		_, done, err := alone.d.Put(f.now, f.document(before+10))
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		f.process(alone)
		f.stop(alone)
		alone.disk.Restart(0)
		f.start(alone)
		Expect(alone.d.Document().Version()).To(Equal(before))
	})
})
