package soak

import (
	"fmt"
	"net/netip"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

const (
	serviceAddr     = "192.0.2.10:443"
	synInterval     = 150 * time.Millisecond
	maxSYNs         = 40
	minFlowDuration = 300 * time.Millisecond
)

type (
	// backend is an endpoint of a backend server. It accepts a flow on SYN and
	// answers packets of unknown flows with RST.
	backend struct {
		sim             *Sim
		id              uint32
		name            string
		domain          string
		addr            netip.AddrPort
		flows           map[packet.Tuple]time.Time // last packet of each open flow
		runningRequests int
	}

	// client opens one TCP flow at a time.
	client struct {
		sim        *Sim
		domain     string
		tuple      packet.Tuple
		port       uint16
		index      int
		state      clientState
		endpoint   uint32 // ID of the endpoint that accepted the flow
		seq        uint32
		endsAt     time.Time
		flowNumber int // lets timers of earlier flows expire without effect
		synsSent   int
	}

	clientState int
)

const (
	clientOpening clientState = iota
	clientOpen
	clientClosing
	clientDone
)

// deliverToBackend sends a packet from an entry to an endpoint. It checks that a
// UDP packet goes to the work service and a TCP packet to the flow service.
func (s *Sim) deliverToBackend(e *instance, endpoint *route.Endpoint, inner []byte) {
	b := s.backends[endpoint.ID()]
	if b == nil {
		b = &backend{sim: s, id: endpoint.ID(), name: endpoint.Name(), domain: endpoint.Domain(), addr: endpoint.Addr(), flows: map[packet.Tuple]time.Time{}}
		s.backends[endpoint.ID()] = b
		s.backendsByAddr[endpoint.Addr()] = b
	}
	p := decode(inner, nil)
	if work := p.Tuple().Transport() == packet.UDP; work != (endpoint.Service() == s.workServiceID()) {
		s.report.Crossed++
		s.violationf("a packet for %v was sent to endpoint %s of another service", p.Tuple().Dst(), endpoint.Name())
	}
	if p.Tuple().Transport() == packet.UDP {
		s.sendWithoutDuplicate(e.domain, b.domain, func() { b.receiveRequest(p) })
		return
	}
	s.send(e.domain, b.domain, func() { b.receive(inner, e.name) })
}

// receive handles a TCP packet that came through the entry via.
func (b *backend) receive(inner []byte, via string) {
	sim := b.sim
	p := decode(inner, nil)
	_, open := b.flows[p.Tuple()]
	switch {
	case p.Flags().Opens():
		if !open {
			b.checkNewFlow(p, via)
		}
		b.flows[p.Tuple()] = sim.now
		b.sendAnswer(p.Tuple(), packet.NewFlags(true, true, false, false))
	case open && p.Flags().Ends():
		delete(b.flows, p.Tuple())
		b.sendAnswer(p.Tuple(), packet.NewFlags(false, true, true, false))
	case open:
		b.flows[p.Tuple()] = sim.now
		b.sendAnswer(p.Tuple(), packet.NewFlags(false, true, false, false))
	default:
		sim.checkFlowEndpoint(p, b, via)
		b.sendAnswer(p.Tuple(), packet.NewFlags(false, true, false, true))
	}
}

// checkNewFlow checks that a leaving endpoint gets no new flow after maxDrainDelay.
func (b *backend) checkNewFlow(p *packet.Packet, via string) {
	since, leaving := b.sim.leavingSince[b.name]
	for _, domain := range []string{b.domain, b.sim.entries[via].domain} {
		if reconnected := b.sim.reconnectedAt[domain]; reconnected.After(since) {
			since = reconnected // a partitioned domain learns of the drain only after it is reconnected
		}
	}
	if !leaving || b.sim.now.Sub(since) <= maxDrainDelay || b.sim.partitioned[b.domain] {
		return
	}
	for _, c := range b.sim.clients {
		if c.tuple == p.Tuple() && c.state == clientOpening {
			b.sim.report.NewAfterDrain++
			b.sim.violationf("%s received a new flow %v after it began to leave, via %s", b.name, b.sim.now.Sub(since), via)
		}
	}
}

// checkFlowEndpoint checks that a packet of an established flow reaches the
// endpoint that the flow is established with.
func (s *Sim) checkFlowEndpoint(p *packet.Packet, b *backend, via string) {
	for _, c := range s.clients {
		if c.tuple == p.Tuple() && c.state == clientOpen && c.endpoint != b.id {
			s.report.Split++
			s.violationf("a packet of flow %v on endpoint %d reached endpoint %d via %s", p.Tuple().Src(), c.endpoint, b.id, via)
		}
	}
}

// sendAnswer answers a packet of a flow. The payload is the endpoint's ID, which
// distinguishes its answers from those of entries.
func (b *backend) sendAnswer(t packet.Tuple, f packet.Flags) {
	inner, err := packet.Build(t.Reverse(), f, 1, 1, []byte{byte(b.id)})
	if err != nil {
		panic(err)
	}
	b.sendToEntry(inner)
}

// sendToEntry sends an answer to a random reachable entry.
func (b *backend) sendToEntry(inner []byte) {
	sim := b.sim
	entries := sim.reachableEntries(b.domain)
	if len(entries) == 0 {
		return
	}
	e := entries[sim.rng.IntN(len(entries))]
	sim.send(b.domain, e.domain, func() {
		e.runUnpaused(func() { e.receive(b.addr, inner, nil) })
	})
}

// AddClient starts a client that opens flows one after the other.
func (s *Sim) AddClient(domain string) {
	c := &client{sim: s, domain: domain, index: len(s.clients), port: 1000}
	s.clients = append(s.clients, c)
	s.schedule(time.Duration(s.rng.IntN(500))*time.Millisecond, c.openFlow)
}

// openFlow starts a new flow from the next port.
func (c *client) openFlow() {
	sim := c.sim
	c.port++
	src := netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("10.0.%d.%d", c.index/200, c.index%200+1)), c.port)
	c.tuple = packet.NewTuple(src, netip.MustParseAddrPort(serviceAddr), packet.TCP)
	c.state, c.endpoint, c.seq, c.synsSent = clientOpening, 0, 1, 0
	c.flowNumber++
	c.endsAt = sim.now.Add(minFlowDuration + time.Duration(sim.rng.ExpFloat64()*float64(2*time.Second)))
	sim.report.Flows++
	c.sendSYN(c.flowNumber)
}

// sendSYN sends a SYN and retransmits it until the flow is accepted. After maxSYNs
// it gives up and opens another flow.
func (c *client) sendSYN(flowNumber int) {
	if c.flowNumber != flowNumber || c.state != clientOpening {
		return
	}
	if c.synsSent++; c.synsSent > maxSYNs {
		c.sim.report.NotOpened++
		c.openFlow()
		return
	}
	c.send(packet.NewFlags(true, false, false, false))
	c.sim.schedule(synInterval, func() { c.sendSYN(flowNumber) })
}

// sendData sends a packet of an open flow and schedules the next, or closes the
// flow if its time is over.
func (c *client) sendData(flowNumber int) {
	sim := c.sim
	if c.flowNumber != flowNumber || c.state != clientOpen {
		return
	}
	if sim.now.After(c.endsAt) {
		c.state = clientClosing
		c.send(packet.NewFlags(false, true, true, false))
		sim.report.Ended++
		sim.schedule(time.Duration(sim.rng.IntN(300))*time.Millisecond, c.openFlow)
		return
	}
	c.send(packet.NewFlags(false, true, false, false))
	sim.schedule(time.Duration(20+sim.rng.IntN(250))*time.Millisecond, func() { c.sendData(flowNumber) })
}

// send sends a packet of the flow to a random reachable entry.
func (c *client) send(f packet.Flags) {
	sim := c.sim
	c.seq++
	inner, err := packet.Build(c.tuple, f, c.seq, 1, nil)
	if err != nil {
		panic(err)
	}
	entries := sim.reachableEntries(c.domain)
	if len(entries) == 0 {
		return
	}
	e := entries[sim.rng.IntN(len(entries))]
	sim.send(c.domain, e.domain, func() { e.runUnpaused(func() { e.receive(netip.AddrPort{}, inner, nil) }) })
}

// deliverToClient sends an answer to the client whose tuple it carries.
func (s *Sim) deliverToClient(domain string, inner []byte) {
	p := decode(inner, nil)
	for _, c := range s.clients {
		if c.tuple == p.Tuple().Reverse() {
			s.send(domain, c.domain, func() { c.receive(p) })
		}
	}
	for _, r := range s.requesters {
		if r.tuple == p.Tuple().Reverse() {
			s.send(domain, r.domain, func() { r.receive(p) })
		}
	}
}

// receive handles a packet from a backend server, or an RST from an entry.
func (c *client) receive(p *packet.Packet) {
	if c.tuple != p.Tuple().Reverse() {
		return
	}
	switch {
	case p.Flags().Resets() && c.state == clientOpen && len(p.Payload()) == 0:
		c.sim.report.ResetByEntry++ // no payload: sent by an entry that found no record of the flow
		c.openFlow()
	case p.Flags().Resets() && c.state == clientOpen:
		c.sim.report.ResetByBackend++
		c.sim.violationf("flow %v on endpoint %d was reset by a backend server", c.tuple.Src(), c.endpoint)
		c.openFlow()
	case p.Flags().Accepts() && c.state == clientOpening:
		c.state = clientOpen
		c.endpoint = uint32(p.Payload()[0])
		c.sendData(c.flowNumber)
	}
}
