package directory

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/gomega"
)

// fault does something to the machines, or mends what was done.
func (f *fleet) fault() {
	m := f.machines[f.rng.IntN(len(f.machines))]
	switch f.rng.IntN(14) {
	case 0, 1:
		m.disk.CrashAfter(f.rng.IntN(6)) // power fails at one of the next writes
	case 2:
		if f.lost() < f.losses {
			f.wipe(m)
		}
	case 3:
		f.replace(m)
	case 4, 5:
		m.frozen = f.now.Add(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	case 6, 7:
		other := f.machines[f.rng.IntN(len(f.machines))]
		f.cut[[2]string{m.address, other.address}] = true // one way
	case 8:
		f.cutOff(m)
	case 9:
		f.powerOff()
	default:
		clear(f.cut)
		f.mend()
	}
}

func (f *fleet) cutOff(m *machine) {
	for _, other := range f.machines {
		f.cut[[2]string{m.address, other.address}] = true
		f.cut[[2]string{other.address, m.address}] = true
	}
}

// replace takes a machine away for good; an empty one comes elsewhere.
func (f *fleet) replace(m *machine) {
	if f.lost() >= f.losses {
		return
	}
	for i, other := range f.machines {
		if other == m {
			f.stop(m)
			fresh := f.machine(100 + int(f.rng.Uint64N(1000)))
			fresh.domain, fresh.id, fresh.emptyAt, fresh.lives = m.domain, fresh.address+"#1", f.now, 1
			f.machines[i] = fresh
		}
	}
}

func (f *fleet) powerOff() {
	for _, m := range f.machines {
		f.stop(m)
	}
}

// mend starts what is down.
func (f *fleet) mend() {
	for _, m := range f.machines {
		if m.d != nil && !m.disk.Crashed() {
			continue
		}
		m.disk.Restart(f.rng.IntN(40))
		if !m.emptyAt.IsZero() && m.d == nil && m.store == nil {
			m.emptyAt = f.now // its time to catch up begins now
		}
		f.start(m)
	}
}

func (f *fleet) run(steps int) {
	for range begin / testStep {
		f.step()
	}
	for range steps {
		if f.rng.IntN(80) == 0 {
			f.fault()
		}
		if f.rng.IntN(8) == 0 {
			f.order()
		}
		if f.rng.IntN(20) == 0 {
			f.act(f.evacuators[f.rng.IntN(len(f.evacuators))])
		}
		if !f.calm() {
			f.postponeCatchUp()
		}
		f.step()
		f.read()
	}
}

// postponeCatchUp restarts the time that lost disks are given while others
// are disturbed too.
func (f *fleet) postponeCatchUp() {
	for _, m := range f.machines {
		if !m.emptyAt.IsZero() && f.now.Sub(m.emptyAt) < catchUp {
			m.emptyAt = f.now
		}
	}
}

// finish mends everything and asserts that what was acknowledged is there.
func (f *fleet) finish() {
	clear(f.cut)
	f.mend()
	for _, m := range f.machines {
		m.frozen = time.Time{}
		m.disk.CrashAfter(-1)
	}
	for range settle / testStep {
		f.step()
	}
	leaders := 0
	for _, m := range f.machines {
		doc, err := m.d.Read(f.now)
		if err != nil {
			continue
		}
		leaders++
		f.checkSettled(m)
		if f.acked > 0 {
			Expect(doc).NotTo(BeNil(), "seed %d: everything acknowledged is lost", f.seed)
			Expect(doc.Version()).To(BeNumerically(">=", f.acked), "seed %d: the newest acknowledged is lost", f.seed)
		}
	}
	Expect(leaders).To(Equal(1), "seed %d: who can show the newest of %s", f.seed, f)
	f.checkVoters()
}

// String tells what everybody believes.
func (f *fleet) String() string {
	var b strings.Builder
	for _, m := range f.machines {
		s := m.d.Status(f.now)
		fmt.Fprintf(&b, "\n%s: %s of %q, term %d, commit %d, last %d, voters %v", m.id, s.Role, s.Leader, s.Term, s.Commit, m.d.replica.LastIndex(), s.Voters)
	}
	return b.String()
}

// checkVoters asserts that the voters are as many as wanted and all alive.
func (f *fleet) checkVoters() {
	for _, m := range f.machines {
		s := m.d.Status(f.now)
		if !s.Current {
			continue
		}
		Expect(s.Voters).To(HaveLen(min(2*f.losses+1, len(f.machines))), "seed %d", f.seed)
		for _, id := range s.Voters {
			holder := f.at(AddressOf(id))
			Expect(holder).NotTo(BeNil(), "seed %d: voter %s is gone", f.seed, id)
			Expect(holder.id).To(Equal(id), "seed %d: voter %s has lost its disk", f.seed, id)
		}
	}
}
