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

// operator evacuates one failure domain and undoes this. It has one pending
// order at a time, and resends it to random instances until it is acknowledged.
type operator struct {
	domain       string
	pending      *evacuation.Order // nil if there is none
	acknowledged *evacuation.Order // the last one acknowledged, nil if there is none
}

// operate creates an order at random and sends the pending one to a random
// instance.
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

// checkEvacuations asserts that the revision of a running instance never
// decreases, and that all instances agree on the contents of a revision.
func (f *fleet) checkEvacuations(inst *instance) {
	set := inst.d.Evacuations()
	Expect(set.Revision()).To(BeNumerically(">=", inst.shownRevision), "seed %d: the revision of %s decreased", f.seed, inst.id)
	inst.shownRevision = set.Revision()
	domains := fmt.Sprint(set.Domains())
	if known, ok := f.domainsByRevision[set.Revision()]; ok {
		Expect(domains).To(Equal(known), "seed %d: two different contents of revision %d", f.seed, set.Revision())
	}
	f.domainsByRevision[set.Revision()] = domains
}

// checkAcknowledgedOrders asserts that the evacuations of an instance, whose
// state must be current, reflect the acknowledged orders.
func (f *fleet) checkAcknowledgedOrders(inst *instance) {
	for _, op := range f.operators {
		if op.pending == nil && op.acknowledged != nil {
			Expect(inst.d.Evacuations().Reflects(*op.acknowledged)).To(BeTrue(), "seed %d: the evacuations of %s do not reflect: %s", f.seed, inst.id, op.acknowledged)
		}
	}
}

// newSingleVoter returns an instance that is the only voter.
func newSingleVoter(now time.Time, loaded *storage.Loaded) *Directory {
	d, err := New(Config{
		Self: "10.0.0.1:7000", Address: "10.0.0.1:7000", Founders: []string{"10.0.0.1:7000"}, Voters: 1, Rand: rand.New(rand.NewPCG(1, 1)),
	}, now, loaded)
	Expect(err).NotTo(HaveOccurred())
	return d
}

// runOneSecond runs an instance for one second and returns the committed
// proposals and the time afterwards.
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

var _ = Describe("evacuations on a control instance", func() {
	var (
		d   *Directory
		now time.Time
	)
	BeforeEach(func() {
		now = time.Unix(5000, 0)
		d = newSingleVoter(now, &storage.Loaded{HardState: &wire.HardState{}})
		_, now = runOneSecond(d, now)
	})

	It("are undone by an order proposed before the first one is committed", func() {
		first, done, err := d.Evacuate(now, evacuation.Order{Domain: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse())
		second, done, err := d.Evacuate(now, evacuation.Order{Domain: "a", Undo: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeFalse(), "acknowledged before the previous order is applied")
		finished, _ := runOneSecond(d, now)
		Expect(finished).To(Equal([]uint64{first, second}))
		Expect(d.Evacuations().Domains()).To(BeEmpty())
	})

	It("are acknowledged again without another log entry", func() {
		_, _, err := d.Evacuate(now, evacuation.Order{Domain: "a"})
		Expect(err).NotTo(HaveOccurred())
		_, now = runOneSecond(d, now)
		last := d.replica.LastIndex()
		_, done, err := d.Evacuate(now, evacuation.Order{Domain: "a"})
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeTrue())
		Expect(d.replica.LastIndex()).To(Equal(last))
	})

	It("are restored from a snapshot together with the document", func() {
		doc, faults := document.New(document.Config{Version: 7})
		Expect(faults).To(BeEmpty())
		_, _, err := d.Put(now, doc)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = d.Evacuate(now, evacuation.Order{Domain: "b"})
		Expect(err).NotTo(HaveOccurred())
		_, now = runOneSecond(d, now)
		file, hard, _, err := d.Compact()
		Expect(err).NotTo(HaveOccurred())
		again := newSingleVoter(now, &storage.Loaded{Snapshot: file, HardState: hard})
		Expect(again.Evacuations().Domains()).To(Equal([]string{"b"}))
		Expect(again.Evacuations().Revision()).To(Equal(d.Evacuations().Revision()))
		Expect(again.Document().Version()).To(Equal(uint64(7)))
	})

	It("do not prevent reading a log written before they were supported", func() {
		doc, faults := document.New(document.Config{Version: 9, Source: []byte("{}")})
		Expect(faults).To(BeEmpty())
		unwrapped, err := proto.Marshal(doc.Message())
		Expect(err).NotTo(HaveOccurred())
		old := newSingleVoter(now, &storage.Loaded{
			HardState: &wire.HardState{Term: 1},
			Snapshot:  &wire.SnapshotFile{Index: 4, Term: 1, Voters: []string{"10.0.0.1:7000"}, State: unwrapped},
		})
		Expect(old.Document().Version()).To(Equal(uint64(9)))
		Expect(old.applyCommand(5, unwrapped)).To(Succeed())
		Expect(old.Evacuations().Domains()).To(BeEmpty())
	})

	It("are confirmed neither by a leader without a lease nor by its follower", func() {
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
				for _, isolated := range []*instance{leader, follower} {
					f.blockedLinks[[2]string{inst.address, isolated.address}], f.blockedLinks[[2]string{isolated.address, inst.address}] = true, true
				}
			}
		}
		for range (Lease + time.Second) / testStep {
			f.step()
		}
		Expect(follower.d.Leader()).To(Equal(leader.id), "the follower still receives its appends")
		for _, inst := range []*instance{leader, follower} {
			Expect(inst.d.Roster(f.now).Leads).To(BeFalse(), inst.id)
		}
	})
})
