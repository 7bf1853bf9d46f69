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
	step          = 10 * time.Millisecond
	beatEvery     = 300 * time.Millisecond
	probeEvery    = 200 * time.Millisecond
	lease         = 1500 * time.Millisecond
	margin        = 150 * time.Millisecond
	leaderDomain  = "d0"
	drainBound    = 3 * time.Second
	lossPerMille  = 10
	twicePerMille = 10
)

type (
	// event is something that happens at a time.
	event struct {
		at  time.Time
		seq uint64
		run func()
	}

	eventQueue []event

	// World is a fleet with its callers and backend servers.
	World struct {
		rng      *rand.Rand
		now      time.Time
		queue    eventQueue
		seq      uint64
		state    *control.State
		log      []*wire.LogEntry
		ctl      *controller.Controller
		entries  map[string]*instance
		names    []string
		backends map[uint32]*backend
		byAddr   map[netip.AddrPort]*backend
		callers  []*caller
		askers   []*asker
		requests map[uint64]*requestLog
		token    uint64
		cut      map[string]bool // domains cut off from the others
		mended   map[string]time.Time
		changes  int
		report   Report
		config   Config
		leaving  map[string]time.Time // endpoints, by when their leaving was accepted
		trace    func(line string)    // of every step, to look into a replayed failure
	}

	// Config sets the size of a world.
	Config struct {
		Seed      uint64
		Domains   int
		Entries   int
		Endpoints int
		Callers   int
		Balance   float64
		Idle      time.Duration
		Modulo    bool // the baseline placement
	}

	// Report counts what callers and backend servers have seen.
	Report struct {
		Flows, Ended, Split, Reset, ResetByBackend, Crossed uint64
		LateNew, Undecided, Relayed, Forwarded              uint64
		Requests, Unanswered, RanTwice, FalseNotRun         uint64
		Answers                                             map[string]uint64
		Reasons                                             map[string]uint64
		Faults                                              []string
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
func New(c Config) *World {
	w := &World{
		rng: rand.New(rand.NewPCG(c.Seed, 17)), now: time.Unix(1_000_000, 0), config: c,
		state: control.NewState(), entries: map[string]*instance{}, backends: map[uint32]*backend{},
		byAddr: map[netip.AddrPort]*backend{}, cut: map[string]bool{}, mended: map[string]time.Time{}, requests: map[uint64]*requestLog{}, leaving: map[string]time.Time{},
	}
	w.report.Reasons, w.report.Answers = map[string]uint64{}, map[string]uint64{}
	w.ctl = controller.New(controllerConfig(), w.now, w.state, 0)
	w.commit(&wire.Command{Body: &wire.Command_Change{Change: w.firstChange()}})
	for i := range c.Entries {
		name := fmt.Sprintf("e%d", i)
		w.names = append(w.names, name)
		w.start(name, fmt.Sprintf("d%d", i%c.Domains))
	}
	w.every(step, func() { w.tickController() })
	return w
}

func controllerConfig() controller.Config {
	h := health.DefaultConfig()
	h.Ramp = time.Second
	return controller.Config{
		Lease: lease, ClockMargin: margin, ReturnTimeout: 3 * time.Second, SettleAfter: 600 * time.Millisecond,
		PlacementInterval: 200 * time.Millisecond, MaxMovesPerRound: 4, Health: h,
	}
}

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// Report returns what was counted.
func (w *World) Report() Report { return w.report }

func (w *World) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, run})
}

func (w *World) every(d time.Duration, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

// send delivers something from one domain to another: late, perhaps lost or
// twice, and not at all while they are cut off from each other.
func (w *World) send(from, to string, deliver func()) {
	if w.rng.IntN(1000) < lossPerMille {
		return
	}
	times := 1
	if w.rng.IntN(1000) < twicePerMille {
		times = 2
	}
	w.deliver(from, to, times, deliver)
}

// sendOnce is send without doubling. Dispatched requests go so: a doubled
// datagram is told apart by its CoAP message id at the backend server (RFC
// 7252, 4.5), while these backend servers count every run, so that a request
// that the balancer dispatches twice is seen.
func (w *World) sendOnce(from, to string, deliver func()) {
	if w.rng.IntN(1000) >= lossPerMille {
		w.deliver(from, to, 1, deliver)
	}
}

func (w *World) deliver(from, to string, times int, deliver func()) {
	for range times {
		w.after(time.Millisecond+time.Duration(w.rng.IntN(4000))*time.Microsecond, func() {
			if from == to || !w.cut[from] && !w.cut[to] {
				deliver()
			}
		})
	}
}

// note traces one line where a trace is wanted.
func (w *World) note(format string, args ...any) {
	if w.trace != nil {
		w.trace(fmt.Sprintf("%v ", w.now.Sub(time.Unix(1_000_000, 0))) + fmt.Sprintf(format, args...))
	}
}

func (w *World) fault(format string, args ...any) {
	const most = 20
	if len(w.report.Faults) < most {
		w.report.Faults = append(w.report.Faults, fmt.Sprintf("%v: ", w.now.Sub(time.Unix(1_000_000, 0)))+fmt.Sprintf(format, args...))
	}
}

// commit agrees on a command at once: the replicated log has its own test.
func (w *World) commit(c *wire.Command) control.Answer {
	c.UnixNano = w.now.UnixNano()
	data, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	index := w.state.Index() + 1
	answer, err := w.state.Apply(index, data)
	if err != nil {
		panic(err)
	}
	w.note("commit %d %v", index, c)
	w.log = append(w.log, &wire.LogEntry{Index: index, Term: 1, Command: data})
	return answer
}

func (w *World) tickController() {
	for _, c := range w.ctl.Tick(w.now) {
		w.commit(c)
	}
	w.checkController()
}

// checkController asserts that the active index never passes an entry that
// may still decide by its lease.
func (w *World) checkController() {
	for _, name := range w.names {
		e := w.entries[name]
		if e.alive && w.now.Before(e.member.LeaseUntil()) && e.member.State().Index() < w.ctl.Active() {
			w.fault("%s holds a lease at index %d, in use is %d", name, e.member.State().Index(), w.ctl.Active())
		}
	}
}

func (w *World) feed() controller.Feed {
	return controller.Feed{
		Entries: func(from uint64, _ int) ([]*wire.LogEntry, bool) {
			if from == 0 || from > uint64(len(w.log)) {
				return nil, true
			}
			return w.log[from-1:], true
		},
		Snapshot: func() (uint64, []byte, error) {
			data, err := w.state.Snapshot()
			return w.state.Index(), data, err
		},
	}
}

func (w *World) beat(r *wire.BeatRequest) *wire.BeatReply {
	grant := w.ctl.Beat(w.now, r, true)
	reply := &wire.BeatReply{Leader: true, Term: 1, LeaderName: "leader", LeaseNanos: int64(grant.Lease), Active: grant.Active, Commit: w.state.Index()}
	if err := w.feed().Fill(reply, r); err != nil {
		panic(err)
	}
	return reply
}

// side returns the entries that a packet at a domain can be handed to.
func (w *World) side(domain string) []*instance {
	var found []*instance
	for _, name := range w.names {
		e := w.entries[name]
		if e.alive && (e.domain == domain || !w.cut[domain] && !w.cut[e.domain]) {
			found = append(found, e)
		}
	}
	return found
}

// deskID returns the id of the service that takes work.
func (w *World) deskID() uint32 { return 2 }

func (w *World) hasher() route.Hasher { return route.NewHasher([16]byte{1, 2, 3}) }

func (w *World) count(v flow.Verdict) {
	w.report.Reasons[v.Reason().String()]++
	switch v.Action() {
	case flow.Relay:
		w.report.Relayed++
	case flow.Forward:
		w.report.Forwarded++
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
