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

// tickEvery is how often timers of the traffic are looked at.
const tickEvery = 5 * time.Millisecond

var emptyTable = route.Empty()

type (
	// probe is a peer's probe on its way to the control goroutine.
	probe struct {
		from   string
		leased bool
	}

	// report is what the traffic goroutine tells the control goroutine.
	report struct {
		count   flow.SweepResult
		backlog uint64
		handing bool
		owns    string // what is left to hand over, for the log
		flows   flow.Stats
		work    work.Stats
	}

	// traffic owns the packet socket, the decision core and its records.
	traffic struct {
		instance *Instance
		conn     *batchConn
		core     *entry.Core
		decoder  packet.Decoder
		encoder  *packet.Encoder
		packet   packet.Packet
		peers    map[netip.AddrPort]string
		byName   map[string]netip.AddrPort
		probes   chan probe
		queries  chan func(*entry.Core)
		report   atomic.Pointer[report]
		counts   trafficCounts
	}

	trafficCounts struct {
		decoded   []metrics.Counter // by packet.Reason
		flows     []metrics.Counter // by flow.Reason
		states    []metrics.Counter // by work.State
		in, out   metrics.Counter
		forwarded metrics.Counter
		relayed   metrics.Counter
		stranger  metrics.Counter
		late      metrics.Counter
		peerBytes metrics.Counter
	}
)

func newTraffic(i *Instance) (*traffic, error) {
	const queue = 256
	t := &traffic{
		instance: i, peers: map[netip.AddrPort]string{}, byName: map[string]netip.AddrPort{},
		probes: make(chan probe, queue), queries: make(chan func(*entry.Core), queue),
	}
	var err error
	if t.encoder, err = packet.NewEncoder(); err != nil {
		return nil, err
	}
	if t.conn, err = newBatchConn(i.self.Packets, i.config.Settings.Limits.QueueBytes); err != nil {
		return nil, err
	}
	for _, other := range i.config.Settings.Instances {
		if other.Name != i.self.Name {
			t.peers[other.Packets] = other.Name
			t.byName[other.Name] = other.Packets
		}
	}
	t.report.Store(&report{})
	t.makeCounts()
	return t, nil
}

func (t *traffic) makeCounts() {
	c := t.instance.counters
	for _, r := range packet.Reasons() {
		t.counts.decoded = append(t.counts.decoded, c.Counter("packet_"+r.String()))
	}
	for _, r := range flow.Reasons() {
		t.counts.flows = append(t.counts.flows, c.Counter("flow_"+r.String()))
	}
	for _, s := range work.States() {
		t.counts.states = append(t.counts.states, c.Counter("work_"+s.String()))
	}
	t.counts.in, t.counts.out = c.Counter("packets_in"), c.Counter("packets_out")
	t.counts.forwarded, t.counts.relayed = c.Counter("packets_forwarded"), c.Counter("packets_relayed")
	t.counts.stranger, t.counts.late = c.Counter("packet_stranger"), c.Counter("sends_too_late")
	t.counts.peerBytes = c.Counter("peer_bytes")
}

// build makes the decision core for one life.
func (t *traffic) build(incarnation uint64) {
	i := t.instance
	s := i.config.Settings
	hasher := route.NewHasher(s.Key())
	t.core = entry.New(entry.Config{
		Flow: flow.Config{
			Self: i.self.Name, Domain: i.self.Domain, Incarnation: incarnation, Hasher: hasher,
			MaxFlows: s.Limits.Flows, MaxRecords: s.Limits.Records, MaxWaiting: s.Limits.Waiting, AsksPerSecond: s.Limits.AsksASecond,
			PushBytesPerSecond: s.Limits.PushBytes, AskTimeout: s.Times.AskTimeout.Std(), PushRetryInterval: s.Times.PushRetry.Std(),
			HalfOpenTimeout: s.Times.HalfOpenLife.Std(), SweepInterval: s.Times.SweepEvery.Std(), Modulo: i.config.Placement == PlacementModulo,
		},
		Work: work.Config{
			Self: i.self.Name, Domain: i.self.Domain, Incarnation: incarnation, Hasher: hasher,
			Requests: s.Limits.Requests, HeldKeys: s.Limits.HeldAtPeer, HoldRetry: s.Times.AskTimeout.Std(),
			RetryFloor: float64(s.Limits.RetryFloor), Linger: 2 * s.Times.Lease.Std(),
		},
		OnFlow: t.onFlow,
		OnWork: t.onWork,
	}, i.now())
}

func (t *traffic) close() error { return t.conn.udp.Close() }

// run reads, decides and writes until the context ends.
func (t *traffic) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.udp.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	next := t.instance.now().Add(tickEvery)
	for ctx.Err() == nil {
		messages, err := t.conn.receive(next)
		if err != nil {
			return err
		}
		now := t.instance.now()
		t.core.SetView(now, t.instance.view.Load())
		for n := range messages {
			t.take(now, messages[n].Buffers[0][:messages[n].N], messages[n].Addr)
		}
		if !now.Before(next) {
			next = now.Add(tickEvery)
			t.tick(now)
		}
		if err := t.sendAll(now); err != nil {
			return err
		}
	}
	return ctx.Err()
}

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
	t.report.Store(&report{
		count: t.core.Flow().LastSweep(), backlog: stats.PushBacklog, handing: t.core.Work().Handing(now), owns: t.core.Work().Owns(),
		flows: stats, work: t.core.Work().Stats(),
	})
}

// take decodes one datagram and decides on it.
func (t *traffic) take(now time.Time, data []byte, addr net.Addr) {
	t.counts.in.Inc(1)
	udp, ok := addr.(*net.UDPAddr)
	if !ok {
		return
	}
	from := udp.AddrPort()
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	reason := t.decoder.Decode(data, &t.packet)
	t.counts.decoded[reason].Inc(1)
	if reason != packet.Decoded {
		return
	}
	name, isPeer := t.peers[from]
	_, relayed := t.packet.Relay()
	switch {
	case t.packet.IsPeer() && isPeer:
		t.takePeer(now, name, t.packet.Inner())
	case t.packet.IsPeer() || relayed && !isPeer:
		t.counts.stranger.Inc(1) // only an instance of the settings may say such things
	default:
		t.core.Take(now, from, &t.packet)
		t.collect(now)
	}
}

func (t *traffic) takePeer(now time.Time, name string, data []byte) {
	t.counts.peerBytes.Inc(int64(len(data)))
	m := &wire.Peer{}
	if err := proto.Unmarshal(data, m); err != nil || m.From != name {
		t.counts.stranger.Inc(1)
		return
	}
	if p := m.GetProbe(); p != nil {
		select {
		case t.probes <- probe{name, p.Leased}:
		default: // the next one comes soon
		}
		return
	}
	t.core.TakePeer(now, m)
	t.collect(now)
}

// collect queues what the core wants sent, before the next packet overwrites
// the buffers that it points into.
func (t *traffic) collect(now time.Time) {
	for _, s := range t.core.TakeSends(now) {
		t.send(s)
	}
}

func (t *traffic) sendAll(now time.Time) error {
	t.collect(now)
	return t.conn.flush()
}

func (t *traffic) send(s entry.Send) {
	if !s.Until.IsZero() && !t.instance.now().Before(s.Until) {
		t.counts.late.Inc(1) // the process was paused: what it decided is no longer its to say
		return
	}
	t.counts.out.Inc(1)
	buffer := t.conn.next()
	switch {
	case s.Message != nil:
		data, err := proto.Marshal(s.Message)
		if err != nil {
			return
		}
		t.counts.peerBytes.Inc(int64(len(data)))
		t.queue(t.encoder.AppendPeer(buffer, data), t.byName[s.Peer])
	case s.Relayed:
		t.counts.relayed.Inc(1)
		t.queue(t.encoder.AppendRelay(buffer, s.Inner, s.Relay), t.byName[s.Peer])
	case s.Target == entry.ToBackend:
		t.counts.forwarded.Inc(1)
		t.queue(t.encoder.AppendPlain(buffer, s.Inner), s.Endpoint.Addr())
	default:
		t.queue(t.encoder.AppendPlain(buffer, s.Inner), t.instance.config.Settings.Fabric)
	}
}

// queue sends a datagram, unless its receiver cannot be reached. An error of
// the socket is a lost datagram; a closed socket ends run.
func (t *traffic) queue(data []byte, to netip.AddrPort) {
	if !t.instance.config.Blocked(to) {
		_ = t.conn.queue(data, to)
	}
}

// sendProbes tells the peers that this entry lives; called by the control
// goroutine, so it uses the socket and nothing else of the traffic.
func (t *traffic) sendProbes(leased bool, incarnation uint64) {
	m := &wire.Peer{From: t.instance.self.Name, Body: &wire.Peer_Probe{Probe: &wire.Probe{Leased: leased, Incarnation: incarnation}}}
	data, err := proto.Marshal(m)
	if err != nil {
		return
	}
	datagram := t.encoder.AppendPeer(nil, data)
	for _, addr := range t.byName {
		if t.instance.config.Blocked(addr) {
			continue
		}
		_, _ = t.conn.udp.WriteToUDPAddrPort(datagram, addr)
	}
}

// onFlow counts a decision, keeps what operators ask about, and traces.
func (t *traffic) onFlow(now time.Time, v flow.Verdict, p *packet.Packet, answer bool) {
	t.counts.flows[v.Reason()].Inc(1)
	sample := uint64(t.instance.config.Settings.Limits.SampleOneIn)
	opens := p.Flags().Opens() && !answer
	sampled := v.ID().Low%sample == 0 && v.Service() != nil
	unusual := explain.KeepsAlways(v) || opens && v.Reason() != flow.BySettled
	if !unusual && (!opens || !sampled) {
		return
	}
	tuple := p.Tuple()
	if answer {
		tuple = tuple.Reverse()
	}
	subject := tuple.Transport().String() + " " + tuple.Src().String() + " " + tuple.Dst().String()
	view := t.core.Flow().View()
	t.instance.ring.Add(explain.Flow(now, t.instance.self.Name, subject, v, view.Table.Index(), view.Active))
	if sampled {
		t.instance.tracer.Hop(now, v.ID().High, v.ID().Low, "flow", attribute.String("entry", t.instance.self.Name),
			attribute.String("subject", subject), attribute.String("action", v.Action().String()), attribute.String("reason", v.Reason().String()))
	}
}

func (t *traffic) onWork(now time.Time, e work.Event) {
	t.counts.states[e.State].Inc(1)
	view := t.core.Flow().View()
	endpoint := ""
	if have := view.Table.Endpoint(e.Endpoint); have != nil {
		endpoint = have.Name()
	}
	d := explain.Work(now, t.instance.self.Name, e, endpoint, view.Table.Index(), view.Active)
	if e.State == work.Unknown || e.State == work.Refused {
		t.instance.log.Debug("request", "token", d.Subject, "state", d.Action, "cause", d.Reason, "service", e.Service, "index", d.Index)
	}
	t.instance.ring.Add(d)
	if e.ID.Low%uint64(t.instance.config.Settings.Limits.SampleOneIn) == 0 {
		t.instance.tracer.Hop(now, e.ID.High, e.ID.Low, "request", attribute.String("entry", t.instance.self.Name),
			attribute.String("token", d.Subject), attribute.String("state", d.Action), attribute.String("cause", d.Reason))
	}
}
