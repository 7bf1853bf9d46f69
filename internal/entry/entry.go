// Package entry combines the engines for flows and for requests into the packet
// processing of one entry. It does no I/O: packets and the current time are arguments,
// and the packets to send are results. A Core must not be used concurrently.
package entry

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
	"oxbowsaddle/internal/work"
)

// Targets of a Send.
const (
	ToFabric  Target = iota // to the fabric, for a client
	ToBackend               // to an endpoint
	ToPeer                  // to another entry
)

type (
	// Target is the kind of receiver of a Send.
	Target uint8

	// Send is a datagram to send. Inner may alias the buffer of the last packet passed
	// to HandlePacket.
	Send struct {
		Target    Target
		Endpoint  *route.Endpoint // for ToBackend
		Peer      string          // for ToPeer
		Inner     []byte          // the inner packet, unless Message is set
		Relay     packet.Relay    // if Relayed
		Relayed   bool
		Message   *wire.Peer // a message instead of a packet
		ExpiresAt time.Time  // must not be sent at or after this time; zero means no limit
	}

	// Config configures a Core. OnFlow and OnWork may be nil.
	Config struct {
		Flow   flow.Config
		Work   work.Config
		OnFlow func(now time.Time, v flow.Verdict, p *packet.Packet, answer bool) // called for each verdict
		OnWork func(now time.Time, e work.Event)                                  // called for each event
	}

	// Core processes the packets of one entry.
	Core struct {
		config Config
		view   *flow.View
		flow   *flow.Engine
		work   *work.Engine
		sends  []Send
	}
)

// New returns a core with an empty table.
func New(c Config, now time.Time) *Core {
	if c.OnFlow == nil {
		c.OnFlow = func(time.Time, flow.Verdict, *packet.Packet, bool) {}
	}
	if c.OnWork == nil {
		c.OnWork = func(time.Time, work.Event) {}
	}
	return &Core{config: c, view: &flow.View{Table: route.Empty()}, flow: flow.New(c.Flow, now), work: work.New(c.Work)}
}

// Flow returns the engine for flows, for reading only.
func (c *Core) Flow() *flow.Engine { return c.flow }

// Work returns the engine for requests, for reading only.
func (c *Core) Work() *work.Engine { return c.work }

// SetView applies a new view.
func (c *Core) SetView(now time.Time, v *flow.View) {
	if v == c.view {
		return
	}
	c.view = v
	c.flow.SetView(v)
	c.work.SetView(now, &work.View{
		Table: v.Table, MembershipTables: v.MembershipTables, LeaseUntil: v.LeaseUntil,
		Isolated: v.Isolated, Reachable: v.Reachable, ReachableDomains: v.ReachableDomains,
	})
}

// TakeSends returns and clears the pending datagrams, which are valid until the next
// call.
func (c *Core) TakeSends(now time.Time) []Send {
	c.collectOutput(now)
	sends := c.sends
	c.sends = c.sends[:0]
	return sends
}

// Tick runs the timers of the engines.
func (c *Core) Tick(now time.Time) {
	c.flow.Tick(now)
	c.work.Tick(now)
}

// HandlePeer processes a message from another entry.
func (c *Core) HandlePeer(now time.Time, m *wire.Peer) {
	c.flow.HandlePeer(now, m)
	c.work.HandlePeer(now, m)
}

// HandlePacket processes a packet from the fabric, a backend server or another entry.
func (c *Core) HandlePacket(now time.Time, from netip.AddrPort, p *packet.Packet) {
	tuple := p.Tuple()
	table := c.view.Table
	if service, class := table.Lookup(route.ServiceKey{Addr: tuple.Dst(), Transport: tuple.Transport()}); service != nil {
		c.handleInbound(now, service, class, p)
		return
	}
	service, class := table.Lookup(route.ServiceKey{Addr: tuple.Src(), Transport: tuple.Transport()})
	switch {
	case service == nil:
		c.config.OnFlow(now, c.flow.DecideInbound(now, p), p, false) // counted as UnknownService
	case class.Work:
		c.work.HandleAnswer(now, from, service, p)
	default:
		c.handleAnswer(now, from, p)
	}
}

func (c *Core) handleInbound(now time.Time, service *route.Service, class *route.Class, p *packet.Packet) {
	if class.Work {
		c.work.HandleRequest(now, service, class, p)
		return
	}
	v := c.flow.DecideInbound(now, p)
	c.config.OnFlow(now, v, p, false)
	c.applyVerdict(v, p)
}

func (c *Core) handleAnswer(now time.Time, from netip.AddrPort, p *packet.Packet) {
	v := c.flow.DecideAnswer(now, from, p)
	c.config.OnFlow(now, v, p, true)
	switch v.Action() {
	case flow.Forward:
		c.sends = append(c.sends, Send{Target: ToFabric, Inner: p.Inner()})
	case flow.Relay:
		c.sends = append(c.sends, Send{Target: ToPeer, Peer: v.Peer(), Inner: p.Inner(), Relay: v.Relay(), Relayed: true})
	default: // dropped and counted
	}
}

// applyVerdict queues the packet to send, if any, by the verdict on a client's packet.
func (c *Core) applyVerdict(v flow.Verdict, p *packet.Packet) {
	switch v.Action() {
	case flow.Forward:
		c.sends = append(c.sends, Send{Target: ToBackend, Endpoint: v.Endpoint(), Inner: p.Inner()})
	case flow.Relay:
		c.sends = append(c.sends, Send{Target: ToPeer, Peer: v.Peer(), Inner: p.Inner(), Relay: v.Relay(), Relayed: true})
	case flow.Reset:
		if reset, err := packet.BuildReset(p); err == nil {
			c.sends = append(c.sends, Send{Target: ToFabric, Inner: reset})
		}
	default: // dropped and counted, or held back by the engine
	}
}

// collectOutput queues the engines' pending output.
func (c *Core) collectOutput(now time.Time) {
	for _, o := range c.flow.TakeOutput() {
		if o.Message != nil {
			c.sends = append(c.sends, Send{Target: ToPeer, Peer: o.Peer, Message: o.Message})
			continue
		}
		c.config.OnFlow(now, o.Verdict, o.Packet, false)
		c.applyVerdict(o.Verdict, o.Packet)
	}
	for _, o := range c.work.TakeOutput() {
		c.sends = append(c.sends, sendFromWork(o))
	}
	for _, e := range c.work.TakeEvents() {
		c.config.OnWork(now, e)
	}
}

func sendFromWork(o work.Output) Send {
	switch o.Kind {
	case work.ToBackend:
		return Send{Target: ToBackend, Endpoint: o.Endpoint, Inner: o.Inner, ExpiresAt: o.ExpiresAt}
	case work.ToPeer:
		return Send{Target: ToPeer, Peer: o.Peer, Message: o.Message}
	case work.RelayRequest, work.RelayAnswer:
		return Send{Target: ToPeer, Peer: o.Peer, Inner: o.Inner, Relay: o.Relay, Relayed: true}
	default:
		return Send{Target: ToFabric, Inner: o.Inner, ExpiresAt: o.ExpiresAt}
	}
}
