package work

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/gomega"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

const (
	benchEndpoints   = 14
	benchSlots       = 3
	benchServiceTime = 40 * time.Millisecond
	benchDeadline    = time.Second
	benchSeconds     = 20
	maxFirstShare    = 0.25
)

type (
	simEvent struct {
		at  time.Time
		seq int
		run func()
	}
	simQueue []simEvent

	// overloadSim simulates requests at a multiple of the capacity, in simulated time,
	// to an Engine or to a baseline without admission control.
	overloadSim struct {
		rng           *rand.Rand
		now           time.Time
		queue         simQueue
		seq           int
		engine        *Engine
		table         *route.Table
		startedAt     map[uint64]time.Time       // by request number
		runs          map[uint64]int             // by request number
		running       map[uint32]int             // requests, by endpoint
		waiting       map[uint32][]func()        // queue of a backend server, by endpoint
		latency       [2]*hdrhistogram.Histogram // by class
		answered      int                        // within the deadline
		refused       int
		unknown       int
		overcommitted int // requests sent to an endpoint without a free slot
	}
)

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func classAddr(priority int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), uint16(5683+priority))
}

func newOverload() *overloadSim {
	o := &overloadSim{
		rng: rand.New(rand.NewPCG(3, 4)), now: time.Unix(1000, 0), startedAt: map[uint64]time.Time{}, runs: map[uint64]int{},
		running: map[uint32]int{}, waiting: map[uint32][]func(){},
	}
	for i := range o.latency {
		o.latency[i] = hdrhistogram.New(1, 60_000_000, 3)
	}
	b := route.NewBuilder(route.Empty(), 1)
	classes := []route.Class{
		{Name: "first", Key: route.ServiceKey{Addr: classAddr(0), Transport: packet.UDP}, Work: true, Priority: 0},
		{Name: "later", Key: route.ServiceKey{Addr: classAddr(1), Transport: packet.UDP}, Work: true, Priority: 1},
	}
	b.PutService(1, "desk", classes, route.Policy{RequestLife: 30 * time.Second, QueueLimit: 400, LowestShare: 0.1, RetryShare: 0.1}, 64)
	for n := range uint32(benchEndpoints) {
		b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{ID: n + 1, Service: 1, Name: fmt.Sprint(n), Domain: "d", Slots: benchSlots,
			Addr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+n))}))
	}
	for bucket := range uint32(64) {
		b.Move(1, bucket, 1+bucket%benchEndpoints)
	}
	b.PutMember(route.NewMember("e0", "d", 1, false, 1))
	o.table = b.Table()
	o.engine = New(Config{Self: "e0", Domain: "d", Incarnation: 1, MaxRequests: 100_000, MaxHeldKeys: 1000, HoldRetryInterval: time.Second, MinRetriesPerSecond: 5, MaxPacketDelay: 3 * time.Second})
	o.engine.SetView(o.now, &View{Table: o.table, LeaseUntil: o.now.Add(time.Hour), ReachableDomains: []string{"d"}})
	return o
}

func (o *overloadSim) schedule(d time.Duration, run func()) {
	o.seq++
	heap.Push(&o.queue, simEvent{o.now.Add(d), o.seq, run})
}

// serviceTime returns a random service time: half of the mean plus an exponentially
// distributed rest.
func (o *overloadSim) serviceTime() time.Duration {
	return benchServiceTime/2 + time.Duration(o.rng.ExpFloat64()*float64(benchServiceTime/2))
}

func (o *overloadSim) request(number uint64, class int) *packet.Packet {
	m := Message{message.Message{Token: binary.BigEndian.AppendUint64(nil, number), Code: codes.POST, Type: message.NonConfirmable, MessageID: int32(number & 0xffff)}}
	data, err := m.WithTimeLeft(benchDeadline).Encode()
	if err != nil {
		panic(err)
	}
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number >> 16), byte(number >> 8), byte(number)}), 4000)
	inner, err := packet.Build(packet.NewTuple(src, classAddr(class), packet.UDP), packet.Flags{}, 0, 0, data)
	if err != nil {
		panic(err)
	}
	var d packet.Decoder
	p := &packet.Packet{}
	if d.DecodeInner(inner, p) != packet.Decoded {
		panic("not decoded")
	}
	return p
}

// generate runs the simulation and calls send for each new request.
func (o *overloadSim) generate(load float64, send func(number uint64, class int)) {
	perSecond := load * benchEndpoints * benchSlots / benchServiceTime.Seconds()
	end := o.now.Add(benchSeconds * time.Second)
	number := uint64(0)
	var next func()
	next = func() {
		if o.now.After(end) {
			return
		}
		number++
		class := 1
		if o.rng.Float64() < maxFirstShare*min(1, 1/load) {
			class = 0 // keeps the first class within maxFirstShare of the capacity
		}
		o.startedAt[number] = o.now
		send(number, class)
		o.schedule(time.Duration(o.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
	for len(o.queue) > 0 && o.queue[0].at.Before(end.Add(3*time.Second)) {
		e := heap.Pop(&o.queue).(simEvent)
		o.now = e.at
		e.run()
	}
}

// runEngine simulates the load with the Engine.
func (o *overloadSim) runEngine(load float64) {
	var tick func()
	tick = func() {
		o.engine.Tick(o.now)
		o.deliver()
		o.schedule(10*time.Millisecond, tick)
	}
	tick()
	o.generate(load, func(number uint64, class int) {
		service := o.table.Service(1)
		o.engine.HandleRequest(o.now, service, &service.Classes()[class], o.request(number, class))
		o.deliver()
	})
}

// deliver passes the engine's output to the simulated backend servers and clients.
func (o *overloadSim) deliver() {
	for _, out := range o.engine.TakeOutput() {
		var d packet.Decoder
		p := &packet.Packet{}
		if d.DecodeInner(out.Inner, p) != packet.Decoded {
			continue
		}
		m, err := Decode(p.Payload())
		if err != nil {
			continue
		}
		switch out.Kind {
		case ToBackend:
			o.handleBackend(out.Endpoint, p, m)
		case ToClient:
			o.handleClient(p, m)
		}
	}
	o.engine.TakeEvents()
}

func (o *overloadSim) handleBackend(e *route.Endpoint, p *packet.Packet, m Message) {
	if !m.IsRequest() {
		return
	}
	number := binary.BigEndian.Uint64(m.Token)
	answer := func(code codes.Code) {
		reply := Message{message.Message{Token: m.Token, Code: code, Type: message.NonConfirmable, MessageID: m.MessageID, Payload: []byte("x")}}
		inner, err := buildPacket(p.Tuple().Reverse(), reply)
		if err != nil {
			panic(err)
		}
		var d packet.Decoder
		back := &packet.Packet{}
		d.DecodeInner(inner, back)
		o.engine.HandleAnswer(o.now, e.Addr(), o.table.Service(1), back)
		o.deliver()
	}
	if o.running[e.ID()] >= benchSlots {
		o.overcommitted++
		o.schedule(time.Millisecond, func() { answer(codes.ServiceUnavailable) })
		return
	}
	o.running[e.ID()]++
	o.runs[number]++
	o.schedule(o.serviceTime(), func() {
		o.running[e.ID()]--
		answer(codes.Content)
	})
}

func (o *overloadSim) handleClient(p *packet.Packet, m Message) {
	number := binary.BigEndian.Uint64(m.Token)
	switch m.Code {
	case codes.Content:
		o.recordAnswer(number, int(p.Tuple().Src().Port())-5683)
	case codes.ServiceUnavailable:
		o.refused++
	default:
		o.unknown++
	}
}

func (o *overloadSim) recordAnswer(number uint64, class int) {
	took := o.now.Sub(o.startedAt[number])
	if took <= benchDeadline {
		o.answered++
	}
	_ = o.latency[class].RecordValue(max(took.Microseconds(), 1))
}

// runBaseline simulates the load without an Engine: requests are hashed to backend
// servers that queue them, and clients retry at another one after a timeout.
func (o *overloadSim) runBaseline(load float64) {
	const timeout, maxTries = 300 * time.Millisecond, 3
	done := map[uint64]bool{}
	var try func(number uint64, class, n int)
	serve := func(endpoint uint32, run func()) {
		if o.running[endpoint] >= benchSlots {
			o.waiting[endpoint] = append(o.waiting[endpoint], run)
			return
		}
		o.running[endpoint]++
		run()
	}
	try = func(number uint64, class, n int) {
		endpoint := uint32((number*2654435761 + uint64(n)) % benchEndpoints)
		serve(endpoint, func() {
			o.runs[number]++
			o.schedule(o.serviceTime(), func() {
				if !done[number] {
					done[number] = true
					o.recordAnswer(number, class)
				}
				if next := o.waiting[endpoint]; len(next) > 0 {
					o.waiting[endpoint] = next[1:]
					next[0]()
				} else {
					o.running[endpoint]--
				}
			})
		})
		o.schedule(timeout, func() {
			if !done[number] && n+1 < maxTries {
				try(number, class, n+1)
			}
		})
	}
	o.generate(load, func(number uint64, class int) { try(number, class, 0) })
}

// ranTwice returns the number of requests that ran more than once.
func (o *overloadSim) ranTwice() int {
	n := 0
	for _, runs := range o.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// BenchmarkOverload compares the Engine with the baseline at several multiples of the
// capacity. Run with -benchtime 1x.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 1.5, 3, 5} {
		for _, scheme := range []string{"own", "baseline"} {
			b.Run(fmt.Sprintf("%g/%s", load, scheme), func(b *testing.B) {
				for b.Loop() {
					o := newOverload()
					if scheme == "own" {
						o.runEngine(load)
					} else {
						o.runBaseline(load)
					}
					b.ReportMetric(float64(o.latency[0].ValueAtQuantile(50))/1000, "p50-first-ms")
					b.ReportMetric(float64(o.latency[0].ValueAtQuantile(99))/1000, "p99-first-ms")
					b.ReportMetric(float64(o.latency[0].ValueAtQuantile(99.9))/1000, "p99.9-first-ms")
					b.ReportMetric(float64(o.answered)/benchSeconds, "goodput/s")
					b.ReportMetric(float64(o.latency[1].TotalCount()), "later-answered")
					b.ReportMetric(float64(o.ranTwice()), "ran-twice")
					b.ReportMetric(float64(o.refused), "not-run")
					b.ReportMetric(float64(o.unknown), "unknown")
				}
			})
		}
	}
}

// Guards against overcommitted slots, starvation of the later class, and loss of
// goodput at five times the capacity.
func TestOverloadInvariants(t *testing.T) {
	g := gomega.NewWithT(t)
	underloaded, overloaded := newOverload(), newOverload()
	underloaded.runEngine(0.5)
	overloaded.runEngine(5)
	g.Expect(overloaded.ranTwice()).To(gomega.BeZero())
	g.Expect(overloaded.overcommitted).To(gomega.BeZero(), "slots are never over-committed by one owner")
	g.Expect(overloaded.latency[1].TotalCount()).To(gomega.BeNumerically(">", 0), "the later class does not starve")
	capacity := benchEndpoints * benchSlots / benchServiceTime.Seconds()
	g.Expect(float64(overloaded.answered)/benchSeconds).To(gomega.BeNumerically(">", 0.9*capacity), "goodput stays flat at five times the capacity")
	g.Expect(underloaded.unknown + underloaded.refused).To(gomega.BeZero())
	for number := range overloaded.startedAt {
		g.Expect(overloaded.runs[number]).To(gomega.BeNumerically("<=", 1))
	}
}
