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

// instance is one incarnation of an entry instance: a restart makes a new one.
type instance struct {
	sim          *Sim
	name, domain string
	incarnation  uint64
	alive        bool
	pausedUntil  time.Time
	member       *member.Core
	entry        *entry.Core
}

// startEntry starts a new incarnation of an entry, without any state of the
// previous one.
func (s *Sim) startEntry(name, domain string) {
	incarnation := uint64(1)
	if old := s.entries[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	e := &instance{sim: s, name: name, domain: domain, incarnation: incarnation, alive: true}
	e.member = member.New(member.Config{
		Name: name, Domain: domain, Incarnation: incarnation,
		Peers: peer.Config{Self: name, Domain: domain, ProbeTimeout: 700 * time.Millisecond, IsolationDelay: leaseDuration + 2*clockMargin + 2*heartbeatInterval},
	})
	e.entry = entry.New(entry.Config{
		Flow: flow.Config{
			Self: name, Domain: domain, Incarnation: incarnation, Hasher: s.hasher(), MaxFlows: 4096, MaxRecords: 4096, MaxWaiting: 256, AsksPerSecond: 2000,
			PushBytesPerSecond: 20000, AskTimeout: 40 * time.Millisecond, PushRetryInterval: 60 * time.Millisecond,
			HalfOpenTimeout: 2 * time.Second, SweepInterval: 200 * time.Millisecond, Modulo: s.config.Modulo,
		},
		Work: work.Config{
			Self: name, Domain: domain, Incarnation: incarnation, Hasher: s.hasher(), MaxRequests: 2000, MaxHeldKeys: 20000,
			HoldRetryInterval: 40 * time.Millisecond, MinRetriesPerSecond: 5, MaxPacketDelay: 2 * leaseDuration,
		},
		OnFlow: func(_ time.Time, v flow.Verdict, p *packet.Packet, answer bool) {
			s.countVerdict(v)
			s.tracef("%s.%d flow %v bucket %d answer %v: %s %s %s flags %+v", name, incarnation, p.Tuple().Src(), v.Bucket(), answer, v.Action(), v.Reason(), endpointName(v), p.Flags())
		},
		OnWork: func(_ time.Time, v work.Event) {
			s.report.Reasons["work_"+v.State.String()+"_"+v.Cause.String()]++
			s.tracef("%s.%d token %x %s %s endpoint %d", name, incarnation, v.Token, v.State, v.Cause, v.Endpoint)
		},
	}, s.now)
	s.entries[name] = e
	e.repeat(tickInterval, e.tick)
	e.repeat(heartbeatInterval, e.sendHeartbeat)
	e.repeat(probeInterval, e.sendProbes)
	e.sendHeartbeat()
}

// repeat calls run at an interval until the instance ends. Calls that fall into
// a pause are made after it.
func (e *instance) repeat(d time.Duration, run func()) {
	e.sim.schedule(d, func() {
		if !e.alive {
			return
		}
		e.runUnpaused(run)
		e.repeat(d, run)
	})
}

// runUnpaused calls run now, or at the end of a pause. It does nothing if the
// instance has ended.
func (e *instance) runUnpaused(run func()) {
	if !e.alive {
		return
	}
	if wait := e.pausedUntil.Sub(e.sim.now); wait > 0 {
		e.sim.schedule(wait, func() { e.runUnpaused(run) })
		return
	}
	run()
}

// updateView passes the current view from the member core to the entry core.
func (e *instance) updateView() {
	e.entry.SetView(e.sim.now, e.member.View(e.sim.now))
}

// tick runs the periodic work of the entry. In a planned stop it ends the
// instance when all state is handed over.
func (e *instance) tick() {
	e.updateView()
	e.entry.Tick(e.sim.now)
	e.sendOutput()
	stats := e.entry.Flow().Stats()
	if e.member.MayStop(e.entry.Flow().LastSweep(), stats.PushBacklog) && !e.entry.Work().HandoverPending(e.sim.now) {
		e.member.AnnounceStopped()
		e.sendHeartbeat()
		e.alive = false
	}
}

// sendHeartbeat sends a heartbeat to the leader and handles the reply. It sends
// the next one at once if the reply says that there are more log entries.
func (e *instance) sendHeartbeat() {
	sim := e.sim
	sent := sim.now
	r := e.member.NextHeartbeat(e.entry.Flow().LastSweep(), nil)
	sim.send(e.domain, leaderDomain, func() {
		reply := sim.handleHeartbeat(r)
		sim.send(leaderDomain, e.domain, func() {
			e.runUnpaused(func() {
				more, err := e.member.HandleReply(sent, reply)
				if err != nil {
					sim.violationf("%s: %v", e.name, err)
				}
				e.updateView()
				if more {
					e.sendHeartbeat()
				}
			})
		})
	})
}

// sendProbes sends every other entry a probe, which carries whether this one holds
// a lease.
func (e *instance) sendProbes() {
	sim := e.sim
	leased := sim.now.Before(e.member.LeaseUntil())
	for _, name := range sim.entryNames {
		other := sim.entries[name]
		if name == e.name {
			continue
		}
		sim.send(e.domain, other.domain, func() {
			other.runUnpaused(func() { other.member.Peers().RecordProbe(sim.now, e.name, leased) })
		})
	}
}

// receive handles a packet. The source is the address of the sending endpoint, or
// zero for a packet from a client or another entry; relay is nil unless another
// entry relayed the packet.
func (e *instance) receive(source netip.AddrPort, inner []byte, relay *packet.Relay) {
	e.updateView()
	e.entry.HandlePacket(e.sim.now, source, decode(inner, relay))
	e.sendOutput()
}

// sendOutput sends the queued packets and messages of the entry.
func (e *instance) sendOutput() {
	sim := e.sim
	for _, s := range e.entry.TakeSends(sim.now) {
		switch s.Target {
		case entry.ToFabric:
			sim.deliverToClient(e.domain, s.Inner)
		case entry.ToBackend:
			sim.deliverToBackend(e, s.Endpoint, s.Inner)
		case entry.ToPeer:
			e.sendToPeer(s)
		}
	}
}

// sendToPeer sends a message or a relayed packet to another entry. The name is
// looked up again at delivery, because the entry may have restarted meanwhile.
func (e *instance) sendToPeer(s entry.Send) {
	sim := e.sim
	to := sim.entries[s.Peer]
	if to == nil {
		return
	}
	sim.send(e.domain, to.domain, func() {
		other := sim.entries[s.Peer]
		other.runUnpaused(func() {
			if s.Message == nil {
				relay := s.Relay
				other.receive(netip.AddrPort{}, s.Inner, &relay)
				return
			}
			other.updateView()
			other.entry.HandlePeer(sim.now, s.Message)
			other.sendOutput()
		})
	})
}

// endpointName returns the name of a verdict's endpoint for the trace.
func endpointName(v flow.Verdict) string {
	if v.Endpoint() == nil {
		return "-"
	}
	return v.Endpoint().Name()
}
