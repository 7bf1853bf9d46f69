package directory

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/gomega"
)

// injectFault injects a random fault, or ends all faults.
func (f *fleet) injectFault() {
	inst := f.instances[f.rng.IntN(len(f.instances))]
	switch f.rng.IntN(14) {
	case 0, 1:
		inst.disk.CrashAfter(f.rng.IntN(6)) // power loss at one of the next writes
	case 2:
		if f.countLostDisks() < f.maxLosses {
			f.wipe(inst)
		}
	case 3:
		f.replaceInstance(inst)
	case 4, 5:
		inst.pausedUntil = f.now.Add(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	case 6, 7:
		other := f.instances[f.rng.IntN(len(f.instances))]
		f.blockedLinks[[2]string{inst.address, other.address}] = true // one way
	case 8:
		f.isolate(inst)
	case 9:
		f.stopAll()
	default:
		clear(f.blockedLinks)
		f.restartStopped()
	}
}

func (f *fleet) isolate(inst *instance) {
	for _, other := range f.instances {
		f.blockedLinks[[2]string{inst.address, other.address}] = true
		f.blockedLinks[[2]string{other.address, inst.address}] = true
	}
}

// replaceInstance removes an instance and adds one with an empty disk at another
// address.
func (f *fleet) replaceInstance(inst *instance) {
	if f.countLostDisks() >= f.maxLosses {
		return
	}
	for i, other := range f.instances {
		if other == inst {
			f.stop(inst)
			fresh := f.newInstance(100 + int(f.rng.Uint64N(1000)))
			fresh.domain, fresh.id, fresh.wipedAt, fresh.diskGeneration = inst.domain, fresh.address+"#1", f.now, 1
			f.instances[i] = fresh
		}
	}
}

func (f *fleet) stopAll() {
	for _, inst := range f.instances {
		f.stop(inst)
	}
}

// restartStopped restarts stopped and crashed instances.
func (f *fleet) restartStopped() {
	for _, inst := range f.instances {
		if inst.d != nil && !inst.disk.Crashed() {
			continue
		}
		if !inst.wipedAt.IsZero() && inst.d == nil && inst.store == nil {
			inst.wipedAt = f.now // first start of a replacement
		}
		f.startAgain(inst)
	}
}

func (f *fleet) run(steps int) {
	for range startupTime / testStep {
		f.step()
	}
	for range steps {
		if f.rng.IntN(80) == 0 {
			f.injectFault()
		}
		if f.rng.IntN(8) == 0 {
			f.proposeNext()
		}
		if f.rng.IntN(20) == 0 {
			f.operate(f.operators[f.rng.IntN(len(f.operators))])
		}
		if !f.allRunning() {
			f.postponeCatchUp()
		}
		f.step()
		f.checkReads()
	}
}

// postponeCatchUp restarts the catch-up time of instances with a lost disk.
func (f *fleet) postponeCatchUp() {
	for _, inst := range f.instances {
		if !inst.wipedAt.IsZero() && f.now.Sub(inst.wipedAt) < catchUpTime {
			inst.wipedAt = f.now
		}
	}
}

// recoverAndCheck ends all faults and asserts that no acknowledged document or
// order is lost.
func (f *fleet) recoverAndCheck() {
	clear(f.blockedLinks)
	f.restartStopped()
	for _, inst := range f.instances {
		inst.pausedUntil = time.Time{}
		inst.disk.CrashAfter(-1)
	}
	for range recoveryTime / testStep {
		f.step()
	}
	leaders := 0
	for _, inst := range f.instances {
		doc, err := inst.d.Read(f.now)
		if err != nil {
			continue
		}
		leaders++
		f.checkAcknowledgedOrders(inst)
		if f.ackedVersion > 0 {
			Expect(doc).NotTo(BeNil(), "seed %d: all acknowledged documents are lost", f.seed)
			Expect(doc.Version()).To(BeNumerically(">=", f.ackedVersion), "seed %d: the latest acknowledged version is lost", f.seed)
		}
	}
	Expect(leaders).To(Equal(1), "seed %d: instances with a confirmed read: %s", f.seed, f)
	f.checkVoters()
}

// String describes the state of every instance.
func (f *fleet) String() string {
	var b strings.Builder
	for _, inst := range f.instances {
		s := inst.d.Status(f.now)
		fmt.Fprintf(&b, "\n%s: %s of %q, term %d, commit %d, last %d, voters %v", inst.id, s.Role, s.Leader, s.Term, s.Commit, inst.d.replica.LastIndex(), s.Voters)
	}
	return b.String()
}

// checkVoters asserts that the number of voters is as configured and that none
// of them has lost its disk.
func (f *fleet) checkVoters() {
	for _, inst := range f.instances {
		s := inst.d.Status(f.now)
		if !s.Current {
			continue
		}
		Expect(s.Voters).To(HaveLen(min(2*f.maxLosses+1, len(f.instances))), "seed %d", f.seed)
		for _, id := range s.Voters {
			holder := f.byAddress(AddressOf(id))
			Expect(holder).NotTo(BeNil(), "seed %d: no instance at the address of voter %s", f.seed, id)
			Expect(holder.id).To(Equal(id), "seed %d: voter %s has lost its disk", f.seed, id)
		}
	}
}
