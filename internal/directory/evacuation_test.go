package directory

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// operator is an operator of one failure domain. It has one order under way at a
// time, and sends it again to any instance until it is acknowledged.
type operator struct {
	domain       string
	pending      *evacuation.Order // under way, nil for none
	acknowledged *evacuation.Order // acknowledged last, nil for none
}

// operate begins an order now and then, and sends the one under way to some machine.
func (f *fleet) operate(op *operator) {
	if op.pending == nil {
		if f.rng.IntN(10) > 0 {
			return
		}
		op.pending = &evacuation.Order{Domain: op.domain, Undo: f.rng.IntN(2) == 0}
	}
	inst := f.instances[f.rng.IntN(len(f.instances))]
	if inst.d == nil || inst.pausedUntil.After(f.now) {
		return
	}
	order := op.pending
	acknowledged := func() {
		if op.pending == order {
			op.pending, op.acknowledged = nil, order
		}
	}
	index, done, err := inst.d.Evacuate(f.now, *order)
	switch {
	case err != nil:
	case done:
		acknowledged()
	default:
		inst.onCommit[index] = acknowledged
		f.processReady(inst)
	}
}

// checkEvacuations asserts that an instance goes only forward within one life,
// and that a revision means the same everywhere.
func (f *fleet) checkEvacuations(inst *instance) {
	set := inst.d.Evacuations()
	Expect(set.Revision()).To(BeNumerically(">=", inst.shownRevision), "seed %d: %s went back", f.seed, inst.id)
	inst.shownRevision = set.Revision()
	domains := fmt.Sprint(set.Domains())
	if known, ok := f.domainsByRevision[set.Revision()]; ok {
		Expect(domains).To(Equal(known), "seed %d: revision %d is two things", f.seed, set.Revision())
	}
	f.domainsByRevision[set.Revision()] = domains
}

// checkAcknowledgedOrders asserts that whoever can show the newest holds what was
// acknowledged last.
func (f *fleet) checkAcknowledgedOrders(inst *instance) {
	for _, e := range f.operators {
		if e.pending == nil && e.acknowledged != nil {
			Expect(inst.d.Evacuations().Holds(*e.acknowledged)).To(BeTrue(), "seed %d: %s does not hold %s", f.seed, inst.id, e.acknowledged)
		}
	}
}

// newSingleVoter returns an instance that is the only voter, and has elected itself.
func newSingleVoter(now time.Time, loaded *storage.Loaded) *Directory {
	d, err := New(Config{
		Self: "10.0.0.1:7000", Address: "10.0.0.1:7000", Founders: []string{"10.0.0.1:7000"}, Voters: 1, Rand: rand.New(rand.NewPCG(1, 1)),
	}, now, loaded)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// runOneSecond lets an instance go on for a second, and returns what is done.
func runOneSecond(d *Directory, now time.Time) (done []uint64, after time.Time) {
	for range 40 {
		now = now.Add(25 * time.Millisecond)
		d.Tick(now)
		ready, err := d.Ready(now)
		Expect(err).NotTo(HaveOccurred())
		done = append(done, ready.Done...)
	}
	return done, now
}

var _ = Describe("evacuations at one control instance", func() {
	var (
		d   *Directory
		now time.Time
	)
	BeforeEach(func() {
		now = time.Unix(5000, 0)
		d = newSingleVoter(now, &storage.Loaded{Hard: &wire.HardState{}})
		_, now = runOneSecond(d, now)
	})

	It("take an order back that is offered before the first one is committed", func() {
		first, done, err := d.Evacuate(now, evacuation.Order{Domain: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		second, done, err := d.Evacuate(now, evacuation.Order{Domain: "a", Undo: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse(), "acknowledged though the order before it is still to come")
		finished, _ := runOneSecond(d, now)
		Expect(finished).To(Equal([]uint64{first, second}))
		Expect(d.Evacuations().Domains()).To(BeEmpty())
	})

	It("are acknowledged again without another entry of the log", func() {
		_, _, err := d.Evacuate(now, evacuation.Order{Domain: "a"})
		Expect(err).NotTo(HaveOccurred())
		_, now = runOneSecond(d, now)
		last := d.replica.LastIndex()
		_, done, err := d.Evacuate(now, evacuation.Order{Domain: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
		Expect(d.replica.LastIndex()).To(Equal(last))
	})

	It("outlive a snapshot, beside the document", func() {
		doc, faults := document.New(document.Config{Version: 7})
		Expect(faults).To(BeEmpty())
		_, _, err := d.Put(now, doc)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = d.Evacuate(now, evacuation.Order{Domain: "b"})
		Expect(err).NotTo(HaveOccurred())
		_, now = runOneSecond(d, now)
		file, hard, _, err := d.Compact()
		Expect(err).NotTo(HaveOccurred())
		again := newSingleVoter(now, &storage.Loaded{Snapshot: file, Hard: hard})
		Expect(again.Evacuations().Domains()).To(Equal([]string{"b"}))
		Expect(again.Evacuations().Revision()).To(Equal(d.Evacuations().Revision()))
		Expect(again.Document().Version()).To(Equal(uint64(7)))
	})

	It("leave a log that was written before them readable", func() {
		doc, faults := document.New(document.Config{Version: 9, Source: []byte("{}")})
		Expect(faults).To(BeEmpty())
		bare, err := proto.Marshal(doc.Message())
		Expect(err).NotTo(HaveOccurred())
		old := newSingleVoter(now, &storage.Loaded{
			Hard:     &wire.HardState{Term: 1},
			Snapshot: &wire.SnapshotFile{Index: 4, Term: 1, Voters: []string{"10.0.0.1:7000"}, State: bare},
		})
		Expect(old.Document().Version()).To(Equal(uint64(9)))
		Expect(old.applyCommand(5, bare)).To(Succeed())
		Expect(old.Evacuations().Domains()).To(BeEmpty())
	})

	It("are vouched for by who can show its lease, not by one that was cut off as leader, nor by its follower", func() {
		f := newFleet(77, 6, 2)
		for range startupTime / testStep {
			f.step()
		}
		var leader, follower *instance
		for _, inst := range f.instances {
			if inst.d.Roster(f.now).Leads {
				Expect(leader).To(BeNil())
				leader = inst
			}
		}
		Expect(leader).NotTo(BeNil())
		for _, inst := range f.instances {
			if inst != leader && inst.domain == leader.domain {
				follower = inst
			}
		}
		for _, inst := range f.instances {
			if inst.domain != leader.domain {
				for _, cut := range []*instance{leader, follower} {
					f.blockedLinks[[2]string{inst.address, cut.address}], f.blockedLinks[[2]string{cut.address, inst.address}] = true, true
				}
			}
		}
		for range (Lease + time.Second) / testStep {
			f.step()
		}
		Expect(follower.d.Leader()).To(Equal(leader.id), "which it still hears")
		for _, m := range []*instance{leader, follower} {
			Expect(m.d.Roster(f.now).Leads).To(BeFalse(), m.id)
		}
	})
})
