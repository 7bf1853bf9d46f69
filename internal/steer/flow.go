package steer

import (
	"container/list"
	"time"
)

const (
	// openTimeout is how long an opened flow may stay without a further
	// packet of its caller before that counts against the endpoint: several
	// round trips, and less than the 200 ms after which callers repeat.
	openTimeout = 80 * time.Millisecond
	// defaultIdleTimeout is how long a flow is remembered where no document says.
	defaultIdleTimeout = 15 * time.Second
)

// flow is what an entry remembers of a flow for balance and for copies of
// its opening packet; steering needs no record.
type flow struct {
	key                flowKey
	backend            *backend
	initialSeq         uint32 // seq of the opening packet
	openedAt           time.Time
	lastSeen           time.Time
	established        bool          // the caller went on
	reassigned         bool          // copies went to two endpoints
	awaitingResponse   bool          // a request waits for its answer
	requestEnd         uint32        // seq after the last request
	requestAt          time.Time     // when its last packet came first
	lastAck            uint32        // ack of the last packet
	responseStart      uint32        // ack when the last request went in
	idleElement        *list.Element // of Steerer.resting
	sawRetransmitFirst bool          // this entry saw no copy before a later one
	pendingElement     *list.Element // of Steerer.opening, nil once the flow is answered or counted
}

// trackOpening begins the record of a flow that was placed.
func (s *Steerer) trackOpening(now time.Time, p Packet, b *backend) {
	f := s.addFlow(now, p, b)
	f.requestEnd, f.sawRetransmitFirst = p.Seq+1, p.Copy > 0
	f.pendingElement = s.pendingOpens.PushBack(f)
}

// trackEstablished begins the record of an open flow that another entry carried so far, or
// this one before its restart.
func (s *Steerer) trackEstablished(now time.Time, p Packet, b *backend) *flow {
	f := s.addFlow(now, p, b)
	f.established, f.requestEnd, f.lastAck = true, p.Seq, p.Ack
	return f
}

// addFlow begins a addFlow; the one that has rested longest makes room.
func (s *Steerer) addFlow(now time.Time, p Packet, b *backend) *flow {
	if len(s.flows) >= s.config.MaxFlows {
		s.removeFlow(s.idleOrder.Front().Value.(*flow))
	}
	f := &flow{key: flowKey{p.Src, p.Dst}, backend: b, initialSeq: p.Seq, openedAt: now, lastSeen: now}
	f.idleElement = s.idleOrder.PushBack(f)
	s.flows[f.key] = f
	b.flows++
	return f
}

// reassign notes that a copy went to another endpoint.
func (s *Steerer) reassign(now time.Time, f *flow, b *backend) {
	f.bind(b)
	f.reassigned, f.openedAt = true, now
	s.clearPending(f)
	f.pendingElement = s.pendingOpens.PushBack(f)
}

// observe takes what a later packet shows: that the endpoint answered, that a
// request went in, that an answer came out, or that the flow ended.
func (s *Steerer) observe(now time.Time, f *flow, b *backend, p Packet) {
	f.lastSeen = now
	s.idleOrder.MoveToBack(f.idleElement)
	if !f.established && b != nil {
		s.establish(now, f, b)
	}
	if p.Flags.Has(Fin) {
		s.noteResponseSize(now, f, p.Ack)
	}
	if p.Flags.Has(Fin) || p.Flags.Has(Rst) {
		s.removeFlow(f)
		return
	}
	if int32(p.Ack-f.lastAck) > 0 {
		s.markResponsive(now, f.backend)
		s.countResponse(now, f)
		f.setAwaitingResponse(false)
	}
	f.lastAck = p.Ack
	if p.Len == 0 {
		return
	}
	if end := p.Seq + uint32(p.Len); int32(end-f.requestEnd) > 0 {
		s.noteResponseSize(now, f, p.Ack)
		f.requestEnd, f.requestAt, f.responseStart = end, now, p.Ack
		f.setAwaitingResponse(true)
		s.trackRequest(f)
	} else if f.awaitingResponse && now.Sub(f.requestAt) >= openTimeout { // sooner, packets have only overtaken each other
		s.probe(now, f.backend, Unacked)
	}
}

// bind counts the flow, and the request that it waits for, for another endpoint.
func (f *flow) bind(b *backend) {
	awaiting := f.awaitingResponse
	f.setAwaitingResponse(false)
	f.backend.flows--
	f.backend = b
	b.flows++
	f.setAwaitingResponse(awaiting)
}

// notifySuspect tells whoever listens that an endpoint is avoided from now on, or
// no longer.
func (s *Steerer) notifySuspect(b *backend, suspect bool) {
	if s.config.Suspected != nil {
		s.config.Suspected(b.ID, suspect)
	}
}

// establish binds the flow to the endpoint whose answer the caller took.
func (s *Steerer) establish(now time.Time, f *flow, b *backend) {
	s.markResponsive(now, b)
	f.bind(b)
	f.established = true
	if f.pendingElement != nil && !f.reassigned {
		s.noteRoundTrip(b, now.Sub(f.openedAt))
	}
	if !f.sawRetransmitFirst && !f.reassigned {
		s.markReplaced(b, f.openedAt)
	}
	s.clearPending(f)
	if b.clearFailures() {
		s.notifySuspect(b, false)
	}
}

// clearPending takes a flow off the list of those that wait for their first
// answer.
func (s *Steerer) clearPending(f *flow) {
	if f.pendingElement != nil {
		s.pendingOpens.Remove(f.pendingElement)
		f.pendingElement = nil
	}
}

// setAwaitingResponse notes whether a request of the flow waits for its answer.
func (f *flow) setAwaitingResponse(awaiting bool) {
	switch {
	case awaiting && !f.awaitingResponse:
		f.backend.pendingRequests++
	case !awaiting && f.awaitingResponse:
		f.backend.pendingRequests--
	}
	f.awaitingResponse = awaiting
}

// removeFlow forgets a flow; nil is none.
func (s *Steerer) removeFlow(f *flow) {
	if f == nil {
		return
	}
	f.setAwaitingResponse(false)
	s.clearPending(f)
	s.idleOrder.Remove(f.idleElement)
	f.backend.flows--
	delete(s.flows, f.key)
}

// sweep counts unanswered flows against their endpoints, forgets flows that
// rested too long, and now and then what ended or was dropped long ago.
func (s *Steerer) sweep(now time.Time) {
	s.countFailedOpens(now)
	s.expireIdleFlows(now)
	s.probeLost(now)
	s.reportHungRequests(now)
	if !now.Before(s.nextPurge) {
		s.nextPurge = now.Add(purgeInterval)
		s.purgeDroppedRoutes(now)
		s.purgeEndedBackends(now)
	}
}

// countFailedOpens counts flows that got no answer in time against their
// endpoints.
func (s *Steerer) countFailedOpens(now time.Time) {
	for e := s.pendingOpens.Front(); e != nil; e = s.pendingOpens.Front() {
		f := e.Value.(*flow)
		if now.Sub(f.openedAt) < openTimeout {
			break
		}
		s.clearPending(f)
		s.probe(now, f.backend, Unopened)
		s.recordDomainFailure(now, f.backend)
		if f.backend.recordFailedOpen(now) {
			s.notifySuspect(f.backend, true)
		}
	}
}

// expireIdleFlows forgets flows that rested for longer than the document allows.
func (s *Steerer) expireIdleFlows(now time.Time) {
	idle := defaultIdleTimeout
	if s.document != nil && s.document.Idle() > 0 {
		idle = s.document.Idle()
	}
	var next *list.Element
	for e := s.idleOrder.Front(); e != nil && now.Sub(e.Value.(*flow).lastSeen) > idle; e = next {
		next = e.Next()
		s.removeFlow(e.Value.(*flow))
	}
}
