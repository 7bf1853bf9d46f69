package work

import (
	"net/netip"
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

const (
	// maxEarlyPackets is the maximum number of packets of a service that are buffered
	// during a handover.
	maxEarlyPackets = 1024
	// maxRelayHops is the maximum number of times a packet is relayed between entries
	// that disagree on the owner.
	maxRelayHops = 3
	// requestsFactor limits the remembered requests, finished ones included, to this
	// multiple of Config.MaxRequests. A refused request has to be remembered, since it
	// must not run if its packet arrives again.
	requestsFactor = 4
)

// HandleRequest processes a client's packet to a class that takes requests.
func (e *Engine) HandleRequest(now time.Time, service *route.Service, class *route.Class, p *packet.Packet) {
	e.dirty = true
	owner, isolated := e.ownerOf(service)
	if !isolated && !now.Before(e.view.LeaseUntil) {
		// The packet may have been delayed here by a pause of the process. It must
		// not reach the owner after the request was forgotten there.
		e.stats.NoLease++
		return
	}
	if owner != e.config.Self {
		e.relay(RelayRequest, owner, p, 0)
		return
	}
	m, err := Decode(p.Payload())
	if err != nil {
		return // without a token there is no way to answer
	}
	if isolated && !class.Repeatable {
		// An entry outside this failure domain may run the request, so it can be neither
		// run nor refused here.
		if m.IsRequest() {
			e.sendToClient(p.Tuple(), UnknownMessage(m.Token, m.MessageID))
			e.events = append(e.events, Event{Service: service.ID(), Token: m.Token, Client: p.Tuple(), State: Unknown, Cause: CutOff})
		}
		return
	}
	o := e.ownershipFor(now, service, isolated)
	if o.phase != serving {
		o.bufferEarly(0, p.Inner())
		return
	}
	e.handleClient(now, service, o, class, p.Tuple(), m)
}

// ownerOf returns the owner of a service's requests. In an isolated failure domain
// it is chosen among the reachable entries.
func (e *Engine) ownerOf(s *route.Service) (owner string, isolated bool) {
	if !e.view.Isolated {
		owner, _ = e.view.rank(s.ID())
		return owner, false
	}
	var members []route.Member
	for _, m := range e.view.Table.Members() {
		if m.Name() == e.config.Self || slices.Contains(e.view.Reachable, m.Name()) {
			members = append(members, m)
		}
	}
	owner, _ = route.Rank(members, s.ID(), route.WorkBucket)
	return owner, true
}

// ownershipFor returns this entry's ownership of a service, and creates it if needed.
func (e *Engine) ownershipFor(now time.Time, s *route.Service, isolated bool) *ownership {
	o := e.owned[s.ID()]
	if o == nil {
		o = e.takeOver(now, s, nil, "", false) // only if isolated, where the former owner may be unreachable
		o.endpoints = workEndpoints(e.view.Table, s)
		e.updateSecond(o)
	}
	if isolated && o.phase != serving {
		o.phase = serving // isolated entries serve repeatable requests only
	}
	return o
}

// bufferEarly buffers a packet until the handover is complete.
func (o *ownership) bufferEarly(endpoint uint32, inner []byte) {
	if len(o.earlyPackets) < maxEarlyPackets {
		o.earlyPackets = append(o.earlyPackets, earlyPacket{endpoint, slices.Clone(inner)})
	}
}

func (e *Engine) relay(kind OutputKind, owner string, p *packet.Packet, endpoint uint32) {
	previous, _ := p.Relay()
	if owner == "" || previous.Hops() >= maxRelayHops {
		e.stats.Overflow++
		return
	}
	r := packet.NewRelay(packet.RelayWork, endpoint, e.view.Table.Index(), 0).After(previous)
	e.out = append(e.out, Output{Kind: kind, Peer: owner, Inner: slices.Clone(p.Inner()), Relay: r})
}

// handleClient processes a client's message at the owner.
func (e *Engine) handleClient(now time.Time, s *route.Service, o *ownership, class *route.Class, tuple packet.Tuple, m Message) {
	if m.IsReset() {
		e.cancel(now, o, tuple, m.MessageID)
		return
	}
	if !m.IsRequest() {
		return
	}
	id := e.config.Hasher.Request(tuple, m.Token)
	if r := o.requests[id]; r != nil {
		e.answerDuplicate(r, tuple, m)
		return
	}
	if m.Type == message.Confirmable {
		e.sendToClient(tuple, AckMessage(m.MessageID))
	}
	requestLife := s.Policy().RequestLife
	left, hasDeadline := m.TimeLeft()
	if !hasDeadline || left > requestLife {
		left = requestLife
	}
	r := &request{
		id: id, class: class, tuple: tuple, message: m.clone(), received: now,
		deadline: now.Add(left), expires: now.Add(requestLife + e.config.MaxPacketDelay),
	}
	if len(o.requests) >= e.config.MaxRequests*requestsFactor {
		e.stats.Overflow++
		return // a refused request has to be remembered, so it can't be refused either
	}
	o.add(r)
	r.key = messageKey{e.config.Hasher.Flow(tuple), m.MessageID}
	o.byMessage[r.key] = id
	e.transition(o, r, Received, Arrived, 0)
	if now.Before(o.keysUnknownUntil) && !class.Repeatable {
		e.finish(o, r, Unknown, BothHoldersLost, UnknownMessage(m.Token, m.MessageID))
		return
	}
	if class.Repeatable {
		r.keyHeld = true
	} else {
		e.holdKey(o, r)
	}
	if r.keyHeld {
		e.admit(now, o, r)
		e.dispatch(now, o)
	}
}

func (m Message) clone() Message {
	data, err := m.Encode()
	if err != nil {
		return m
	}
	c, err := Decode(data)
	if err != nil {
		return m
	}
	return c
}

// answerDuplicate responds to a duplicate of a known request, with the answer if there
// is one already. It never dispatches the request.
func (e *Engine) answerDuplicate(r *request, tuple packet.Tuple, m Message) {
	e.stats.Duplicates++
	switch {
	case r.state == Lost:
		e.sendToClient(tuple, UnknownMessage(m.Token, m.MessageID))
	case r.answer != nil:
		repeated := *r.answer
		repeated.MessageID = m.MessageID
		e.sendToClient(tuple, repeated)
	case m.Type == message.Confirmable:
		e.sendToClient(tuple, AckMessage(m.MessageID))
	}
}

// admit queues a request, or refuses it at once if it can't meet its deadline. If
// the queue is full, the last request of the lowest class is displaced.
func (e *Engine) admit(now time.Time, o *ownership, r *request) {
	policy := e.view.Table.Service(o.service).Policy()
	if number, blockwise := r.message.Block(); blockwise && number > 0 {
		t, ok := o.transfers[e.transferKeyOf(r)]
		if !ok {
			e.finish(o, r, Refused, AnswerGone, RestartMessage(r.message.Token, r.message.MessageID))
			return
		}
		r.pinnedEndpoint = t.endpoint
	}
	if len(o.endpoints) == 0 {
		e.refuse(now, o, r, NoEndpoint)
		return
	}
	if now.Add(o.estimateWait(r.class.Priority, policy.LowestShare)).After(r.deadline) {
		e.refuse(now, o, r, CannotMeetDeadline)
		return
	}
	if o.queue.len() >= policy.QueueLimit {
		last := o.queue.last()
		if last.class.Priority <= r.class.Priority {
			e.refuse(now, o, r, QueueFull)
			return
		}
		o.queue.remove(last)
		e.refuse(now, o, last, Displaced)
	}
	e.transition(o, r, Queued, KeyHeld, 0)
	o.queue.push(r)
}

func (e *Engine) transferKeyOf(r *request) transferKey {
	path, err := r.message.Options.Path()
	if err != nil {
		path = ""
	}
	return transferKey{e.config.Hasher.Flow(r.tuple), path}
}

// estimateWait estimates the time until a new request of the given priority has run.
// While the requests of higher priority could fill all slots, only the lowest share
// of the capacity is available to the given priority.
func (o *ownership) estimateWait(priority int, lowestShare float64) time.Duration {
	capacity := max(o.grants.capacity(o.endpoints), 1)
	ahead := float64(o.queue.ahead(priority))
	if priority > 0 && float64(o.queue.ahead(priority-1)) > capacity {
		ahead = float64(o.queue.ahead(priority)-o.queue.ahead(priority-1)) / max(lowestShare, 0.01)
	}
	return time.Duration((ahead/capacity + 1) * float64(o.grants.serviceTime))
}

// dispatch grants free slots to waiting requests.
func (e *Engine) dispatch(now time.Time, o *ownership) {
	if o.phase != serving {
		return
	}
	policy := e.view.Table.Service(o.service).Policy()
	for o.grants.anyFree(o.endpoints) {
		r := o.queue.next(policy.LowestShare, func(r *request) bool {
			return o.grants.choose(o.endpoints, func(ep *route.Endpoint) bool { return e.eligible(r, ep) }) != nil
		})
		if r == nil || !e.dispatchAllowed(now, r) {
			return
		}
		endpoint := o.grants.choose(o.endpoints, func(c *route.Endpoint) bool { return e.eligible(r, c) })
		o.queue.remove(r)
		o.queue.recordGrant(r, policy.LowestShare)
		e.sendToBackend(now, o, r, endpoint)
	}
}

// dispatchAllowed reports whether this entry holds a lease, or is isolated and the
// request is repeatable.
func (e *Engine) dispatchAllowed(now time.Time, r *request) bool {
	return now.Before(e.view.LeaseUntil) || e.view.Isolated && r.repeatable()
}

// eligible reports whether an endpoint may receive a request. Later blocks of a
// block-wise transfer go only to the endpoint that served the first one. Any other
// request goes to a reachable endpoint to which it has not been sent yet.
func (e *Engine) eligible(r *request, endpoint *route.Endpoint) bool {
	if r.pinnedEndpoint != 0 {
		return endpoint.ID() == r.pinnedEndpoint
	}
	return !r.tried(endpoint.ID()) && slices.Contains(e.view.ReachableDomains, endpoint.Domain())
}

// sendToBackend dispatches a request to an endpoint.
func (e *Engine) sendToBackend(now time.Time, o *ownership, r *request, endpoint *route.Endpoint) {
	if endpoint.Service() != o.service || !r.keyHeld || !r.repeatable() && len(r.attempts) > 0 && r.openAttempt() != nil {
		e.stats.InvariantViolations++ // wrong service, key not held, or another attempt is still open
		return
	}
	timeoutAt := r.deadline
	if r.repeatable() {
		timeoutAt = now.Add(r.deadline.Sub(now) / 2)
	}
	m := r.message.WithTimeLeft(r.deadline.Sub(now))
	inner, err := buildPacket(r.tuple, m)
	if err != nil {
		e.refuse(now, o, r, BadMessage)
		return
	}
	o.grants.take(endpoint)
	r.attempts = append(r.attempts, attempt{endpoint: endpoint.ID(), messageID: m.MessageID, sentAt: now, timeoutAt: timeoutAt, open: true})
	e.transition(o, r, Dispatched, SlotGranted, endpoint.ID())
	if len(r.attempts) == 1 {
		o.retries.deposit(e.view.Table.Service(o.service).Policy().RetryShare)
	}
	out := Output{Kind: ToBackend, Endpoint: endpoint, Inner: inner}
	if !r.repeatable() {
		out.ExpiresAt = e.view.LeaseUntil
	}
	e.out = append(e.out, out)
}

// HandleAnswer processes a packet from a backend server.
func (e *Engine) HandleAnswer(now time.Time, from netip.AddrPort, service *route.Service, p *packet.Packet) {
	e.dirty = true
	endpoint := e.view.Table.EndpointAt(from)
	if relay, ok := p.Relay(); ok {
		endpoint = e.view.Table.Endpoint(relay.Endpoint())
	}
	if endpoint == nil || endpoint.Service() != service.ID() {
		e.stats.LateAnswers++
		return
	}
	owner, _ := e.ownerOf(service)
	o := e.owned[service.ID()]
	if owner != e.config.Self {
		e.relay(RelayAnswer, owner, p, endpoint.ID())
		return
	}
	if o == nil || o.phase != serving {
		if o != nil {
			o.bufferEarly(endpoint.ID(), p.Inner())
		}
		return
	}
	m, err := Decode(p.Payload())
	if err != nil {
		e.stats.LateAnswers++
		return
	}
	e.matchAnswer(now, o, endpoint.ID(), p.Tuple().Reverse(), m)
}

// matchAnswer applies an answer to its request. Answers that match no open attempt
// are counted and dropped.
func (e *Engine) matchAnswer(now time.Time, o *ownership, endpoint uint32, tuple packet.Tuple, m Message) {
	if !m.IsAnswer() {
		return
	}
	r := o.requests[e.config.Hasher.Request(tuple, m.Token)]
	if r == nil {
		e.stats.LateAnswers++
		return
	}
	if r.state == Lost {
		// Dispatched by the former owner, so there is no attempt to match. The tuple
		// and token of the answer are those of the request.
		r.tuple, r.message = tuple, Message{message.Message{Token: slices.Clone(m.Token), MessageID: m.MessageID}}
		if m.MaxAge() == 0 {
			e.finish(o, r, Answered, BackendAnswered, m.clone())
		}
		return
	}
	a := r.openAttempt()
	if a == nil || a.endpoint != endpoint || r.state != Dispatched {
		e.stats.LateAnswers++
		return
	}
	a.open = false
	o.grants.release(endpoint)
	if isRefusal(m) {
		e.stats.Shed++
		o.grants.recordRefusal(endpoint)
		e.retry(now, o, r, BackendRefused)
	} else {
		o.grants.recordAnswer(endpoint, now.Sub(a.sentAt))
		e.pinTransfer(now, o, r, endpoint, m)
		e.finish(o, r, Answered, BackendAnswered, m.clone())
	}
	e.dispatch(now, o)
}

// pinTransfer pins the later blocks of a block-wise transfer to the endpoint that
// served the first one.
func (e *Engine) pinTransfer(now time.Time, o *ownership, r *request, endpoint uint32, m Message) {
	if _, blockwise := m.Block(); blockwise {
		o.transfers[e.transferKeyOf(r)] = transfer{endpoint, now.Add(r.expires.Sub(r.received))}
	}
}
