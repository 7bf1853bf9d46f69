package steer

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// unreachableThreshold is how many questions in a row an endpoint leaves without an
	// answer before it counts as out of reach: one may be a lost packet.
	unreachableThreshold = 2
	// probeInterval is how soon an endpoint that has answered is asked again: a
	// question is a new connection, and evidence may come with every packet.
	probeInterval = 500 * time.Millisecond
	// maxInconclusive is how many questions without an outcome are followed by another
	// one before new evidence must come.
	maxInconclusive = 5
	// minReprobeDelay and lostMost bound how long after it was lost an endpoint is
	// asked whether it is back; the span doubles with each miss, since every entry
	// asks. One whose heartbeats are heard again is asked at once.
	minReprobeDelay = time.Second
	maxReprobeDelay = 16 * time.Second
	// missNoticeInterval bounds what other entries are told of an endpoint.
	missNoticeInterval = 2 * time.Second
	// missValidity is how long a miss is proof enough to reset a flow: within it an
	// endpoint may come back, but no flow on it has lived through that unharmed.
	missValidity = 1200 * time.Millisecond
	// stallThreshold is how many times callers must repeat data to a superseded endpoint,
	// each time while its address accepts a connection and with no answer of it in
	// between, before it counts as ended: a packet of a living one may be lost. Questions
	// are at least askAgainAfter apart.
	stallThreshold = 2
)

// Why an endpoint is asked: the closed list.
const (
	Unopened Evidence = iota // an opening packet was not answered
	Unacked                  // a caller repeats data on an open flow
	Again                    // the last question was not answered
	Lost                     // it was out of reach, and may be back
	Told                     // another entry missed an answer
)

// What came of a question.
const (
	Reached Outcome = iota // a connection was accepted
	Missed                 // none was, in time
	Unsure                 // this entry was too slow to tell

	// OutcomeCount is how many there are.
	OutcomeCount
)

var (
	evidenceNames = [...]string{"unopened", "unacked", "again", "lost", "told"}
	outcomeNames  = [OutcomeCount]string{"reached", "missed", "unsure"}
)

type (
	// Evidence is why an endpoint is asked.
	Evidence int

	// Outcome is what came of a question.
	Outcome int

	// Question asks whether an endpoint can be reached: whether a connection to
	// its address is accepted, which takes none of its slots.
	Question struct {
		ID   string
		Addr netip.AddrPort
		Why  Evidence
		// Within is how long the answer may take.
		Within    time.Duration
		startedAt time.Time
	}

	// Ended is a flow whose endpoint is out of reach; its caller is to be sent a
	// reset.
	Ended struct {
		Src, Dst netip.AddrPort
		Seq      uint32 // what the caller expects next
	}

	// reachability is what an entry knows of whether an endpoint can be reached.
	reachability struct {
		probing        bool      // a question is under way
		misses         int       // questions in a row without an answer
		inconclusive   int       // questions in a row without an outcome
		lost           bool      // it cannot be reached
		lastMissAt     time.Time // when a question was missed last
		nextProbeAt    time.Time // no question before
		lastResponseAt time.Time // when it was last seen to answer
		nextNoticeAt   time.Time // other entries are not told before
		replaced       bool      // another incarnation lives at its address: it has ended
		stalls         int       // times in a row that callers repeated data though the address answers
	}
)

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// String returns the name of the evidence.
func (e Evidence) String() string { return evidenceNames[e] }

// probe takes evidence that an endpoint may be out of reach, and asks it. One
// that leaves is not asked: it may accept no connection and serve its flows.
func (s *Steerer) probe(now time.Time, b *backend, why Evidence) {
	ending := b.Gone || b.Leaving || b.reach.replaced || !b.Addr.IsValid()
	if s.config.Ask == nil || ending || b.reach.probing || now.Before(b.reach.nextProbeAt) {
		return
	}
	b.reach.probing = s.config.Ask(Question{ID: b.ID, Addr: b.Addr, Why: why, Within: s.roundTrips[b.Domain].probeTimeout(), startedAt: now})
}

// markResponsive takes evidence that an endpoint answers callers.
func (s *Steerer) markResponsive(now time.Time, b *backend) {
	b.reach.lastResponseAt, s.lastResponseAt = now, now
	b.reach.stalls = 0
	delete(s.outages, b.Domain)
	s.markReachable(b)
}

// markReachable notes that an endpoint can be reached.
func (s *Steerer) markReachable(b *backend) {
	b.reach.misses = 0
	if b.reach.lost && !b.reach.replaced {
		b.reach.lost = false
		delete(s.lost, b)
		s.notifySuspect(b, false)
	}
}

// markReplaced takes that an endpoint answered an opening packet that was sent once the
// others at its address were known: these have ended, since an address is given
// away only then. Control instances must wait for their heartbeats to stay away.
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

// isAddressContested reports whether another endpoint may live at the address, and be the
// one that accepts connections.
func (s *Steerer) isAddressContested(b *backend) bool {
	return slices.ContainsFunc(s.byAddr[b.Addr], func(other *backend) bool {
		return other != b && !other.Gone && !other.reach.replaced
	})
}

// probeLost asks endpoints that were out of reach whether they are back, so that
// new flows may go to them again; those that are to get none are left alone.
func (s *Steerer) probeLost(now time.Time) {
	for b := range s.lost {
		if !s.isEvacuated(b) {
			s.probe(now, b, Lost)
		}
	}
}

// decideUnreachable decides about a packet of a flow whose endpoint is out of reach. What
// was found too long ago is found out again first.
func (s *Steerer) decideUnreachable(now time.Time, b *backend, p Packet) Decision {
	if !b.reach.replaced && now.Sub(b.reach.lastMissAt) > missValidity || p.Flags.Has(Rst) {
		b.reach.nextProbeAt = time.Time{}
		s.probe(now, b, Lost)
		return b.forward(Steered)
	}
	s.removeFlow(s.flows[flowKey{p.Src, p.Dst}])
	return Decision{Action: Reset, Reason: EndpointLost, Seq: p.Ack, ID: b.ID}
}

// Answered takes the outcome of a question, and returns the flows that end by
// it. A miss says nothing where this entry may be to blame: where no other
// endpoint has answered anybody since the question was asked.
func (s *Steerer) Answered(now time.Time, q Question, outcome Outcome) []Ended {
	b := s.byID[q.ID]
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
		return s.recordStall(b, q)
	}
	if b.reach.lastResponseAt.After(q.startedAt) || b.Leaving {
		return nil
	}
	if outcome == Unsure || !s.lastResponseAt.After(q.startedAt) {
		if b.reach.inconclusive++; b.reach.inconclusive < maxInconclusive {
			s.probe(now, b, Again)
		} else {
			b.reach.inconclusive = 0
		}
		return nil
	}
	return s.recordMiss(now, b, q.Why)
}

// isSuperseded reports whether heartbeats speak for an endpoint having ended, and for
// another one at its address living. That alone ends no flow.
func (s *Steerer) isSuperseded(b *backend) bool {
	return b.silent && slices.ContainsFunc(s.byAddr[b.Addr], func(other *backend) bool {
		return other != b && !other.Gone && !other.silent && !other.reach.replaced
	})
}

// recordStall takes that an address accepted a connection while a caller repeated data to
// an endpoint there. Where heartbeats say that another one lives at the address by now,
// the path works and the flow's endpoint is not there: its flows end, rather than
// wait for their deadlines.
func (s *Steerer) recordStall(b *backend, q Question) []Ended {
	if q.Why != Unacked || b.reach.lastResponseAt.After(q.startedAt) || !s.isSuperseded(b) {
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

// recordMiss counts a question that was not answered.
func (s *Steerer) recordMiss(now time.Time, b *backend, why Evidence) []Ended {
	if !b.reach.lost && now.Sub(b.reach.lastMissAt) > missValidity {
		b.reach.misses = 0 // the one before was long ago
	}
	b.reach.inconclusive, b.reach.lastMissAt = 0, now
	b.reach.misses++
	s.notifyMiss(now, b, why)
	if b.reach.misses < unreachableThreshold {
		s.probe(now, b, Again)
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

// notifyMiss has other entries told of a miss, unless they know by another one.
func (s *Steerer) notifyMiss(now time.Time, b *backend, why Evidence) {
	if s.config.Tell == nil || now.Before(b.reach.nextNoticeAt) {
		return
	}
	b.reach.nextNoticeAt = now.Add(missNoticeInterval)
	if why != Told {
		s.config.Tell(b.ID)
	}
}

// Doubted takes that another entry missed an answer of an endpoint. It is asked
// where flows on it are known here; else new flows avoid it for a moment, so that
// a large fleet does not ask as one.
func (s *Steerer) Doubted(now time.Time, id string) {
	b := s.byID[id]
	switch {
	case b == nil || b.reach.lost:
	case b.flows > 0:
		s.probe(now, b, Told)
	case now.After(b.suspectUntil):
		b.suspectUntil = now.Add(minSuspectPeriod)
	}
}

// probeOnHeartbeat has an endpoint out of reach asked whose heartbeats are heard again.
func (s *Steerer) probeOnHeartbeat(now time.Time, b *backend) {
	if b.reach.lost {
		b.reach.nextProbeAt = now
		s.probe(now, b, Lost)
	}
}

// endFlows ends the flows that are remembered of an endpoint.
func (s *Steerer) endFlows(b *backend) []Ended {
	if b.flows == 0 {
		return nil
	}
	var ended []Ended
	for key, f := range s.flows {
		if f.backend != b || !f.established {
			continue
		}
		ended = append(ended, Ended{Src: key.src, Dst: key.dst, Seq: f.lastAck})
		s.removeFlow(f)
	}
	return ended
}
