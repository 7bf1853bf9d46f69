package steer

import (
	"container/list"
	"time"

	"oxbowsaddle/internal/credit"
)

const (
	// openTimeout is how long a SYN may go without a further packet of the client before it
	// counts as unanswered. It covers several round trips, and is below the retransmission
	// timeout of clients.
	openTimeout = 80 * time.Millisecond
	// defaultIdleTimeout is the idle timeout of flows while no document sets one.
	defaultIdleTimeout = 15 * time.Second
)

// flow is the state of a tracked flow, for load estimates and for retransmitted SYNs.
// Forwarding by tag does not need it.
type flow struct {
	key                flowKey
	backend            *backend
	initialSeq         uint32 // sequence number of the SYN
	openedAt           time.Time
	lastSeen           time.Time
	established        bool          // the client has sent a further packet
	reassigned         bool          // SYNs went to two endpoints
	awaiting           bool          // a request waits for its response
	requestEnd         uint32        // sequence number after the last request
	requestAt          time.Time     // when the last request was first seen in full
	lastAck            uint32        // acknowledgement number of the last packet
	responseStart      uint32        // acknowledgement number at the last request
	idleElement        *list.Element // in Steerer.idleOrder
	sawRetransmitFirst bool          // the first SYN seen here was a retransmission
	pendingElement     *list.Element // in Steerer.pendingOpens, nil once answered or counted as unanswered
	// charged is the holding of credits that counts the flow as a request in progress, from its
	// placement to the response to its first request, and while later requests wait.
	charged   *credit.Holding
	chargedAt time.Time
}

// trackOpening starts tracking a flow that was placed.
func (s *Steerer) trackOpening(now time.Time, p Packet, b *backend) {
	f := s.addFlow(now, p, b)
	f.requestEnd, f.sawRetransmitFirst = p.Seq+1, p.Retransmission > 0
	f.pendingElement = s.pendingOpens.PushBack(f)
	s.charge(now, f)
}

// trackEstablished starts tracking an established flow that was placed by another entry, or by
// this one before a restart.
func (s *Steerer) trackEstablished(now time.Time, p Packet, b *backend) *flow {
	f := s.addFlow(now, p, b)
	f.established, f.requestEnd, f.lastAck = true, p.Seq, p.Ack
	return f
}

// addFlow adds a flow, evicting the least recently used one if the table is full. A flow with the
// same addresses, which began while the SYN of this one was held, is removed.
func (s *Steerer) addFlow(now time.Time, p Packet, b *backend) *flow {
	s.removeFlow(s.flows[flowKey{p.Src, p.Dst}])
	if len(s.flows) >= s.config.MaxFlows {
		s.removeFlow(s.idleOrder.Front().Value.(*flow))
	}
	f := &flow{key: flowKey{p.Src, p.Dst}, backend: b, initialSeq: p.Seq, openedAt: now, lastSeen: now}
	f.idleElement = s.idleOrder.PushBack(f)
	s.flows[f.key] = f
	b.flows++
	return f
}

// reassign moves the flow to another endpoint after a retransmitted SYN.
func (s *Steerer) reassign(now time.Time, f *flow, b *backend) {
	s.discharge(now, f, 0)
	f.bind(b)
	s.charge(now, f)
	f.reassigned, f.openedAt = true, now
	s.clearPending(f)
	f.pendingElement = s.pendingOpens.PushBack(f)
}

// observe updates a flow from a packet after the SYN: whether the endpoint answered, a request
// was sent, a response arrived, or the flow ended.
func (s *Steerer) observe(now time.Time, f *flow, b *backend, p Packet) {
	f.lastSeen = now
	s.idleOrder.MoveToBack(f.idleElement)
	if !f.established && b != nil {
		s.establish(now, f, b)
	}
	if p.Flags.Has(FIN) {
		s.noteResponseSize(now, f, p.Ack)
		if f.awaiting && int32(p.Ack-f.lastAck) > 0 {
			s.discharge(now, f, now.Sub(f.requestAt))
		}
	}
	if p.Flags.Has(FIN) || p.Flags.Has(RST) {
		s.removeFlow(f)
		return
	}
	if int32(p.Ack-f.lastAck) > 0 {
		s.markResponsive(now, f.backend)
		s.countResponse(now, f)
		if f.awaiting {
			s.discharge(now, f, now.Sub(f.requestAt))
		}
		f.setAwaiting(false)
	}
	f.lastAck = p.Ack
	if p.Len == 0 {
		return
	}
	if end := p.Seq + uint32(p.Len); int32(end-f.requestEnd) > 0 {
		s.noteResponseSize(now, f, p.Ack)
		f.requestEnd, f.requestAt, f.responseStart = end, now, p.Ack
		f.setAwaiting(true)
		s.charge(now, f)
		s.trackRequest(f)
	} else if f.awaiting && now.Sub(f.requestAt) >= openTimeout { // before that, packets may just be reordered
		s.probe(now, f.backend, UnackedData)
	}
}

// bind moves the flow and its pending request to another endpoint.
func (f *flow) bind(b *backend) {
	awaiting := f.awaiting
	f.setAwaiting(false)
	f.backend.flows--
	f.backend = b
	b.flows++
	f.setAwaiting(awaiting)
}

// notifySuspect reports that new flows start or stop avoiding an endpoint.
func (s *Steerer) notifySuspect(b *backend, suspect bool) {
	if s.config.OnSuspect != nil {
		s.config.OnSuspect(b.ID, suspect)
	}
}

// establish binds the flow to the endpoint whose SYN-ACK the client accepted.
func (s *Steerer) establish(now time.Time, f *flow, b *backend) {
	s.markResponsive(now, b)
	if f.backend != b {
		s.discharge(now, f, 0)
		f.bind(b)
		s.charge(now, f)
	}
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

// clearPending removes a flow from the list of flows without a first answer.
func (s *Steerer) clearPending(f *flow) {
	if f.pendingElement != nil {
		s.pendingOpens.Remove(f.pendingElement)
		f.pendingElement = nil
	}
}

// setAwaiting sets whether a request of the flow waits for its response.
func (f *flow) setAwaiting(awaiting bool) {
	switch {
	case awaiting && !f.awaiting:
		f.backend.pendingRequests++
	case !awaiting && f.awaiting:
		f.backend.pendingRequests--
	}
	f.awaiting = awaiting
}

// removeFlow stops tracking a flow; nil is ignored.
func (s *Steerer) removeFlow(f *flow) {
	if f == nil {
		return
	}
	f.setAwaiting(false)
	s.discharge(f.lastSeen, f, 0)
	s.clearPending(f)
	s.idleOrder.Remove(f.idleElement)
	f.backend.flows--
	delete(s.flows, f.key)
}

// sweep counts unanswered flows, expires idle ones, probes lost endpoints, reports hung
// requests and purges old records.
func (s *Steerer) sweep(now time.Time) {
	s.countFailedOpens(now)
	s.expireIdleFlows(now)
	s.expireCharges(now)
	s.probeLost(now)
	s.reportHungRequests(now)
	if !now.Before(s.nextPurge) {
		s.nextPurge = now.Add(purgeInterval)
		s.purgeDroppedRoutes(now)
		s.purgeEndedBackends(now)
	}
}

// countFailedOpens records a failure of the endpoint for each flow not answered in time.
func (s *Steerer) countFailedOpens(now time.Time) {
	for e := s.pendingOpens.Front(); e != nil; e = s.pendingOpens.Front() {
		f := e.Value.(*flow)
		if now.Sub(f.openedAt) < openTimeout {
			break
		}
		s.clearPending(f)
		s.discharge(now, f, 0)
		s.probe(now, f.backend, UnansweredSYN)
		s.recordDomainFailure(now, f.backend)
		if f.backend.recordFailedOpen(now) {
			s.notifySuspect(f.backend, true)
		}
	}
}

// expireIdleFlows removes flows that exceed the idle timeout.
func (s *Steerer) expireIdleFlows(now time.Time) {
	idle := defaultIdleTimeout
	if s.document != nil && s.document.IdleTimeout() > 0 {
		idle = s.document.IdleTimeout()
	}
	var next *list.Element
	for e := s.idleOrder.Front(); e != nil && now.Sub(e.Value.(*flow).lastSeen) > idle; e = next {
		next = e.Next()
		s.removeFlow(e.Value.(*flow))
	}
}
