package steer

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// unreachableThreshold is how many consecutive probes an endpoint must miss before it
	// counts as out of reach; a single one may be a lost packet.
	unreachableThreshold = 2
	// probeInterval is the minimum time between probes of an endpoint that accepts connections,
	// as each probe is a new connection.
	probeInterval = 500 * time.Millisecond
	// maxInconclusive is how many inconclusive probes are retried before new evidence is
	// required.
	maxInconclusive = 5
	// minReprobeDelay and maxReprobeDelay bound the time between probes of an endpoint that is
	// out of reach. The delay doubles with each miss, as every entry probes. An endpoint whose
	// heartbeats resume is probed at once.
	minReprobeDelay = time.Second
	maxReprobeDelay = 16 * time.Second
	// missNoticeInterval limits how often other entries are notified of an endpoint's misses.
	missNoticeInterval = 2 * time.Second
	// missValidity is how long after a miss a flow may be reset without another probe. The
	// endpoint may recover within it, but its flows have then been disrupted already.
	missValidity = 1200 * time.Millisecond
	// stallThreshold is how many consecutive stalls, see recordStall, a superseded endpoint must
	// have before it counts as ended; a single one may be a lost packet. Stalls are at least
	// probeInterval apart.
	stallThreshold = 2
)

// Evidence for which an endpoint is probed.
const (
	UnansweredSYN Evidence = iota // a SYN was not answered
	UnackedData                   // a client retransmits data on an established flow
	Retry                         // the previous probe was missed or inconclusive
	OutOfReach                    // the endpoint is out of reach and may have recovered
	PeerReported                  // another entry reported a miss
)

// Outcomes of a probe.
const (
	Reached      Outcome = iota // the connection was accepted
	Missed                      // the connection was not accepted in time
	Inconclusive                // this entry was paused during the probe, so that the result is not meaningful

	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

var (
	evidenceNames = [...]string{"unopened", "unacked", "again", "lost", "told"}
	outcomeNames  = [OutcomeCount]string{"reached", "missed", "unsure"}
)

type (
	// Evidence is why an endpoint is probed.
	Evidence int

	// Outcome is the result of a probe.
	Outcome int

	// Probe checks whether an endpoint accepts a connection at its address. It uses none of the
	// endpoint's slots.
	Probe struct {
		ID   string
		Addr netip.AddrPort
		Why  Evidence
		// Timeout bounds the time until the connection is accepted.
		Timeout   time.Duration
		startedAt time.Time
	}

	// EndedFlow is a flow whose endpoint is out of reach; its client must be sent a reset.
	EndedFlow struct {
		Src, Dst netip.AddrPort
		Seq      uint32 // sequence number that the client expects next
	}

	// reachability is the state of an endpoint as reachable or not from this entry.
	reachability struct {
		probing        bool      // a probe is in progress
		misses         int       // consecutive missed probes
		inconclusive   int       // consecutive inconclusive probes
		lost           bool      // the endpoint is out of reach
		lastMissAt     time.Time // time of the last miss
		nextProbeAt    time.Time // earliest time of the next probe
		lastResponseAt time.Time // when the endpoint last answered a client
		nextNoticeAt   time.Time // earliest time of the next notice to other entries
		replaced       bool      // has ended, as another incarnation answers at its address
		stalls         int       // consecutive stalls, see recordStall
	}
)

func (o Outcome) String() string { return outcomeNames[o] }

func (e Evidence) String() string { return evidenceNames[e] }

// probe starts a probe of an endpoint that may be out of reach. A leaving endpoint is not
// probed, as it may refuse connections while it still serves its flows.
func (s *Steerer) probe(now time.Time, b *backend, why Evidence) {
	ending := b.Gone || b.Leaving || b.reach.replaced || !b.Addr.IsValid()
	if s.config.StartProbe == nil || ending || b.reach.probing || now.Before(b.reach.nextProbeAt) {
		return
	}
	b.reach.probing = s.config.StartProbe(Probe{ID: b.ID, Addr: b.Addr, Why: why, Timeout: s.roundTrips[b.Domain].probeTimeout(), startedAt: now})
}

// markResponsive records that the endpoint answered a client.
func (s *Steerer) markResponsive(now time.Time, b *backend) {
	b.reach.lastResponseAt, s.lastResponseAt = now, now
	b.reach.stalls = 0
	delete(s.outages, b.Domain)
	s.markReachable(b)
}

// markReachable records that the endpoint can be reached.
func (s *Steerer) markReachable(b *backend) {
	b.reach.misses = 0
	if b.reach.lost && !b.reach.replaced {
		b.reach.lost = false
		delete(s.lost, b)
		s.notifySuspect(b, false)
	}
}

// markReplaced records that b answered a SYN that was sent when other incarnations at its address
// were already known. Those have ended, since an address is reused only after the end of the
// previous incarnation. This detects the end before the heartbeats time out.
func (s *Steerer) markReplaced(b *backend, sent time.Time) {
	for _, other := range s.byAddr[b.Addr] {
		if other == b || other.Gone || other.reach.replaced || !sent.After(other.learnedAt) {
			continue
		}
		other.reach.replaced, other.reach.lost = true, true
		delete(s.lost, other)
		s.notifySuspect(other, true)
	}
}

// isAddressContested reports whether another live endpoint may be accepting connections at b's
// address.
func (s *Steerer) isAddressContested(b *backend) bool {
	return slices.ContainsFunc(s.byAddr[b.Addr], func(other *backend) bool {
		return other != b && !other.Gone && !other.reach.replaced
	})
}

// probeLost probes the endpoints that are out of reach, except evacuated ones, to find those
// that recovered.
func (s *Steerer) probeLost(now time.Time) {
	for b := range s.lost {
		if !s.isEvacuated(b) {
			s.probe(now, b, OutOfReach)
		}
	}
}

// decideUnreachable decides on a packet of a flow whose endpoint is out of reach. If the last
// miss is too old, the endpoint is probed again before the flow is reset.
func (s *Steerer) decideUnreachable(now time.Time, b *backend, p Packet) Decision {
	if !b.reach.replaced && now.Sub(b.reach.lastMissAt) > missValidity || p.Flags.Has(RST) {
		b.reach.nextProbeAt = time.Time{}
		s.probe(now, b, OutOfReach)
		return b.forward(Steered)
	}
	s.removeFlow(s.flows[flowKey{p.Src, p.Dst}])
	return Decision{Action: Reset, Reason: EndpointLost, Seq: p.Ack, ID: b.ID}
}

// FinishProbe processes the outcome of a probe and returns the flows that it ends. A miss counts
// as inconclusive unless another endpoint has answered since the probe began, because the fault
// may be at this entry.
func (s *Steerer) FinishProbe(now time.Time, p Probe, outcome Outcome) []EndedFlow {
	b := s.byID[p.ID]
	if b == nil || b.Gone {
		return nil
	}
	b.reach.probing = false
	if outcome == Reached {
		b.reach.nextProbeAt, b.reach.inconclusive = now.Add(probeInterval), 0
		if !s.isAddressContested(b) {
			s.markReachable(b)
			return nil
		}
		return s.recordStall(b, p)
	}
	if b.reach.lastResponseAt.After(p.startedAt) || b.Leaving {
		return nil
	}
	if outcome == Inconclusive || !s.lastResponseAt.After(p.startedAt) || s.linkCongested(now) {
		if b.reach.inconclusive++; b.reach.inconclusive < maxInconclusive {
			s.probe(now, b, Retry)
		} else {
			b.reach.inconclusive = 0
		}
		return nil
	}
	return s.recordMiss(now, b, p.Why)
}

// isSuperseded reports whether, judging by heartbeats, the endpoint has ended and another one is
// live at its address. This alone ends no flow.
func (s *Steerer) isSuperseded(b *backend) bool {
	return b.silent && slices.ContainsFunc(s.byAddr[b.Addr], func(other *backend) bool {
		return other != b && !other.Gone && !other.silent && !other.reach.replaced
	})
}

// recordStall handles a probe that was accepted at a contested address. If the endpoint is
// superseded and the probe was started because a client retransmitted data, this is a stall:
// another endpoint probably accepted the connection. After stallThreshold stalls without an
// answer of the endpoint in between, its flows are ended rather than left to time out.
func (s *Steerer) recordStall(b *backend, p Probe) []EndedFlow {
	if p.Why != UnackedData || b.reach.lastResponseAt.After(p.startedAt) || !s.isSuperseded(b) {
		return nil
	}
	if b.reach.stalls++; b.reach.stalls < stallThreshold {
		return nil
	}
	b.reach.replaced, b.reach.lost = true, true
	delete(s.lost, b)
	s.notifySuspect(b, true)
	return s.endFlows(b)
}

// recordMiss counts a missed probe.
func (s *Steerer) recordMiss(now time.Time, b *backend, why Evidence) []EndedFlow {
	if !b.reach.lost && now.Sub(b.reach.lastMissAt) > missValidity {
		b.reach.misses = 0 // the previous miss is too old to count
	}
	b.reach.inconclusive, b.reach.lastMissAt = 0, now
	b.reach.misses++
	s.notifyMiss(now, b, why)
	if b.reach.misses < unreachableThreshold {
		s.probe(now, b, Retry)
		return nil
	}
	b.reach.nextProbeAt = now.Add(min(minReprobeDelay<<min(b.reach.misses-unreachableThreshold, 8), maxReprobeDelay))
	if !b.reach.lost {
		b.reach.lost = true
		s.lost[b] = true
		s.notifySuspect(b, true)
	}
	return s.endFlows(b)
}

// notifyMiss notifies other entries of a miss, unless the probe was started by such a notice.
func (s *Steerer) notifyMiss(now time.Time, b *backend, why Evidence) {
	if s.config.NotifyMiss == nil || now.Before(b.reach.nextNoticeAt) {
		return
	}
	b.reach.nextNoticeAt = now.Add(missNoticeInterval)
	if why != PeerReported {
		s.config.NotifyMiss(b.ID)
	}
}

// PeerMissed handles a notice that another entry missed a probe of the endpoint. The endpoint is
// probed if it has flows here; otherwise new flows avoid it for a while, so that the entries of
// a large fleet do not all probe at once.
func (s *Steerer) PeerMissed(now time.Time, id string) {
	b := s.byID[id]
	switch {
	case b == nil || b.reach.lost:
	case b.flows > 0:
		s.probe(now, b, PeerReported)
	case now.After(b.suspectUntil):
		b.suspectUntil = now.Add(minSuspectPeriod)
	}
}

// probeOnHeartbeat probes an endpoint that is out of reach once its heartbeats resume.
func (s *Steerer) probeOnHeartbeat(now time.Time, b *backend) {
	if b.reach.lost {
		b.reach.nextProbeAt = now
		s.probe(now, b, OutOfReach)
	}
}

// endFlows removes and returns the tracked established flows of an endpoint.
func (s *Steerer) endFlows(b *backend) []EndedFlow {
	if b.flows == 0 {
		return nil
	}
	var ended []EndedFlow
	for key, f := range s.flows {
		if f.backend != b || !f.established {
			continue
		}
		ended = append(ended, EndedFlow{Src: key.src, Dst: key.dst, Seq: f.lastAck})
		s.removeFlow(f)
	}
	return ended
}
