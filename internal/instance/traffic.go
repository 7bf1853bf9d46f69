package instance

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/entry"
	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
	"oxbowsaddle/internal/work"
)

// tickInterval is the interval at which the traffic goroutine runs its timers.
const tickInterval = 5 * time.Millisecond

var emptyTable = route.Empty()

type (
	// probe is a peer's probe, passed to the control goroutine.
	probe struct {
		from   string
		leased bool
	}

	// trafficReport is published by the traffic goroutine at each tick.
	trafficReport struct {
		sweep           flow.SweepResult
		backlog         uint64 // flow.Stats.PushBacklog
		handoverPending bool
		ownerships      string // summary for the log
		flows           flow.Stats
		work            work.Stats
	}

	// traffic owns the packet socket and the packet processing. Its methods run on the
	// traffic goroutine, except sendProbes.
	traffic struct {
		instance  *Instance
		conn      *batchConn
		core      *entry.Core
		decoder   packet.Decoder
		encoder   *packet.Encoder
		packet    packet.Packet
		peerNames map[netip.AddrPort]string
		peerAddrs map[string]netip.AddrPort
		probes    chan probe             // received from peers
		queries   chan func(*entry.Core) // run at the next tick
		report    atomic.Pointer[trafficReport]
		counters  trafficCounters
	}

	trafficCounters struct {
		decoded       []metrics.Counter // by packet.Reason
		flows         []metrics.Counter // by flow.Reason
		states        []metrics.Counter // by work.State
		in, out       metrics.Counter
		forwarded     metrics.Counter
		relayed       metrics.Counter
		unknownSender metrics.Counter
		expired       metrics.Counter // dropped because of entry.Send.ExpiresAt
		peerBytes     metrics.Counter
	}
)

func newTraffic(i *Instance) (*traffic, error) {
	const queue = 256
	t := &traffic{
		instance: i, peerNames: map[netip.AddrPort]string{}, peerAddrs: map[string]netip.AddrPort{},
		probes: make(chan probe, queue), queries: make(chan func(*entry.Core), queue),
	}
	var err error
	if t.encoder, err = packet.NewEncoder(); err != nil {
		return nil, err
	}
	if t.conn, err = newBatchConn(i.self.PacketAddr, i.config.Settings.Limits.SocketBufferBytes); err != nil {
		return nil, err
	}
	for _, other := range i.config.Settings.Instances {
		if other.Name != i.self.Name {
			t.peerNames[other.PacketAddr] = other.Name
			t.peerAddrs[other.Name] = other.PacketAddr
		}
	}
	t.report.Store(&trafficReport{})
	t.makeCounters()
	return t, nil
}

func (t *traffic) makeCounters() {
	c := t.instance.counters
	for _, r := range packet.Reasons() {
		t.counters.decoded = append(t.counters.decoded, c.Counter("packet_"+r.String()))
	}
	for _, r := range flow.Reasons() {
		t.counters.flows = append(t.counters.flows, c.Counter("flow_"+r.String()))
	}
	for _, s := range work.States() {
		t.counters.states = append(t.counters.states, c.Counter("work_"+s.String()))
	}
	t.counters.in, t.counters.out = c.Counter("packets_in"), c.Counter("packets_out")
	t.counters.forwarded, t.counters.relayed = c.Counter("packets_forwarded"), c.Counter("packets_relayed")
	t.counters.unknownSender, t.counters.expired = c.Counter("packet_stranger"), c.Counter("sends_too_late")
	t.counters.peerBytes = c.Counter("peer_bytes")
}

// buildCore creates the entry.Core with this process's incarnation.
func (t *traffic) buildCore(incarnation uint64) {
	i := t.instance
	s := i.config.Settings
	hasher := route.NewHasher(s.Key())
	t.core = entry.New(entry.Config{
		Flow: flow.Config{
			Self: i.self.Name, Domain: i.self.Domain, Incarnation: incarnation, Hasher: hasher,
			MaxFlows: s.Limits.MaxFlows, MaxRecords: s.Limits.MaxRecords, MaxWaiting: s.Limits.MaxWaiting, AsksPerSecond: s.Limits.AsksPerSecond,
			PushBytesPerSecond: s.Limits.PushBytesPerSecond, AskTimeout: s.Times.AskTimeout.Std(), PushRetryInterval: s.Times.PushRetryInterval.Std(),
			HalfOpenTimeout: s.Times.HalfOpenTimeout.Std(), SweepInterval: s.Times.SweepInterval.Std(), Modulo: i.config.Placement == PlacementModulo,
		},
		Work: work.Config{
			Self: i.self.Name, Domain: i.self.Domain, Incarnation: incarnation, Hasher: hasher,
			MaxRequests: s.Limits.MaxRequests, MaxHeldKeys: s.Limits.MaxHeldKeys, HoldRetryInterval: s.Times.AskTimeout.Std(),
			MinRetriesPerSecond: float64(s.Limits.MinRetriesPerSecond), MaxPacketDelay: 2 * s.Times.Lease.Std(),
		},
		OnFlow: t.onFlow,
		OnWork: t.onWork,
	}, i.now())
}

func (t *traffic) close() error { return t.conn.udp.Close() }

// run receives, processes and sends packets until the context ends.
func (t *traffic) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.udp.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	next := t.instance.now().Add(tickInterval)
	for ctx.Err() == nil {
		messages, err := t.conn.receive(next)
		if err != nil {
			return err
		}
		now := t.instance.now()
		t.core.SetView(now, t.instance.view.Load())
		for n := range messages {
			t.handleDatagram(now, messages[n].Buffers[0][:messages[n].N], messages[n].Addr)
		}
		if !now.Before(next) {
			next = now.Add(tickInterval)
			t.tick(now)
		}
		if err := t.flush(now); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// tick runs the core's timers and pending queries, and publishes a report.
func (t *traffic) tick(now time.Time) {
	t.core.Tick(now)
	for {
		select {
		case query := <-t.queries:
			query(t.core)
			continue
		default:
		}
		break
	}
	stats := t.core.Flow().Stats()
	t.report.Store(&trafficReport{
		sweep: t.core.Flow().LastSweep(), backlog: stats.PushBacklog, handoverPending: t.core.Work().HandoverPending(now), ownerships: t.core.Work().DescribeOwnerships(),
		flows: stats, work: t.core.Work().Stats(),
	})
}

// handleDatagram decodes and processes one datagram.
func (t *traffic) handleDatagram(now time.Time, data []byte, addr net.Addr) {
	t.counters.in.Inc(1)
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return
	}
	from := udp.AddrPort()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	reason := t.decoder.Decode(data, &t.packet)
	t.counters.decoded[reason].Inc(1)
	if reason != packet.Decoded {
		return
	}
	name, isPeer := t.peerNames[from]
	_, relayed := t.packet.Relay()
	switch {
	case t.packet.IsPeer() && isPeer:
		t.handlePeer(now, name, t.packet.Inner())
	case t.packet.IsPeer() || relayed && !isPeer:
		t.counters.unknownSender.Inc(1) // accepted from configured instances only
	default:
		t.core.HandlePacket(now, from, &t.packet)
		t.queueOutput(now)
	}
}

// handlePeer passes probes to the control goroutine and other messages to the core.
func (t *traffic) handlePeer(now time.Time, name string, data []byte) {
	t.counters.peerBytes.Inc(int64(len(data)))
	m := &wire.Peer{}
	if err := proto.Unmarshal(data, m); err != nil || m.From != name {
		t.counters.unknownSender.Inc(1)
		return
	}
	if p := m.GetProbe(); p != nil {
		select {
		case t.probes <- probe{name, p.Leased}:
		default: // queue full: drop, the next probe follows soon
		}
		return
	}
	t.core.HandlePeer(now, m)
	t.queueOutput(now)
}

// queueOutput queues the core's pending datagrams. It has to run before the next packet
// is read, because they alias the receive buffer.
func (t *traffic) queueOutput(now time.Time) {
	for _, s := range t.core.TakeSends(now) {
		t.send(s)
	}
}

// flush queues the core's pending datagrams and sends all that are queued.
func (t *traffic) flush(now time.Time) error {
	t.queueOutput(now)
	return t.conn.flush()
}

func (t *traffic) send(s entry.Send) {
	if !s.ExpiresAt.IsZero() && !t.instance.now().Before(s.ExpiresAt) {
		t.counters.expired.Inc(1) // the process was paused since the decision
		return
	}
	t.counters.out.Inc(1)
	buffer := t.conn.nextBuffer()
	switch {
	case s.Message != nil:
		data, err := proto.Marshal(s.Message)
		if err != nil {
			return
		}
		t.counters.peerBytes.Inc(int64(len(data)))
		t.enqueue(t.encoder.AppendPeer(buffer, data), t.peerAddrs[s.Peer])
	case s.Relayed:
		t.counters.relayed.Inc(1)
		t.enqueue(t.encoder.AppendRelay(buffer, s.Inner, s.Relay), t.peerAddrs[s.Peer])
	case s.Target == entry.ToBackend:
		t.counters.forwarded.Inc(1)
		t.enqueue(t.encoder.AppendPlain(buffer, s.Inner), s.Endpoint.Addr())
	default:
		t.enqueue(t.encoder.AppendPlain(buffer, s.Inner), t.instance.config.Settings.Fabric)
	}
}

// enqueue queues a datagram unless its receiver is blocked. Errors are ignored, as
// datagrams may be lost anyway, and run notices a closed socket.
func (t *traffic) enqueue(data []byte, to netip.AddrPort) {
	if !t.instance.config.Blocked(to) {
		_ = t.conn.enqueue(data, to)
	}
}

// sendProbes sends probes to all peers. It runs on the control goroutine and must not
// use state that the traffic goroutine modifies.
func (t *traffic) sendProbes(leased bool, incarnation uint64) {
	m := &wire.Peer{From: t.instance.self.Name, Body: &wire.Peer_Probe{Probe: &wire.Probe{Leased: leased, Incarnation: incarnation}}}
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	datagram := t.encoder.AppendPeer(nil, data)
	for _, addr := range t.peerAddrs {
		if t.instance.config.Blocked(addr) {
			continue
		}
		_, _ = t.conn.udp.WriteToUDPAddrPort(datagram, addr)
	}
}

// onFlow counts a verdict, and records and traces unusual and sampled ones.
func (t *traffic) onFlow(now time.Time, v flow.Verdict, p *packet.Packet, answer bool) {
	t.counters.flows[v.Reason()].Inc(1)
	sample := uint64(t.instance.config.Settings.Limits.SampleOneIn)
	opens := p.Flags().Opens() && !answer
	sampled := v.ID().Low%sample == 0 && v.Service() != nil
	unusual := explain.MustRecord(v) || opens && v.Reason() != flow.BySettled
	if !unusual && (!opens || !sampled) {
		return
	}
	tuple := p.Tuple()
	if answer {
		tuple = tuple.Reverse()
	}
	subject := tuple.Transport().String() + " " + tuple.Src().String() + " " + tuple.Dst().String()
	view := t.core.Flow().View()
	t.instance.decisions.Add(explain.FlowDecision(now, t.instance.self.Name, subject, v, view.Table.Index(), view.Active))
	if sampled {
		t.instance.tracer.RecordHop(now, v.ID().High, v.ID().Low, "flow", attribute.String("entry", t.instance.self.Name),
			attribute.String("subject", subject), attribute.String("action", v.Action().String()), attribute.String("reason", v.Reason().String()))
	}
}

// onWork counts and records an event of a request, and traces a sample.
func (t *traffic) onWork(now time.Time, e work.Event) {
	t.counters.states[e.State].Inc(1)
	view := t.core.Flow().View()
	endpoint := ""
	if have := view.Table.Endpoint(e.Endpoint); have != nil {
		endpoint = have.Name()
	}
	d := explain.WorkDecision(now, t.instance.self.Name, e, endpoint, view.Table.Index(), view.Active)
	if e.State == work.Unknown || e.State == work.Refused {
		t.instance.log.Debug("request", "token", d.Subject, "state", d.Action, "cause", d.Reason, "service", e.Service, "index", d.Index)
	}
	t.instance.decisions.Add(d)
	if e.ID.Low%uint64(t.instance.config.Settings.Limits.SampleOneIn) == 0 {
		t.instance.tracer.RecordHop(now, e.ID.High, e.ID.Low, "request", attribute.String("entry", t.instance.self.Name),
			attribute.String("token", d.Subject), attribute.String("state", d.Action), attribute.String("cause", d.Reason))
	}
}
