// Package soak drives the decision cores of a whole fleet in one goroutine
// with fake packets, backend servers and a clock of its own, and checks what
// must always hold. It is a long randomised test, not a model of a cluster:
// messages are delayed, lost, doubled and cut, and nothing else is imitated.
// A run depends on its seed alone, so a failure is replayed by its seed.
package soak

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/controller"
	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/health"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	tickInterval      = 10 * time.Millisecond
	heartbeatInterval = 300 * time.Millisecond
	probeInterval     = 200 * time.Millisecond
	leaseDuration     = 1500 * time.Millisecond
	clockMargin       = 150 * time.Millisecond
	leaderDomain      = "d0"
	maxDrainDelay     = 3 * time.Second
	lossPerMille      = 10
	duplicatePerMille = 10
)

type (
	// event is something that happens at a time.
	event struct {
		at  time.Time
		seq uint64
		run func()
	}

	eventQueue []event

	// Sim is a fleet with its callers and backend servers.
	Sim struct {
		rng            *rand.Rand
		now            time.Time
		queue          eventQueue
		seq            uint64
		state          *control.State
		log            []*wire.LogEntry
		controller     *controller.Controller
		entries        map[string]*instance
		entryNames     []string
		backends       map[uint32]*backend
		backendsByAddr map[netip.AddrPort]*backend
		callers        []*caller
		requesters     []*requester
		requests       map[uint64]*requestRecord
		lastToken      uint64
		partitioned    map[string]bool // domains cut off from the others
		reconnectedAt  map[string]time.Time
		changeCount    int
		report         Report
		config         Config
		leavingSince   map[string]time.Time // endpoints, by when their leaving was accepted
		trace          func(line string)    // of every step, to look into a replayed failure
	}

	// Config sets the size of a world.
	Config struct {
		Seed        uint64
		Domains     int
		Entries     int
		Endpoints   int
		Callers     int
		Balance     float64
		IdleTimeout time.Duration
		Modulo      bool // the baseline placement
	}

	// Report counts what callers and backend servers have seen.
	Report struct {
		Flows, Ended, Split, ResetByEntry, ResetByBackend, Crossed uint64
		NewAfterDrain, NotOpened, Relayed, Forwarded               uint64
		Requests, Unanswered, RanTwice, FalseNotRun                uint64
		Answers                                                    map[string]uint64
		Reasons                                                    map[string]uint64
		Violations                                                 []string
	}
)

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event, for container/heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event, for container/heap.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a world whose entries have not started yet.
func New(c Config) *Sim {
	sim := &Sim{
		rng: rand.New(rand.NewPCG(c.Seed, 17)), now: time.Unix(1_000_000, 0), config: c,
		state: control.NewState(), entries: map[string]*instance{}, backends: map[uint32]*backend{},
		backendsByAddr: map[netip.AddrPort]*backend{}, partitioned: map[string]bool{}, reconnectedAt: map[string]time.Time{}, requests: map[uint64]*requestRecord{}, leavingSince: map[string]time.Time{},
	}
	sim.report.Reasons, sim.report.Answers = map[string]uint64{}, map[string]uint64{}
	sim.controller = controller.New(controllerConfig(), sim.now, sim.state, 0)
	sim.commit(&wire.Command{Body: &wire.Command_Change{Change: sim.initialChange()}})
	for i := range c.Entries {
		name := fmt.Sprintf("e%d", i)
		sim.entryNames = append(sim.entryNames, name)
		sim.startEntry(name, fmt.Sprintf("d%d", i%c.Domains))
	}
	sim.scheduleEvery(tickInterval, func() { sim.tickController() })
	return sim
}

func controllerConfig() controller.Config {
	h := health.DefaultConfig()
	h.Ramp = time.Second
	return controller.Config{
		Lease: leaseDuration, ClockMargin: clockMargin, ReturnTimeout: 3 * time.Second, SettleAfter: 600 * time.Millisecond,
		PlacementInterval: 200 * time.Millisecond, MaxMovesPerRound: 4, Health: h,
	}
}

// Run lets time pass.
func (sim *Sim) Run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = end
}

// Report returns what was counted.
func (sim *Sim) Report() Report { return sim.report }

func (sim *Sim) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.seq, run})
}

func (sim *Sim) scheduleEvery(d time.Duration, run func()) {
	sim.schedule(d, func() {
		run()
		sim.scheduleEvery(d, run)
	})
}

// send delivers something from one domain to another: late, perhaps lost or
// twice, and not at all while they are cut off from each other.
func (sim *Sim) send(from, to string, deliver func()) {
	if sim.rng.IntN(1000) < lossPerMille {
		return
	}
	times := 1
	if sim.rng.IntN(1000) < duplicatePerMille {
		times = 2
	}
	sim.deliver(from, to, times, deliver)
}

// sendWithoutDuplicate is send without doubling. Dispatched requests go so: a doubled
// datagram is told apart by its CoAP message id at the backend server (RFC
// 7252, 4.5), while these backend servers count every run, so that a request
// that the balancer dispatches twice is seen.
func (sim *Sim) sendWithoutDuplicate(from, to string, deliver func()) {
	if sim.rng.IntN(1000) >= lossPerMille {
		sim.deliver(from, to, 1, deliver)
	}
}

func (sim *Sim) deliver(from, to string, times int, deliver func()) {
	for range times {
		sim.schedule(time.Millisecond+time.Duration(sim.rng.IntN(4000))*time.Microsecond, func() {
			if from == to || !sim.partitioned[from] && !sim.partitioned[to] {
				deliver()
			}
		})
	}
}

// tracef traces one line where a trace is wanted.
func (sim *Sim) tracef(format string, args ...any) {
	if sim.trace != nil {
		sim.trace(fmt.Sprintf("%v ", sim.now.Sub(time.Unix(1_000_000, 0))) + fmt.Sprintf(format, args...))
	}
}

func (sim *Sim) violationf(format string, args ...any) {
	const maxViolations = 20
	if len(sim.report.Violations) < maxViolations {
		sim.report.Violations = append(sim.report.Violations, fmt.Sprintf("%v: ", sim.now.Sub(time.Unix(1_000_000, 0)))+fmt.Sprintf(format, args...))
	}
}

// commit agrees on a command at once: the replicated log has its own test.
func (sim *Sim) commit(c *wire.Command) control.Answer {
	c.UnixNano = sim.now.UnixNano()
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	index := sim.state.Index() + 1
	answer, err := sim.state.Apply(index, data)
	if err != nil {
		panic(err)
	}
	sim.tracef("commit %d %v", index, c)
	sim.log = append(sim.log, &wire.LogEntry{Index: index, Term: 1, Command: data})
	return answer
}

func (sim *Sim) tickController() {
	for _, c := range sim.controller.Tick(sim.now) {
		sim.commit(c)
	}
	sim.checkActiveIndex()
}

// checkActiveIndex asserts that the active index never passes an entry that
// may still decide by its lease.
func (sim *Sim) checkActiveIndex() {
	for _, name := range sim.entryNames {
		e := sim.entries[name]
		if e.alive && sim.now.Before(e.member.LeaseUntil()) && e.member.State().Index() < sim.controller.Active() {
			sim.violationf("%s holds a lease at index %d, in use is %d", name, e.member.State().Index(), sim.controller.Active())
		}
	}
}

func (sim *Sim) feed() controller.Feed {
	return controller.Feed{
		Entries: func(from uint64, _ int) ([]*wire.LogEntry, bool) {
			if from == 0 || from > uint64(len(sim.log)) {
				return nil, true
			}
			return sim.log[from-1:], true
		},
		Snapshot: func() (uint64, []byte, error) {
			data, err := sim.state.Snapshot()
			return sim.state.Index(), data, err
		},
	}
}

func (sim *Sim) handleHeartbeat(r *wire.BeatRequest) *wire.BeatReply {
	grant := sim.controller.Beat(sim.now, r, true)
	reply := &wire.BeatReply{Leader: true, Term: 1, LeaderName: "leader", LeaseNanos: int64(grant.Lease), Active: grant.Active, Commit: sim.state.Index()}
	if err := sim.feed().Fill(reply, r); err != nil {
		panic(err)
	}
	return reply
}

// reachableEntries returns the entries that a packet at a domain can be handed to.
func (sim *Sim) reachableEntries(domain string) []*instance {
	var entries []*instance
	for _, name := range sim.entryNames {
		e := sim.entries[name]
		if e.alive && (e.domain == domain || !sim.partitioned[domain] && !sim.partitioned[e.domain]) {
			entries = append(entries, e)
		}
	}
	return entries
}

// workServiceID returns the id of the service that takes work.
func (sim *Sim) workServiceID() uint32 { return 2 }

func (sim *Sim) hasher() route.Hasher { return route.NewHasher([16]byte{1, 2, 3}) }

func (sim *Sim) countVerdict(v flow.Verdict) {
	sim.report.Reasons[v.Reason().String()]++
	switch v.Action() {
	case flow.Relay:
		sim.report.Relayed++
	case flow.Forward:
		sim.report.Forwarded++
	}
}

// decode turns a built packet into what an engine takes.
func decode(inner []byte, relay *packet.Relay) *packet.Packet {
	p := &packet.Packet{}
	var d packet.Decoder
	if relay == nil {
		if d.DecodeInner(inner, p) != packet.Decoded {
			panic("soak built a packet that does not decode")
		}
		return p
	}
	encoder, err := packet.NewEncoder()
	if err != nil {
		panic(err)
	}
	if d.Decode(encoder.AppendRelay(nil, inner, *relay), p) != packet.Decoded {
		panic("soak built a relay that does not decode")
	}
	return p
}
