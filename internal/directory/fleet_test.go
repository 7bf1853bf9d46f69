package directory

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/storage/storagetest"
	"oxbowsaddle/internal/wire"
)

var (
	firstSeed = flag.Uint64("directory.seed", 1, "seed of the first schedule")
	runs      = flag.Uint64("directory.runs", 10, "number of schedules, each with the next seed")
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

const (
	testStep = 5 * time.Millisecond
	// catchUpTime is how long an instance with an empty disk counts as lost after
	// its start.
	catchUpTime = 4 * time.Second
	// startupTime is how long a new fleet runs without faults.
	startupTime = 5 * time.Second
	// recoveryTime is how long the fleet runs without faults before the final
	// checks.
	recoveryTime = 12 * time.Second
)

type (
	// instance is one control instance with its disk and its observed state.
	instance struct {
		address          string
		domain           string
		disk             *storagetest.Memory
		store            *storage.Store
		id               string
		diskGeneration   int // number of lost disks
		d                *Directory
		pausedUntil      time.Time
		wipedAt          time.Time // when its disk was last empty, zero if never
		committedHint    uint64    // committed index stored at some earlier time
		shownVersion     uint64    // document version since the last start
		shownVoters      int       // number of voters since the last start
		proposedVersions map[uint64]uint64
		// Evacuations: the revision since the last start, and the callbacks for
		// committed orders by log index.
		shownRevision uint64
		onCommit      map[uint64]func()
	}

	delivery struct {
		at       time.Time
		from, to string
		log      *wire.LogMessage
		roster   *wire.Roster
	}

	// fleet simulates control instances with lost, delayed and duplicated
	// messages, one-way partitions, power losses at any write, lost disks and
	// replaced instances.
	fleet struct {
		seed             uint64
		rng              *rand.Rand
		now              time.Time
		maxLosses        int
		instances        []*instance
		pending          []delivery
		blockedLinks     map[[2]string]bool // from, to
		version          uint64
		ackedVersion     uint64
		contentByVersion map[uint64]string
		founders         []string
		nextRosterAt     time.Time

		operators         []*operator
		domainsByRevision map[uint64]string // failure domains by revision
	}
)

func newFleet(seed uint64, n, maxLosses int) *fleet {
	f := &fleet{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(5000, 0), maxLosses: maxLosses,
		blockedLinks: map[[2]string]bool{}, contentByVersion: map[uint64]string{},
		operators: []*operator{{domain: "a"}, {domain: "b"}}, domainsByRevision: map[uint64]string{},
	}
	for i := range n {
		f.instances = append(f.instances, f.newInstance(i))
	}
	for i := range min(3, n) {
		f.founders = append(f.founders, f.instances[i].address)
	}
	for i, inst := range f.instances {
		inst.id = inst.address
		if i >= len(f.founders) {
			inst.id += "#0"
		}
		f.start(inst)
	}
	return f
}

func (f *fleet) newInstance(i int) *instance {
	return &instance{address: fmt.Sprintf("10.0.0.%d:7000", i), domain: fmt.Sprint("d", i%3), disk: storagetest.NewMemory()}
}

// start starts an instance from its disk.
func (f *fleet) start(inst *instance) {
	store, loaded, err := storage.Open(inst.disk.Files())
	Expect(err).NotTo(HaveOccurred(), "seed %d: %s", f.seed, inst.id)
	var founders []string
	if inst.diskGeneration == 0 && inst.id == inst.address {
		founders = f.founders
	}
	inst.store, inst.shownVersion, inst.proposedVersions, inst.pausedUntil = store, 0, map[uint64]uint64{}, time.Time{}
	inst.shownVoters, inst.shownRevision, inst.onCommit = 0, 0, map[uint64]func(){}
	inst.d, err = New(Config{
		Self: inst.id, Address: inst.address, Domain: inst.domain, Founders: founders, Voters: 2*f.maxLosses + 1, Committed: inst.committedHint,
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 1)),
	}, f.now, loaded)
	Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) stop(inst *instance) { inst.d = nil }

// wipe replaces an instance's disk by an empty one, and so changes its ID.
func (f *fleet) wipe(inst *instance) {
	f.stop(inst)
	inst.diskGeneration++
	inst.committedHint = 0
	inst.disk, inst.id, inst.wipedAt = storagetest.NewMemory(), fmt.Sprintf("%s#%d", inst.address, inst.diskGeneration), f.now
}

// countLostDisks counts the instances that lost their disk and have not caught
// up yet.
func (f *fleet) countLostDisks() int {
	n := 0
	for _, inst := range f.instances {
		if !inst.wipedAt.IsZero() && (inst.d == nil || f.now.Sub(inst.wipedAt) < catchUpTime) {
			n++
		}
	}
	return n
}

// allRunning reports whether all instances run and no link is blocked. Only
// then can an instance with an empty disk be expected to catch up.
func (f *fleet) allRunning() bool {
	up := 0
	for _, inst := range f.instances {
		if inst.d != nil && !inst.pausedUntil.After(f.now) {
			up++
		}
	}
	return up == len(f.instances) && len(f.blockedLinks) == 0
}

func (f *fleet) processReady(inst *instance) {
	ready, err := inst.d.Ready(f.now)
	Expect(err).NotTo(HaveOccurred())
	if !f.persist(inst, ready) {
		f.stop(inst)
		return
	}
	for _, message := range ready.Log.Messages {
		f.send(delivery{from: inst.address, to: AddressOf(message.To), log: message})
	}
	f.checkDocument(inst)
	f.checkEvacuations(inst)
	if f.rng.IntN(20) == 0 {
		inst.committedHint = inst.d.Status(f.now).Commit
	}
	for _, index := range ready.Done {
		f.ackedVersion = max(f.ackedVersion, inst.proposedVersions[index])
		if notify := inst.onCommit[index]; notify != nil {
			notify()
		}
	}
}

func (f *fleet) persist(inst *instance, ready Ready) bool {
	if s := ready.Log.Snapshot; s != nil && inst.store.SaveSnapshot(s, ready.Log.HardState, nil) != nil {
		return false
	}
	if r := ready.Log.Record; r != nil && inst.store.Append(r) != nil {
		return false
	}
	if f.rng.IntN(200) == 0 {
		file, hard, after, err := inst.d.Compact()
		Expect(err).NotTo(HaveOccurred())
		return file == nil || inst.store.SaveSnapshot(file, hard, after) == nil
	}
	return true
}

// checkDocument asserts that the version of a running instance never decreases,
// that all instances agree on the contents of a version, and that the voters
// change as they must.
func (f *fleet) checkDocument(inst *instance) {
	f.checkVoterChange(inst)
	doc := inst.d.Document()
	if doc == nil {
		return
	}
	Expect(doc.Version()).To(BeNumerically(">=", inst.shownVersion), "seed %d: the version of %s decreased", f.seed, inst.id)
	inst.shownVersion = doc.Version()
	content, known := f.contentByVersion[doc.Version()]
	if !known {
		f.contentByVersion[doc.Version()] = string(doc.Source())
	} else {
		Expect(string(doc.Source())).To(Equal(content), "seed %d: two different contents of version %d", f.seed, doc.Version())
	}
}

func (f *fleet) send(s delivery) {
	if f.rng.IntN(100) < 3 || f.blockedLinks[[2]string{s.from, s.to}] {
		return
	}
	for range 1 + f.rng.IntN(20)/19 {
		s.at = f.now.Add(time.Duration(1+f.rng.IntN(20)) * time.Millisecond)
		f.pending = append(f.pending, s)
	}
}

func (f *fleet) byAddress(address string) *instance {
	for _, inst := range f.instances {
		if inst.address == address {
			return inst
		}
	}
	return nil
}

func (f *fleet) step() {
	f.now = f.now.Add(testStep)
	batch := f.pending
	f.pending = nil
	for _, s := range batch {
		inst := f.byAddress(s.to)
		switch {
		case s.at.After(f.now), inst != nil && inst.pausedUntil.After(f.now):
			f.pending = append(f.pending, s)
		case inst == nil || inst.d == nil:
		case s.log != nil:
			inst.d.Step(f.now, s.log)
			f.processReady(inst)
		default:
			inst.d.HandleRoster(f.now, s.roster)
		}
	}
	for _, inst := range f.instances {
		if inst.d != nil && !inst.pausedUntil.After(f.now) {
			inst.d.Tick(f.now)
			f.processReady(inst)
		}
	}
	f.exchangeRosters()
}

// exchangeRosters sends the roster of each instance to its known peers and to
// the seeds, which are the first three instances.
func (f *fleet) exchangeRosters() {
	if f.now.Before(f.nextRosterAt) {
		return
	}
	f.nextRosterAt = f.now.Add(200 * time.Millisecond)
	for _, inst := range f.instances {
		if inst.d == nil || inst.pausedUntil.After(f.now) {
			continue
		}
		roster := inst.d.Roster(f.now)
		contacted := map[string]bool{inst.address: true}
		for _, address := range append(inst.d.Addresses(), f.instances[0].address, f.instances[1].address, f.instances[2].address) {
			if !contacted[address] {
				contacted[address] = true
				f.send(delivery{from: inst.address, to: address, roster: roster})
			}
		}
	}
}

// proposeNext proposes the next version, or the last one again, to a random
// instance.
func (f *fleet) proposeNext() {
	inst := f.instances[f.rng.IntN(len(f.instances))]
	if inst.d == nil || inst.pausedUntil.After(f.now) {
		return
	}
	version := f.version
	if f.rng.IntN(4) > 0 {
		f.version += 1 + f.rng.Uint64N(3)
		version = f.version
	}
	index, done, err := inst.d.Put(f.now, f.document(version))
	switch {
	case err != nil:
	case done:
		f.ackedVersion = max(f.ackedVersion, version)
	default:
		inst.proposedVersions[index] = version
		f.processReady(inst)
	}
}

// document returns a document with unique contents, even for the same version.
func (f *fleet) document(version uint64) *document.Document {
	doc, faults := document.New(document.Config{Version: version, Source: fmt.Appendf(nil, "%d by %d", version, f.rng.Uint64())})
	Expect(faults).To(BeEmpty())
	return doc
}

// checkReads asserts that no read returns a version older than an acknowledged
// one.
func (f *fleet) checkReads() {
	for _, inst := range f.instances {
		if inst.d == nil || inst.pausedUntil.After(f.now) {
			continue
		}
		doc, err := inst.d.Read(f.now)
		if err != nil {
			continue
		}
		version := uint64(0)
		if doc != nil {
			version = doc.Version()
		}
		Expect(version).To(BeNumerically(">=", f.ackedVersion), "seed %d: %s returned an outdated version", f.seed, inst.id)
		f.checkAcknowledgedOrders(inst)
	}
}

var _ = Describe("control instances under random faults", func() {
	for _, size := range []struct{ instances, maxLosses int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		It(fmt.Sprintf("lose no acknowledged change and return no outdated one, with %d instances and up to %d disks lost at once", size.instances, size.maxLosses), func() {
			for seed := *firstSeed; seed < *firstSeed+*runs; seed++ {
				f := newFleet(seed, size.instances, size.maxLosses)
				f.run(4000)
				f.recoverAndCheck()
			}
		})
	}
})
