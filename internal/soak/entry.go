package soak

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/entry"
	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/member"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/peer"
	"oxbowsaddle/internal/work"
)

// instance is an entry instance in one of its lives.
type instance struct {
	world        *World
	name, domain string
	incarnation  uint64
	alive        bool
	pausedUntil  time.Time
	member       *member.Core
	entry        *entry.Core
}

// start begins a life with empty memory.
func (w *World) start(name, domain string) {
	incarnation := uint64(1)
	if old := w.entries[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	e := &instance{world: w, name: name, domain: domain, incarnation: incarnation, alive: true}
	e.member = member.New(member.Config{
		Name: name, Domain: domain, Incarnation: incarnation,
		Peers: peer.Config{Self: name, Domain: domain, HeardFor: 700 * time.Millisecond, IslandAfter: lease + 2*margin + 2*beatEvery},
	})
	e.entry = entry.New(entry.Config{
		Flow: flow.Config{
			Self: name, Domain: domain, Incarnation: incarnation, Hasher: w.hasher(), MaxFlows: 4096, MaxRecords: 4096, MaxWaiting: 256, AsksPerSecond: 2000,
			PushBytesPerSecond: 20000, AskTimeout: 40 * time.Millisecond, PushRetryInterval: 60 * time.Millisecond,
			HalfOpenTimeout: 2 * time.Second, SweepInterval: 200 * time.Millisecond, Modulo: w.config.Modulo,
		},
		Work: work.Config{
			Self: name, Domain: domain, Incarnation: incarnation, Hasher: w.hasher(), Requests: 2000, HeldKeys: 20000,
			HoldRetry: 40 * time.Millisecond, RetryFloor: 5, Linger: 2 * lease,
		},
		OnFlow: func(_ time.Time, v flow.Verdict, p *packet.Packet, answer bool) {
			w.count(v)
			w.note("%s.%d flow %v bucket %d answer %v: %s %s %s flags %+v", name, incarnation, p.Tuple().Src(), v.Bucket(), answer, v.Action(), v.Reason(), endpointName(v), p.Flags())
		},
		OnWork: func(_ time.Time, v work.Event) {
			w.report.Reasons["work_"+v.State.String()+"_"+v.Cause.String()]++
			w.note("%s.%d token %x %s %s endpoint %d", name, incarnation, v.Token, v.State, v.Cause, v.Endpoint)
		},
	}, w.now)
	w.entries[name] = e
	e.loop(step, e.tick)
	e.loop(beatEvery, e.beat)
	e.loop(probeEvery, e.probe)
	e.beat()
}

// loop runs something again and again while this life lasts; a pause delays it.
func (e *instance) loop(d time.Duration, run func()) {
	e.world.after(d, func() {
		if !e.alive {
			return
		}
		e.awake(run)
		e.loop(d, run)
	})
}

// awake runs something now, or when a pause is over.
func (e *instance) awake(run func()) {
	if !e.alive {
		return
	}
	if wait := e.pausedUntil.Sub(e.world.now); wait > 0 {
		e.world.after(wait, func() { e.awake(run) })
		return
	}
	run()
}

// look brings the entry's view up to date.
func (e *instance) look() {
	e.entry.SetView(e.world.now, e.member.View(e.world.now))
}

func (e *instance) tick() {
	e.look()
	e.entry.Tick(e.world.now)
	e.flush()
	stats := e.entry.Flow().Stats()
	if e.member.MayStop(e.entry.Flow().LastSweep(), stats.PushBacklog) && !e.entry.Work().Handing(e.world.now) {
		e.member.AnnounceStopped()
		e.beat()
		e.alive = false
	}
}

func (e *instance) beat() {
	w := e.world
	sent := w.now
	r := e.member.NextHeartbeat(e.entry.Flow().LastSweep(), nil)
	w.send(e.domain, leaderDomain, func() {
		reply := w.beat(r)
		w.send(leaderDomain, e.domain, func() {
			e.awake(func() {
				more, err := e.member.HandleReply(sent, reply)
				if err != nil {
					w.fault("%s: %v", e.name, err)
				}
				e.look()
				if more {
					e.beat()
				}
			})
		})
	})
}

func (e *instance) probe() {
	w := e.world
	leased := w.now.Before(e.member.LeaseUntil())
	for _, name := range w.names {
		other := w.entries[name]
		if name == e.name {
			continue
		}
		w.send(e.domain, other.domain, func() {
			other.awake(func() { other.member.Peers().Heard(w.now, e.name, leased) })
		})
	}
}

// take gives a packet to the entry, relayed or not.
func (e *instance) take(from netip.AddrPort, inner []byte, relay *packet.Relay) {
	e.look()
	e.entry.Take(e.world.now, from, decode(inner, relay))
	e.flush()
}

func (e *instance) flush() {
	w := e.world
	for _, s := range e.entry.TakeSends(w.now) {
		switch s.Target {
		case entry.ToFabric:
			w.toCaller(e.domain, s.Inner)
		case entry.ToBackend:
			w.toBackend(e, s.Endpoint, s.Inner)
		case entry.ToPeer:
			e.toPeer(s)
		}
	}
}

// toPeer sends to another entry. Its name is looked up again at delivery: a
// new life may have begun.
func (e *instance) toPeer(s entry.Send) {
	w := e.world
	to := w.entries[s.Peer]
	if to == nil {
		return
	}
	w.send(e.domain, to.domain, func() {
		other := w.entries[s.Peer]
		other.awake(func() {
			if s.Message == nil {
				relay := s.Relay
				other.take(netip.AddrPort{}, s.Inner, &relay)
				return
			}
			other.look()
			other.entry.TakePeer(w.now, s.Message)
			other.flush()
		})
	})
}

func endpointName(v flow.Verdict) string {
	if v.Endpoint() == nil {
		return "-"
	}
	return v.Endpoint().Name()
}
