package flow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

var (
	start   = time.Unix(1000, 0)
	service = netip.MustParseAddrPort("192.0.2.1:443")
)

// newTable returns a table of three entries and one service that has all buckets on
// endpoint 1, changed by change.
func newTable(endpoints int, change func(*route.Builder)) *route.Table {
	b := route.NewBuilder(route.Empty(), 1)
	classes := []route.Class{{Name: "feed", Key: route.ServiceKey{Addr: service, Transport: packet.TCP}}}
	b.PutService(1, "s", classes, route.Policy{Idle: time.Minute}, 64)
	for n := range endpoints {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+n))
		b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{ID: uint32(n + 1), Service: 1, Name: fmt.Sprint("b", n), Addr: addr, Domain: "d", Connections: 10}))
	}
	for bucket := range uint32(64) {
		b.Move(1, bucket, 1)
	}
	for _, name := range []string{"e0", "e1", "e2"} {
		b.PutMember(route.NewMember(name, "d", 1, false, 1))
	}
	first := b.Table()
	if change == nil {
		return first
	}
	b = route.NewBuilder(first, 2)
	change(b)
	return b.Table()
}

func newEngine(t *route.Table, active uint64) *flow.Engine {
	e := flow.New(flow.Config{
		Self: "e0", Domain: "d", Incarnation: 1, MaxFlows: 1000, MaxRecords: 10, MaxWaiting: 4, AsksPerSecond: 10, PushBytesPerSecond: 1000,
		AskTimeout: 50 * time.Millisecond, PushRetryInterval: time.Second, HalfOpenTimeout: time.Second, SweepInterval: time.Second,
	}, start)
	e.SetView(&flow.View{Table: newTable(2, nil), Active: 1, LeaseUntil: start.Add(time.Hour), Reachable: []string{"e1", "e2"}})
	e.SetView(&flow.View{Table: t, Active: active, LeaseUntil: start.Add(time.Hour), Reachable: []string{"e1", "e2"}})
	return e
}

func newPacket(port uint16, flags packet.Flags) *packet.Packet {
	src := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
	inner, err := packet.Build(packet.NewTuple(src, service, packet.TCP), flags, 1, 1, nil)
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

var (
	syn  = packet.NewFlags(true, false, false, false)
	data = packet.NewFlags(false, true, false, false)
)

func TestNoNewFlowsWithoutLease(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEngine(newTable(2, nil), 1)
	g.Expect(e.DecideInbound(start, newPacket(1, syn)).Action()).To(gomega.Equal(flow.Forward))
	late := start.Add(2 * time.Hour)
	g.Expect(e.DecideInbound(late, newPacket(2, syn)).Reason()).To(gomega.Equal(flow.NoLease))
	g.Expect(e.DecideInbound(start, newPacket(1, data)).Reason()).To(gomega.Equal(flow.ByCache), "a cached flow is forwarded without a lease")
}

func TestMoveIsNotUsedBeforeItIsActive(t *testing.T) {
	g := gomega.NewWithT(t)
	moved := newTable(2, func(b *route.Builder) {
		for bucket := range uint32(64) {
			b.Move(1, bucket, 2)
		}
	})
	for active, want := range map[uint64]string{1: "b0", 2: "b1"} {
		e := newEngine(moved, active)
		seen := 0
		for port := range uint16(60) {
			v := e.DecideInbound(start, newPacket(1+port, syn))
			if v.Endpoint() == nil {
				continue // another entry owns the bucket
			}
			seen++
			g.Expect(v.Endpoint().Name()).To(gomega.Equal(want))
		}
		g.Expect(seen).To(gomega.BeNumerically(">", 0))
	}
}

func TestRecordLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	moved := newTable(2, func(b *route.Builder) {
		for bucket := range uint32(64) {
			b.Move(1, bucket, 2)
		}
	})
	e := newEngine(moved, 2)
	reasons := map[flow.Reason]int{}
	for port := range uint16(200) {
		reasons[e.DecideInbound(start, newPacket(1+port, syn)).Reason()]++
	}
	g.Expect(reasons[flow.ToSecond]).To(gomega.Equal(10), "one for each record up to the limit")
	g.Expect(reasons[flow.RecordLimit]).To(gomega.BeNumerically(">", 0))
}

func TestSYNFloodLeavesRoomForOpenFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEngine(newTable(2, nil), 1)
	for port := range uint16(20_000) {
		g.Expect(e.DecideInbound(start, newPacket(1+port, syn)).Action()).To(gomega.Equal(flow.Forward))
	}
	stats := e.Stats()
	g.Expect(stats.HalfOpen).To(gomega.BeNumerically("<=", 1000))
	g.Expect(stats.Records).To(gomega.BeZero())
	g.Expect(e.DecideInbound(start, newPacket(30_000, data)).Action()).To(gomega.Equal(flow.Forward))
	g.Expect(e.Stats().Flows).To(gomega.Equal(stats.Flows+1), "open flows are still cached")
}

func TestAnswersPassOnlyFromTheEndpointOfTheFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEngine(newTable(2, nil), 1)
	e.DecideInbound(start, newPacket(1, syn))
	e.DecideInbound(start, newPacket(1, data))
	answer := func(port uint16, f packet.Flags) *packet.Packet {
		src := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)
		inner, err := packet.Build(packet.NewTuple(service, src, packet.TCP), f, 1, 1, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var d packet.Decoder
		p := &packet.Packet{}
		g.Expect(d.DecodeInner(inner, p)).To(gomega.Equal(packet.Decoded))
		return p
	}
	first, second := netip.MustParseAddrPort("127.0.0.1:9000"), netip.MustParseAddrPort("127.0.0.1:9001")
	g.Expect(e.DecideAnswer(start, first, answer(1, data)).Action()).To(gomega.Equal(flow.Forward))
	g.Expect(e.DecideAnswer(start, second, answer(1, data)).Reason()).To(gomega.Equal(flow.WrongEndpoint))
	g.Expect(e.DecideAnswer(start, netip.MustParseAddrPort("127.0.0.1:1"), answer(1, data)).Reason()).To(gomega.Equal(flow.UnknownSource))
	reset := packet.NewFlags(false, true, false, true)
	g.Expect(e.DecideAnswer(start, second, answer(77, reset)).Action()).To(gomega.Equal(flow.Drop))
}

func TestOwnerWithoutRecordsAsksPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	moved := newTable(2, func(b *route.Builder) {
		for bucket := range uint32(64) {
			b.Move(1, bucket, 2)
		}
	})
	// An entry that starts while buckets are in transition has no records.
	e := flow.New(flow.Config{
		Self: "e0", Domain: "d", Incarnation: 1, MaxFlows: 1000, MaxRecords: 10, MaxWaiting: 4, AsksPerSecond: 10, PushBytesPerSecond: 1000,
		AskTimeout: 50 * time.Millisecond, PushRetryInterval: time.Second, HalfOpenTimeout: time.Second, SweepInterval: time.Second,
	}, start)
	e.SetView(&flow.View{Table: moved, Active: 2, LeaseUntil: start.Add(time.Hour), Reachable: []string{"e1", "e2"}})
	var verdict flow.Verdict
	for port := range uint16(60) {
		if verdict = e.DecideInbound(start, newPacket(1+port, data)); verdict.Action() == flow.Waited {
			break
		}
	}
	g.Expect(verdict.Action()).To(gomega.Equal(flow.Waited))
	for _, o := range e.TakeOutput() {
		ask := o.Message.GetAsk()
		e.HandlePeer(start, &wire.Peer{From: o.Peer, Body: &wire.Peer_Told{Told: &wire.Told{High: ask.High, Low: ask.Low, Service: 1}}})
	}
	out := e.TakeOutput()
	g.Expect(out).To(gomega.HaveLen(1))
	g.Expect(out[0].Verdict.Action()).To(gomega.Equal(flow.Reset))
	g.Expect(out[0].Verdict.Reason()).To(gomega.Equal(flow.NobodyKnows))
}

// Guards against a new owner that places flows by records before the former owner has
// applied the change of owner and stops sending these flows to the default endpoint.
func TestNewOwnerWaitsForFormerOwner(t *testing.T) {
	opened := newTable(2, func(b *route.Builder) {
		b.RemoveMember("e0")
		for bucket := range uint32(64) {
			b.Move(1, bucket, 2)
		}
	})
	b := route.NewBuilder(opened, 3)
	b.PutMember(route.NewMember("e0", "d", 1, false, 3))
	joined := b.Table()
	for active, recorded := range map[uint64]bool{2: false, 3: true} {
		g := gomega.NewWithT(t)
		e := flow.New(flow.Config{Self: "e0", Domain: "d", Incarnation: 1, MaxFlows: 1000, MaxRecords: 1000, HalfOpenTimeout: time.Second, SweepInterval: time.Second}, start)
		reachable := []string{"e1", "e2"}
		e.SetView(&flow.View{Table: opened, Active: 2, LeaseUntil: start.Add(time.Hour), Reachable: reachable})
		e.SetView(&flow.View{Table: joined, Active: active, LeaseUntil: start.Add(time.Hour), Reachable: reachable})
		seen := map[flow.Reason]int{}
		for port := range uint16(60) {
			v := e.DecideInbound(start, newPacket(1+port, syn))
			seen[v.Reason()]++
			if v.Endpoint() != nil && v.Action() == flow.Forward {
				g.Expect(v.Endpoint().Name()).To(gomega.Equal("b0"), "the default endpoint")
			}
		}
		g.Expect(seen[flow.ToSecond] > 0).To(gomega.Equal(recorded), "active %d: %v", active, seen)
	}
}

func BenchmarkDecisionOnAHit(b *testing.B) {
	for _, flows := range []int{1, 64} {
		b.Run(fmt.Sprint(flows, " flows in turn"), func(b *testing.B) {
			e := newEngine(newTable(14, nil), 1)
			var list []*packet.Packet
			for n := range flows {
				p := newPacket(uint16(1+n), data)
				e.DecideInbound(start, p)
				list = append(list, p)
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				e.DecideInbound(start, list[n%flows])
				n++
			}
		})
	}
}
