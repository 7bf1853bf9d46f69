package soak

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/member"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/peer"
	"oxbowsaddle/internal/wire"
)

// entry is an entry instance in one of its lives.
type entry struct {
	world        *World
	name, domain string
	incarnation  uint64
	alive        bool
	pausedUntil  time.Time
	core         *member.Core
	engine       *flow.Engine
}

// start begins a life with empty memory.
func (w *World) start(name, domain string) *entry {
	incarnation := uint64(1)
	if old := w.entries[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	e := &entry{world: w, name: name, domain: domain, incarnation: incarnation, alive: true}
	e.core = member.New(member.Config{
		Name: name, Domain: domain, Incarnation: incarnation,
		Peers: peer.Config{Self: name, Domain: domain, HeardFor: 700 * time.Millisecond, IslandAfter: 800 * time.Millisecond},
	})
	e.engine = flow.New(flow.Config{
		Self: name, Domain: domain, Hasher: w.hasher(), Flows: 4096, Records: 4096, Waiting: 256, AsksASecond: 2000,
		PushBytes: 20000, AskTimeout: 40 * time.Millisecond, PushRetry: 60 * time.Millisecond,
		HalfOpenLife: time.Second, SweepEvery: 200 * time.Millisecond,
	}, w.now)
	w.entries[name] = e
	e.loop(step, e.tick)
	e.loop(beatEvery, e.beat)
	e.loop(probeEvery, e.probe)
	e.beat()
	return e
}

// loop runs something again and again while this life lasts; a pause delays it.
func (e *entry) loop(d time.Duration, run func()) {
	e.world.after(d, func() {
		if !e.alive {
			return
		}
		e.awake(run)
		e.loop(d, run)
	})
}

// awake runs something now, or when a pause is over.
func (e *entry) awake(run func()) {
	if !e.alive {
		return
	}
	if wait := e.pausedUntil.Sub(e.world.now); wait > 0 {
		e.world.after(wait, func() { e.awake(run) })
		return
	}
	run()
}

func (e *entry) tick() {
	e.engine.SetView(e.core.View(e.world.now))
	e.engine.Tick(e.world.now)
	e.flush()
	if e.core.MayStop(e.engine.LastCount(), e.engine.Stats().PushBacklog) {
		e.alive = false
	}
}

func (e *entry) beat() {
	w := e.world
	sent := w.now
	r := e.core.Request(e.engine.LastCount(), nil)
	w.send(e.domain, leaderDomain, func() {
		reply := w.beat(r)
		w.send(leaderDomain, e.domain, func() {
			e.awake(func() {
				more, err := e.core.Reply(sent, reply)
				if err != nil {
					w.fault("%s: %v", e.name, err)
				}
				e.engine.SetView(e.core.View(w.now))
				if more {
					e.beat()
				}
			})
		})
	})
}

func (e *entry) probe() {
	w := e.world
	leased := w.now.Before(e.core.LeaseUntil())
	for _, name := range w.names {
		other := w.entries[name]
		if name == e.name {
			continue
		}
		w.send(e.domain, other.domain, func() {
			other.awake(func() { other.core.Peers().Heard(w.now, e.name, leased) })
		})
	}
}

// fromCaller takes a packet from the fabric or a peer.
func (e *entry) fromCaller(inner []byte, relay *packet.Relay) {
	e.engine.SetView(e.core.View(e.world.now))
	p := decode(inner, relay)
	e.carryOut(e.engine.Inbound(e.world.now, p), inner, p.Tuple())
	e.flush()
}

// fromBackend takes an answer from a backend server or a peer.
func (e *entry) fromBackend(from netip.AddrPort, inner []byte, relay *packet.Relay) {
	e.engine.SetView(e.core.View(e.world.now))
	p := decode(inner, relay)
	v := e.engine.Answer(e.world.now, from, p)
	e.world.count(v)
	switch v.Action() {
	case flow.Forward:
		e.world.toCaller(e.domain, p)
	case flow.Relay:
		e.relay(v, func(other *entry, r packet.Relay) { other.fromBackend(from, inner, &r) })
	default:
	}
	e.flush()
}

func (e *entry) carryOut(v flow.Verdict, inner []byte, tuple packet.Tuple) {
	w := e.world
	w.count(v)
	switch v.Action() {
	case flow.Forward:
		w.toBackend(e, v, inner)
	case flow.Relay:
		e.relay(v, func(other *entry, r packet.Relay) { other.fromCaller(inner, &r) })
	case flow.Reset:
		w.report.Reset++
		w.resetCaller(e.domain, tuple, v.Reason().String())
	default:
	}
}

func (e *entry) relay(v flow.Verdict, deliver func(*entry, packet.Relay)) {
	w := e.world
	other := w.entries[v.Peer()]
	relay := v.Relay()
	w.send(e.domain, other.domain, func() {
		// The name is looked up again: a new life may have begun.
		other := w.entries[v.Peer()]
		other.awake(func() { deliver(other, relay) })
	})
}

func (e *entry) flush() {
	for _, o := range e.engine.TakeOut() {
		if o.Message == nil {
			e.carryOut(o.Verdict, o.Inner, o.Tuple)
			continue
		}
		e.sendPeer(o.Peer, o.Message)
	}
}

func (e *entry) sendPeer(name string, m *wire.Peer) {
	w := e.world
	w.send(e.domain, w.entries[name].domain, func() {
		other := w.entries[name]
		other.awake(func() {
			other.engine.SetView(other.core.View(w.now))
			other.engine.Peer(w.now, m)
			other.flush()
		})
	})
}
