package slopes

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// maxPackets bounds the packets that buildPackets keeps in memory.
	maxPackets = 50_000
	// passInterval is the time of a pass over the flow cache. With the second that entries use,
	// flows would exceed their idle timeout of 600 s during the passes that are timed.
	passInterval = time.Millisecond
)

// newEngine returns the flow engine of an entry that holds a lease.
func newEngine(flows, records int, t *route.Table) *flow.Engine {
	e := flow.New(flow.Config{
		Self: "e0", Domain: "d0", Incarnation: 1, MaxFlows: flows, MaxRecords: records, MaxWaiting: 100, AsksPerSecond: 100, PushBytesPerSecond: 2000,
		AskTimeout: time.Second, PushRetryInterval: time.Second, HalfOpenTimeout: time.Second, SweepInterval: passInterval,
	}, startTime)
	e.SetView(&flow.View{Table: t, Active: t.Index(), LeaseUntil: startTime.Add(time.Hour)})
	return e
}

// buildPackets returns a decoded packet for each flow, up to maxPackets. They are used in turn.
func buildPackets(flows int, services int, flags packet.Flags) ([]*packet.Packet, error) {
	list := make([]*packet.Packet, 0, min(flows, maxPackets))
	var d packet.Decoder
	for n := range min(flows, maxPackets) {
		inner, err := packet.Build(packet.NewTuple(clientAddr(n), serviceAddr(n%services), packet.TCP), flags, 1, 1, nil)
		if err != nil {
			return nil, err
		}
		p := &packet.Packet{}
		if r := d.DecodeInner(inner, p); r != packet.Decoded {
			return nil, fmt.Errorf("packet is %s", r)
		}
		list = append(list, p.Clone())
	}
	return list, nil
}

func clientAddr(n int) netip.AddrPort {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], uint32(11<<24+n/50_000))
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(1024+n%50_000))
}

// fillFlows caches the flows numbered from first up to, but not including, end.
func fillFlows(e *flow.Engine, first, end int) error {
	var d packet.Decoder
	for n := first; n < end; n++ {
		inner, err := packet.Build(packet.NewTuple(clientAddr(n), serviceAddr(0), packet.TCP), packet.NewFlags(false, true, false, false), 1, 1, nil)
		if err != nil {
			return err
		}
		p := &packet.Packet{}
		d.DecodeInner(inner, p)
		e.DecideInbound(startTime, p)
	}
	return nil
}

// decisionCost measures the decision on a packet of a cached flow.
func decisionCost(m *meter, flows, endpoints int) (float64, error) {
	s, err := newState(endpoints)
	if err != nil {
		return 0, err
	}
	if _, err := placeBuckets(s, 8); err != nil {
		return 0, err
	}
	e := newEngine(flows, flows, s.Table())
	list, err := buildPackets(flows, max(endpoints/endpointsPerService, 1), packet.NewFlags(false, true, false, false))
	if err != nil {
		return 0, err
	}
	for _, p := range list {
		e.DecideInbound(startTime, p)
	}
	if err := fillFlows(e, len(list), flows); err != nil {
		return 0, err
	}
	n := 0
	return m.timePerCall(func() {
		if v := e.DecideInbound(startTime, list[n]); v.Action() != flow.Forward {
			panic("a known flow was not forwarded")
		}
		n = (n + 1) % len(list)
	}), nil
}

func decisionByFlows(m *meter, flows int) (float64, error) { return decisionCost(m, flows, 16) }
func decisionByEndpoints(m *meter, endpoints int) (float64, error) {
	return decisionCost(m, 50_000, endpoints)
}

// newSweptEngine returns an engine with the given number of cached flows.
func newSweptEngine(flows int) (*flow.Engine, error) {
	s, err := newState(16)
	if err != nil {
		return nil, err
	}
	if _, err := placeBuckets(s, 8); err != nil {
		return nil, err
	}
	e := newEngine(flows, flows, s.Table())
	return e, fillFlows(e, 0, flows)
}

// sweepPass measures a complete scan of the flow cache.
func sweepPass(m *meter, flows int) (float64, error) {
	e, err := newSweptEngine(flows)
	if err != nil {
		return 0, err
	}
	return timePasses(m, e), nil
}

// timePasses returns the nanoseconds of a pass over the flow cache.
func timePasses(m *meter, e *flow.Engine) float64 {
	now := startTime
	e.Tick(now)
	return m.timePerCall(func() {
		now = now.Add(passInterval)
		e.Tick(now)
	})
}

// flowMemory measures the heap of an engine, which allocates its flow cache up front.
func flowMemory(m *meter, flows int) (float64, error) {
	return m.heapBytes(func() any { return newEngine(flows, flows, route.Empty()) }), nil
}

// recordMemory measures the heap of an engine that holds flow records pushed by a peer.
func recordMemory(m *meter, records int) (float64, error) {
	s, err := newState(16)
	if err != nil {
		return 0, err
	}
	if _, err := placeBuckets(s, 8); err != nil {
		return 0, err
	}
	e := newEngine(64, records, s.Table())
	return m.heapBytes(func() any {
		push := &wire.Push{Service: 1}
		for n := range records {
			push.Bucket = uint32(n % 256)
			push.Records = []*wire.FlowRecord{{High: uint64(n), Low: uint64(n) * 7919, Endpoint: 1}}
			e.HandlePeer(startTime, &wire.Peer{From: "e1", Body: &wire.Peer_Push{Push: push}})
			e.TakeOutput()
		}
		return e
	}), nil
}
