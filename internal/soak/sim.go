// Package soak simulates a fleet of entries under faults and checks invariants,
// such as that an established flow stays on its endpoint and a request doesn't run
// twice. It drives the real decision cores in one goroutine, with simulated
// clients, backend servers, network and clock. The network delays, loses and
// duplicates messages and partitions domains; nothing else is simulated. A run
// depends on its seed alone, so a failure can be replayed.
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
	leaderDomain      = "d0"            // domain of the controller; never partitioned
	maxDrainDelay     = 3 * time.Second // until a leaving endpoint must get no new flows or requests
	lossPerMille      = 10
	duplicatePerMille = 10
)

type (
	// event is a function scheduled for a time. Events at the same time run in
	// the order of seq.
	event struct {
		at  time.Time
		seq uint64
		run func()
	}

	// eventQueue is a heap of events, the earliest first.
	eventQueue []event

	// Sim is a simulated fleet with its clients and backend servers.
	Sim struct {
		rng            *rand.Rand
		now            time.Time
		queue          eventQueue
		seq            uint64
		state          *control.State
		log            []*wire.LogEntry
		controller     *controller.Controller
		entries        map[string]*instance // current incarnation of each entry
		entryNames     []string             // for a deterministic order
		backends       map[uint32]*backend
		backendsByAddr map[netip.AddrPort]*backend
		clients        []*client
		requesters     []*requester
		requests       map[uint64]*requestRecord // by token
		lastToken      uint64
		partitioned    map[string]bool      // domains cut off from the others
		reconnectedAt  map[string]time.Time // end of the last partition, by domain
		changeCount    int
		report         Report
		config         Config
		leavingSince   map[string]time.Time // start of the drain, by endpoint name
		trace          func(line string)    // receives every step, to examine a failure; may be nil
	}

	// Config configures a simulation.
	Config struct {
		Seed        uint64
		Domains     int
		Entries     int
		Endpoints   int
		Balance     float64 // "balance" parameter of the team
		IdleTimeout time.Duration
		Modulo      bool // stateless baseline: hash modulo the live endpoints
	}

	// Report counts events as seen by clients, backend servers and entries. Split
	// counts packets that reached another endpoint than that of their established
	// flow, Crossed packets and answers that reached another service or request,
	// NewAfterDrain new flows and requests on an endpoint that began to leave more
	// than maxDrainDelay ago, NotOpened flows whose client gave up, and FalseNotRun
	// requests that were answered as not run although they ran. Relayed and
	// Forwarded count decisions of entries, Answers the answers by response code, and
	// Reasons the decisions by reason.
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

// New returns a simulation at its start, before any entry has a lease.
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

// controllerConfig returns short timeouts, to keep the simulated time short.
func controllerConfig() controller.Config {
	h := health.DefaultConfig()
	h.Ramp = time.Second
	return controller.Config{
		Lease: leaseDuration, ClockMargin: clockMargin, ReturnTimeout: 3 * time.Second, SettleAfter: 600 * time.Millisecond,
		PlacementInterval: 200 * time.Millisecond, MaxMovesPerRound: 4, Health: h,
	}
}

// Run processes all events in the next d of simulated time.
func (s *Sim) Run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// Report returns the counts and violations so far.
func (s *Sim) Report() Report { return s.report }

// schedule calls run after d of simulated time.
func (s *Sim) schedule(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, run})
}

// scheduleEvery calls run at an interval.
func (s *Sim) scheduleEvery(d time.Duration, run func()) {
	s.schedule(d, func() {
		run()
		s.scheduleEvery(d, run)
	})
}

// send sends a message from one domain to another. It may be lost or duplicated,
// and isn't delivered if a partition separates the domains.
func (s *Sim) send(from, to string, deliver func()) {
	if s.rng.IntN(1000) < lossPerMille {
		return
	}
	times := 1
	if s.rng.IntN(1000) < duplicatePerMille {
		times = 2
	}
	s.deliver(from, to, times, deliver)
}

// sendWithoutDuplicate is send without duplication. It is used for dispatched
// requests: a real backend server recognises a duplicate datagram by its CoAP
// message ID (RFC 7252, section 4.5), but the simulated ones don't, so that they
// count requests that the fleet dispatches twice.
func (s *Sim) sendWithoutDuplicate(from, to string, deliver func()) {
	if s.rng.IntN(1000) >= lossPerMille {
		s.deliver(from, to, 1, deliver)
	}
}

// deliver schedules the deliveries, each with its own random delay.
func (s *Sim) deliver(from, to string, times int, deliver func()) {
	for range times {
		s.schedule(time.Millisecond+time.Duration(s.rng.IntN(4000))*time.Microsecond, func() {
			if from == to || !s.partitioned[from] && !s.partitioned[to] {
				deliver()
			}
		})
	}
}

// tracef writes a line to the trace, if there is one.
func (s *Sim) tracef(format string, args ...any) {
	if s.trace != nil {
		s.trace(fmt.Sprintf("%v ", s.now.Sub(time.Unix(1_000_000, 0))) + fmt.Sprintf(format, args...))
	}
}

// violationf records a violation; only the first ones are kept.
func (s *Sim) violationf(format string, args ...any) {
	const maxViolations = 20
	if len(s.report.Violations) < maxViolations {
		s.report.Violations = append(s.report.Violations, fmt.Sprintf("%v: ", s.now.Sub(time.Unix(1_000_000, 0)))+fmt.Sprintf(format, args...))
	}
}

// commit appends a command to the log and applies it at once. Replication isn't
// simulated; it has its own test.
func (s *Sim) commit(c *wire.Command) control.Answer {
	c.UnixNano = s.now.UnixNano()
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	index := s.state.Index() + 1
	answer, err := s.state.Apply(index, data)
	if err != nil {
		panic(err)
	}
	s.tracef("commit %d %v", index, c)
	s.log = append(s.log, &wire.LogEntry{Index: index, Term: 1, Command: data})
	return answer
}

// tickController commits the commands that the controller proposes.
func (s *Sim) tickController() {
	for _, c := range s.controller.Tick(s.now) {
		s.commit(c)
	}
	s.checkActiveIndex()
}

// checkActiveIndex checks that every entry with a valid lease has applied the log
// up to the active index.
func (s *Sim) checkActiveIndex() {
	for _, name := range s.entryNames {
		e := s.entries[name]
		if e.alive && s.now.Before(e.member.LeaseUntil()) && e.member.State().Index() < s.controller.Active() {
			s.violationf("%s holds a lease at index %d, but the active index is %d", name, e.member.State().Index(), s.controller.Active())
		}
	}
}

// feed returns the source of log entries and snapshots for heartbeat replies.
func (s *Sim) feed() controller.Feed {
	return controller.Feed{
		Entries: func(from uint64, _ int) ([]*wire.LogEntry, bool) {
			if from == 0 || from > uint64(len(s.log)) {
				return nil, true
			}
			return s.log[from-1:], true
		},
		Snapshot: func() (uint64, []byte, error) {
			data, err := s.state.Snapshot()
			return s.state.Index(), data, err
		},
	}
}

// handleHeartbeat answers a heartbeat as the leader does.
func (s *Sim) handleHeartbeat(r *wire.BeatRequest) *wire.BeatReply {
	grant := s.controller.HandleHeartbeat(s.now, r, true)
	reply := &wire.BeatReply{Leader: true, Term: 1, LeaderName: "leader", LeaseNanos: int64(grant.Lease), Active: grant.Active, Commit: s.state.Index()}
	if err := s.feed().Fill(reply, r); err != nil {
		panic(err)
	}
	return reply
}

// reachableEntries returns the running entries that a packet from a domain can
// reach.
func (s *Sim) reachableEntries(domain string) []*instance {
	var entries []*instance
	for _, name := range s.entryNames {
		e := s.entries[name]
		if e.alive && (e.domain == domain || !s.partitioned[domain] && !s.partitioned[e.domain]) {
			entries = append(entries, e)
		}
	}
	return entries
}

// workServiceID returns the ID of the work service.
func (s *Sim) workServiceID() uint32 { return 2 }

func (s *Sim) hasher() route.Hasher { return route.NewHasher([16]byte{1, 2, 3}) }

// countVerdict adds a decision on a flow packet to the report.
func (s *Sim) countVerdict(v flow.Verdict) {
	s.report.Reasons[v.Reason().String()]++
	switch v.Action() {
	case flow.Relay:
		s.report.Relayed++
	case flow.Forward:
		s.report.Forwarded++
	}
}

// decode decodes a packet, with its relay header unless relay is nil. It panics if
// that fails, since the simulation builds all packets.
func decode(inner []byte, relay *packet.Relay) *packet.Packet {
	p := &packet.Packet{}
	var d packet.Decoder
	if relay == nil {
		if d.DecodeInner(inner, p) != packet.Decoded {
			panic("cannot decode a simulated packet")
		}
		return p
	}
	encoder, err := packet.NewEncoder()
	if err != nil {
		panic(err)
	}
	if d.Decode(encoder.AppendRelay(nil, inner, *relay), p) != packet.Decoded {
		panic("cannot decode a simulated relayed packet")
	}
	return p
}
