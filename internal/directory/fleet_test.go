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
	firstSeed = flag.Uint64("directory.seed", 1, "first seed of the schedules")
	runs      = flag.Uint64("directory.runs", 10, "how many schedules are run")
)

func TestDirectory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory")
}

const (
	testStep = 5 * time.Millisecond
	// catchUp is how long after its start an instance with an empty disk
	// still counts as lost.
	catchUp = 4 * time.Second
	// begin is how long the first start is left alone.
	begin = 5 * time.Second
	// settle is how long everybody is left alone before the end is judged.
	settle = 12 * time.Second
)

type (
	// machine is one control instance with its disk and what it has shown.
	machine struct {
		address string
		domain  string
		disk    *storagetest.Memory
		store   *storage.Store
		id      string
		lives   int // of its disk
		d       *Directory
		frozen  time.Time
		emptyAt time.Time // when it last started with an empty disk
		hint    uint64    // committed index on its disk, as it was at some time
		shown   uint64    // version in force in this life
		waiting map[uint64]uint64
		// Of evacuations: the revision shown in this life, and what is told when an
		// order is committed, by its index.
		revision uint64
		orders   map[uint64]func()
	}

	sent struct {
		at       time.Time
		from, to string
		log      *wire.LogMessage
		roster   *wire.Roster
	}

	// fleet drives control instances with lost, late, doubled and one-way
	// messages, losses of power at every write, lost disks and replaced
	// machines, and asserts what must hold.
	fleet struct {
		seed     uint64
		rng      *rand.Rand
		now      time.Time
		losses   int
		machines []*machine
		flight   []sent
		cut      map[[2]string]bool // from, to
		version  uint64
		acked    uint64
		contents map[uint64]string
		founders []string
		rosterAt time.Time

		evacuators []*evacuator
		evacuated  map[uint64]string // failure domains by revision
	}
)

func newFleet(seed uint64, n, losses int) *fleet {
	f := &fleet{
		seed: seed, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Unix(5000, 0), losses: losses,
		cut: map[[2]string]bool{}, contents: map[uint64]string{},
		evacuators: []*evacuator{{domain: "a"}, {domain: "b"}}, evacuated: map[uint64]string{},
	}
	for i := range n {
		f.machines = append(f.machines, f.machine(i))
	}
	for i := range min(3, n) {
		f.founders = append(f.founders, f.machines[i].address)
	}
	for i, m := range f.machines {
		m.id = m.address
		if i >= len(f.founders) {
			m.id += "#0"
		}
		f.start(m)
	}
	return f
}

func (f *fleet) machine(i int) *machine {
	return &machine{address: fmt.Sprintf("10.0.0.%d:7000", i), domain: fmt.Sprint("d", i%3), disk: storagetest.NewMemory()}
}

// start runs a machine on what its disk holds.
func (f *fleet) start(m *machine) {
	store, loaded, err := storage.Open(m.disk.Files())
	Expect(err).NotTo(HaveOccurred(), "seed %d: %s", f.seed, m.id)
	var founders []string
	if m.lives == 0 && m.id == m.address {
		founders = f.founders
	}
	m.store, m.shown, m.waiting, m.frozen = store, 0, map[uint64]uint64{}, time.Time{}
	m.revision, m.orders = 0, map[uint64]func(){}
	m.d, err = New(Config{
		Self: m.id, Address: m.address, Domain: m.domain, Founders: founders, Voters: 2*f.losses + 1, Committed: m.hint,
		Rand: rand.New(rand.NewPCG(f.rng.Uint64(), 1)),
	}, f.now, loaded)
	Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) stop(m *machine) { m.d = nil }

// wipe loses a machine's disk; it comes back as somebody else.
func (f *fleet) wipe(m *machine) {
	f.stop(m)
	m.lives++
	m.hint = 0
	m.disk, m.id, m.emptyAt = storagetest.NewMemory(), fmt.Sprintf("%s#%d", m.address, m.lives), f.now
}

// lost counts the disks that may not hold yet what was acknowledged.
func (f *fleet) lost() int {
	n := 0
	for _, m := range f.machines {
		if !m.emptyAt.IsZero() && (m.d == nil || f.now.Sub(m.emptyAt) < catchUp) {
			n++
		}
	}
	return n
}

// calm reports whether most machines run undisturbed: only then may a machine
// whose disk is lost be given the time to catch up.
func (f *fleet) calm() bool {
	up := 0
	for _, m := range f.machines {
		if m.d != nil && !m.frozen.After(f.now) {
			up++
		}
	}
	return up == len(f.machines) && len(f.cut) == 0
}

func (f *fleet) process(m *machine) {
	ready, err := m.d.Ready(f.now)
	Expect(err).NotTo(HaveOccurred())
	if !f.persist(m, ready) {
		f.stop(m)
		return
	}
	for _, message := range ready.Log.Messages {
		f.post(sent{from: m.address, to: AddressOf(message.To), log: message})
	}
	f.checkShown(m)
	f.checkEvacuations(m)
	if f.rng.IntN(20) == 0 {
		m.hint = m.d.Status(f.now).Commit
	}
	for _, index := range ready.Done {
		f.acked = max(f.acked, m.waiting[index])
		if told := m.orders[index]; told != nil {
			told()
		}
	}
}

func (f *fleet) persist(m *machine, ready Ready) bool {
	if s := ready.Log.Snapshot; s != nil && m.store.SaveSnapshot(s, ready.Log.Hard, nil) != nil {
		return false
	}
	if r := ready.Log.Record; r != nil && m.store.Append(r) != nil {
		return false
	}
	if f.rng.IntN(200) == 0 {
		file, hard, after, err := m.d.Compact()
		Expect(err).NotTo(HaveOccurred())
		return file == nil || m.store.SaveSnapshot(file, hard, after) == nil
	}
	return true
}

// checkShown asserts that an instance goes only forward within one life, and
// that a version means the same everywhere.
func (f *fleet) checkShown(m *machine) {
	Expect(len(m.d.replica.Voters())).To(BeNumerically("<=", 2*f.losses+1), "seed %d: a newcomer came before the dead voter went", f.seed)
	doc := m.d.Document()
	if doc == nil {
		return
	}
	Expect(doc.Version()).To(BeNumerically(">=", m.shown), "seed %d: %s went back", f.seed, m.id)
	m.shown = doc.Version()
	content, known := f.contents[doc.Version()]
	if !known {
		f.contents[doc.Version()] = string(doc.Source())
	} else {
		Expect(string(doc.Source())).To(Equal(content), "seed %d: version %d is two things", f.seed, doc.Version())
	}
}

func (f *fleet) post(s sent) {
	if f.rng.IntN(100) < 3 || f.cut[[2]string{s.from, s.to}] {
		return
	}
	for range 1 + f.rng.IntN(20)/19 {
		s.at = f.now.Add(time.Duration(1+f.rng.IntN(20)) * time.Millisecond)
		f.flight = append(f.flight, s)
	}
}

func (f *fleet) at(address string) *machine {
	for _, m := range f.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

func (f *fleet) step() {
	f.now = f.now.Add(testStep)
	batch := f.flight
	f.flight = nil
	for _, s := range batch {
		m := f.at(s.to)
		switch {
		case s.at.After(f.now), m != nil && m.frozen.After(f.now):
			f.flight = append(f.flight, s)
		case m == nil || m.d == nil:
		case s.log != nil:
			m.d.Step(f.now, s.log)
			f.process(m)
		default:
			m.d.Hear(f.now, s.roster)
		}
	}
	for _, m := range f.machines {
		if m.d != nil && !m.frozen.After(f.now) {
			m.d.Tick(f.now)
			f.process(m)
		}
	}
	f.exchangeRosters()
}

// exchangeRosters lets each machine call those that it knows of, and the
// seeds: the first three machines at their present addresses.
func (f *fleet) exchangeRosters() {
	if f.now.Before(f.rosterAt) {
		return
	}
	f.rosterAt = f.now.Add(200 * time.Millisecond)
	for _, m := range f.machines {
		if m.d == nil || m.frozen.After(f.now) {
			continue
		}
		roster := m.d.Roster(f.now)
		called := map[string]bool{m.address: true}
		for _, address := range append(m.d.Addresses(), f.machines[0].address, f.machines[1].address, f.machines[2].address) {
			if !called[address] {
				called[address] = true
				f.post(sent{from: m.address, to: address, roster: roster})
			}
		}
	}
}

// order offers the next version, or an old one again, to some machine.
func (f *fleet) order() {
	m := f.machines[f.rng.IntN(len(f.machines))]
	if m.d == nil || m.frozen.After(f.now) {
		return
	}
	version := f.version
	if f.rng.IntN(4) > 0 {
		f.version += 1 + f.rng.Uint64N(3)
		version = f.version
	}
	index, done, err := m.d.Put(f.now, f.document(version))
	switch {
	case err != nil:
	case done:
		f.acked = max(f.acked, version)
	default:
		m.waiting[index] = version
		f.process(m)
	}
}

// document has another content each time, also under the same version.
func (f *fleet) document(version uint64) *document.Document {
	doc, faults := document.New(document.Config{Version: version, Source: fmt.Appendf(nil, "%d by %d", version, f.rng.Uint64())})
	Expect(faults).To(BeEmpty())
	return doc
}

// read asserts that whoever answers shows nothing older than acknowledged.
func (f *fleet) read() {
	for _, m := range f.machines {
		if m.d == nil || m.frozen.After(f.now) {
			continue
		}
		doc, err := m.d.Read(f.now)
		if err != nil {
			continue
		}
		version := uint64(0)
		if doc != nil {
			version = doc.Version()
		}
		Expect(version).To(BeNumerically(">=", f.acked), "seed %d: %s shows an old version", f.seed, m.id)
		f.checkSettled(m)
	}
}

var _ = Describe("control instances under every loss", func() {
	for _, size := range []struct{ machines, losses int }{{3, 1}, {4, 1}, {5, 2}, {6, 2}} {
		It(fmt.Sprintf("lose nothing acknowledged and show nothing old: %d of them, %d lost at once", size.machines, size.losses), func() {
			for seed := *firstSeed; seed < *firstSeed+*runs; seed++ {
				f := newFleet(seed, size.machines, size.losses)
				f.run(4000)
				f.finish()
			}
		})
	}
})
