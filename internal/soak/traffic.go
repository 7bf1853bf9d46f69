package soak

import (
	"fmt"
	"net/netip"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

const (
	serviceAddr  = "192.0.2.10:443"
	resendAfter  = 150 * time.Millisecond
	mostResends  = 40
	shortestFlow = 300 * time.Millisecond
)

type (
	// backend is a backend server's endpoint: it accepts flows by SYN and
	// answers a packet of a flow that it does not hold by RST.
	backend struct {
		world   *World
		id      uint32
		name    string
		domain  string
		addr    netip.AddrPort
		flows   map[packet.Tuple]time.Time
		running int
	}

	// caller holds one flow at a time.
	caller struct {
		world    *World
		domain   string
		tuple    packet.Tuple
		port     uint16
		number   int
		state    callerState
		endpoint uint32 // that accepted the flow
		seq      uint32
		ends     time.Time
		life     int // tells a timer of an old flow
		resends  int
	}

	callerState int
)

const (
	callerOpening callerState = iota
	callerOpen
	callerClosing
	callerDone
)

// toBackend delivers a packet to an endpoint and checks what must hold there.
func (w *World) toBackend(e *instance, endpoint *route.Endpoint, inner []byte) {
	b := w.backends[endpoint.ID()]
	if b == nil {
		b = &backend{world: w, id: endpoint.ID(), name: endpoint.Name(), domain: endpoint.Domain(), addr: endpoint.Addr(), flows: map[packet.Tuple]time.Time{}}
		w.backends[endpoint.ID()] = b
		w.byAddr[endpoint.Addr()] = b
	}
	p := decode(inner, nil)
	if work := p.Tuple().Transport() == packet.UDP; work != (endpoint.Service() == w.deskID()) {
		w.report.Crossed++
		w.fault("a packet for %v went to endpoint %s", p.Tuple().Dst(), endpoint.Name())
	}
	if p.Tuple().Transport() == packet.UDP {
		w.sendOnce(e.domain, b.domain, func() { b.takeWork(p) })
		return
	}
	w.send(e.domain, b.domain, func() { b.take(inner, e.name) })
}

func (b *backend) take(inner []byte, via string) {
	w := b.world
	p := decode(inner, nil)
	_, held := b.flows[p.Tuple()]
	switch {
	case p.Flags().Opens():
		if !held {
			b.checkLeaving(p, via)
		}
		b.flows[p.Tuple()] = w.now
		b.answer(p.Tuple(), packet.NewFlags(true, true, false, false))
	case held && p.Flags().Ends():
		delete(b.flows, p.Tuple())
		b.answer(p.Tuple(), packet.NewFlags(false, true, true, false))
	case held:
		b.flows[p.Tuple()] = w.now
		b.answer(p.Tuple(), packet.NewFlags(false, true, false, false))
	default:
		w.checkSplit(p, b, via)
		b.answer(p.Tuple(), packet.NewFlags(false, true, false, true))
	}
}

// checkLeaving asserts that a leaving endpoint gets no new flow after the bound.
func (b *backend) checkLeaving(p *packet.Packet, via string) {
	since, leaving := b.world.leaving[b.name]
	for _, domain := range []string{b.domain, b.world.entries[via].domain} {
		if mended := b.world.mended[domain]; mended.After(since) {
			since = mended // a domain that was cut off could not be told before
		}
	}
	if !leaving || b.world.now.Sub(since) <= drainBound || b.world.cut[b.domain] {
		return
	}
	for _, c := range b.world.callers {
		if c.tuple == p.Tuple() && c.state == callerOpening {
			b.world.report.LateNew++
			b.world.fault("%s got a new flow %v after it began to leave, via %s", b.name, b.world.now.Sub(since), via)
		}
	}
}

// checkSplit asserts that a packet of a flow which another endpoint has
// accepted, and whose caller knows it, does not come here.
func (w *World) checkSplit(p *packet.Packet, b *backend, via string) {
	for _, c := range w.callers {
		if c.tuple == p.Tuple() && c.state == callerOpen && c.endpoint != b.id {
			w.report.Split++
			w.fault("flow %v on endpoint %d got to %d via %s", p.Tuple().Src(), c.endpoint, b.id, via)
		}
	}
}

// answer answers a packet of a flow; the payload names the endpoint.
func (b *backend) answer(t packet.Tuple, f packet.Flags) {
	inner, err := packet.Build(t.Reverse(), f, 1, 1, []byte{byte(b.id)})
	if err != nil {
		panic(err)
	}
	b.back(inner)
}

// back hands an answer to any entry that can be reached.
func (b *backend) back(inner []byte) {
	w := b.world
	side := w.side(b.domain)
	if len(side) == 0 {
		return
	}
	e := side[w.rng.IntN(len(side))]
	w.send(b.domain, e.domain, func() {
		e.awake(func() { e.take(b.addr, inner, nil) })
	})
}

// AddCaller starts a caller that opens one flow after the other.
func (w *World) AddCaller(domain string) {
	c := &caller{world: w, domain: domain, number: len(w.callers), port: 1000}
	w.callers = append(w.callers, c)
	w.after(time.Duration(w.rng.IntN(500))*time.Millisecond, c.open)
}

func (c *caller) open() {
	w := c.world
	c.port++
	src := netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("10.0.%d.%d", c.number/200, c.number%200+1)), c.port)
	c.tuple = packet.NewTuple(src, netip.MustParseAddrPort(serviceAddr), packet.TCP)
	c.state, c.endpoint, c.seq, c.resends = callerOpening, 0, 1, 0
	c.life++
	c.ends = w.now.Add(shortestFlow + time.Duration(w.rng.ExpFloat64()*float64(2*time.Second)))
	w.report.Flows++
	c.sendOpening(c.life)
}

func (c *caller) sendOpening(life int) {
	if c.life != life || c.state != callerOpening {
		return
	}
	if c.resends++; c.resends > mostResends {
		c.world.report.Undecided++
		c.open()
		return
	}
	c.send(packet.NewFlags(true, false, false, false))
	c.world.after(resendAfter, func() { c.sendOpening(life) })
}

func (c *caller) sendData(life int) {
	w := c.world
	if c.life != life || c.state != callerOpen {
		return
	}
	if w.now.After(c.ends) {
		c.state = callerClosing
		c.send(packet.NewFlags(false, true, true, false))
		w.report.Ended++
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, c.open)
		return
	}
	c.send(packet.NewFlags(false, true, false, false))
	w.after(time.Duration(20+w.rng.IntN(250))*time.Millisecond, func() { c.sendData(life) })
}

func (c *caller) send(f packet.Flags) {
	w := c.world
	c.seq++
	inner, err := packet.Build(c.tuple, f, c.seq, 1, nil)
	if err != nil {
		panic(err)
	}
	side := w.side(c.domain)
	if len(side) == 0 {
		return
	}
	e := side[w.rng.IntN(len(side))]
	w.send(c.domain, e.domain, func() { e.awake(func() { e.take(netip.AddrPort{}, inner, nil) }) })
}

// toCaller delivers an answer.
func (w *World) toCaller(domain string, inner []byte) {
	p := decode(inner, nil)
	for _, c := range w.callers {
		if c.tuple == p.Tuple().Reverse() {
			w.send(domain, c.domain, func() { c.take(p) })
		}
	}
	for _, a := range w.askers {
		if a.tuple == p.Tuple().Reverse() {
			w.send(domain, a.domain, func() { a.take(p) })
		}
	}
}

func (c *caller) take(p *packet.Packet) {
	if c.tuple != p.Tuple().Reverse() {
		return
	}
	switch {
	case p.Flags().Resets() && c.state == callerOpen && len(p.Payload()) == 0:
		c.world.report.Reset++ // by an entry: nobody knew the flow any more
		c.open()
	case p.Flags().Resets() && c.state == callerOpen:
		c.world.report.ResetByBackend++
		c.world.fault("flow %v on endpoint %d was reset by a backend server", c.tuple.Src(), c.endpoint)
		c.open()
	case p.Flags().Accepts() && c.state == callerOpening:
		c.state = callerOpen
		c.endpoint = uint32(p.Payload()[0])
		c.sendData(c.life)
	}
}
