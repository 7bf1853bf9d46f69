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
	// mostEarly bounds the packets that wait for a handover.
	mostEarly = 1024
	// mostHops bounds how often one packet is relayed between owners.
	mostHops = 3
	// refusalFactor is how many refusals are remembered for one request held:
	// a caller that was told "not run" must never see it run.
	refusalFactor = 4
)

// Request takes a packet from a caller to a class of work.
func (e *Engine) Request(now time.Time, service *route.Service, class *route.Class, p *packet.Packet) {
	e.touched = true
	owner, island := e.ownerOf(service)
	if !island && !now.Before(e.view.LeaseUntil) {
		// It may have lain here through a pause: an old packet must not come
		// to the owner after the request's life. The caller sends it again.
		e.stats.NoLease++
		return
	}
	if owner != e.config.Self {
		e.relay(RelayRequest, owner, p, 0)
		return
	}
	m, err := Decode(p.Payload())
	if err != nil {
		return // counted by the shell; nobody can be told without a token
	}
	if island && !class.Repeatable {
		// The other side may run it: this one can neither run it nor deny it.
		if m.IsRequest() {
			e.toCaller(p.Tuple(), UnknownMessage(m.Token, m.MessageID))
			e.events = append(e.events, Event{Service: service.ID(), Token: m.Token, Caller: p.Tuple(), State: Unknown, Cause: CutOff})
		}
		return
	}
	o := e.ownedFor(now, service, island)
	if o.phase != serving {
		o.keepEarly(0, p.Inner())
		return
	}
	e.take(now, service, o, class, p.Tuple(), m)
}

// ownerOf returns the owner of a service's work; in a domain that is cut off
// it is one of the entries that can be reached.
func (e *Engine) ownerOf(s *route.Service) (owner string, island bool) {
	if !e.view.Island {
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

func (e *Engine) ownedFor(now time.Time, s *route.Service, island bool) *ownership {
	o := e.owned[s.ID()]
	if o == nil {
		o = e.takeOver(now, s, nil, "", false) // on an island: who owned it before cannot be asked
		o.endpoints = workEndpoints(e.view.Table, s)
		e.chooseSecond(o)
	}
	if island && o.phase != serving {
		o.phase = serving // only what may be repeated is served here
	}
	return o
}

func (o *ownership) keepEarly(endpoint uint32, inner []byte) {
	if len(o.early) < mostEarly {
		o.early = append(o.early, earlyPacket{endpoint, slices.Clone(inner)})
	}
}

func (e *Engine) relay(kind OutKind, owner string, p *packet.Packet, endpoint uint32) {
	previous, _ := p.Relay()
	if owner == "" || previous.Hops() >= mostHops {
		e.stats.Overflow++
		return
	}
	r := packet.NewRelay(packet.RelayWork, endpoint, e.view.Table.Index(), 0).After(previous)
	e.out = append(e.out, Out{Kind: kind, Peer: owner, Inner: slices.Clone(p.Inner()), Relay: r})
}

// take decides on a message from a caller, as the owner.
func (e *Engine) take(now time.Time, s *route.Service, o *ownership, class *route.Class, tuple packet.Tuple, m Message) {
	if m.IsReset() {
		e.cancel(now, o, tuple, m.MessageID)
		return
	}
	if !m.IsRequest() {
		return
	}
	id := e.config.Hasher.Request(tuple, m.Token)
	if r := o.requests[id]; r != nil {
		e.duplicate(r, tuple, m)
		return
	}
	if m.Type == message.Confirmable {
		e.toCaller(tuple, AckMessage(m.MessageID))
	}
	life := s.Policy().RequestLife
	left, said := m.Left()
	if !said || left > life {
		left = life
	}
	r := &request{
		id: id, class: class, tuple: tuple, message: m.clone(), received: now,
		deadline: now.Add(left), expires: now.Add(life + e.config.Linger),
	}
	if len(o.requests) >= e.config.Requests*refusalFactor {
		e.stats.Overflow++
		return // no room even to remember a refusal: silence is the only true answer
	}
	o.add(r)
	r.key = messageKey{e.config.Hasher.Flow(tuple), m.MessageID}
	o.byMessage[r.key] = id
	e.step(o, r, Received, Arrived, 0)
	if now.Before(o.blankUntil) && !class.Repeatable {
		e.finish(o, r, Unknown, BothHoldersLost, UnknownMessage(m.Token, m.MessageID))
		return
	}
	if class.Repeatable {
		r.held = true
	} else {
		e.hold(o, r)
	}
	if r.held {
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

// duplicate answers a request that is known: the same answer again, or none
// yet. It never dispatches anything.
func (e *Engine) duplicate(r *request, tuple packet.Tuple, m Message) {
	e.stats.Duplicates++
	switch {
	case r.state == Lost:
		e.toCaller(tuple, UnknownMessage(m.Token, m.MessageID))
	case r.answer != nil:
		again := *r.answer
		again.MessageID = m.MessageID
		e.toCaller(tuple, again)
	case m.Type == message.Confirmable:
		e.toCaller(tuple, AckMessage(m.MessageID))
	}
}

// admit queues a request, or refuses it at once where its deadline cannot be
// met. A full queue gives up the last of the lowest class.
func (e *Engine) admit(now time.Time, o *ownership, r *request) {
	policy := e.view.Table.Service(o.service).Policy()
	if number, asked := r.message.Block(); asked && number > 0 {
		t, ok := o.transfers[e.transferOf(r)]
		if !ok {
			e.finish(o, r, Refused, AnswerGone, RestartMessage(r.message.Token, r.message.MessageID))
			return
		}
		r.pinned = t.endpoint
	}
	if len(o.endpoints) == 0 {
		e.refuse(now, o, r, NoEndpoint)
		return
	}
	if now.Add(o.wait(r.class.Priority, policy.LowestShare)).After(r.deadline) {
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
	e.step(o, r, Queued, KeyHeld, 0)
	o.queue.push(r)
}

func (e *Engine) transferOf(r *request) transferKey {
	path, err := r.message.Options.Path()
	if err != nil {
		path = ""
	}
	return transferKey{e.config.Hasher.Flow(r.tuple), path}
}

// wait estimates how long a new request of a priority waits for its slot and
// runs. While the first class could take every slot, later ones have only
// their floor.
func (o *ownership) wait(priority int, floor float64) time.Duration {
	capacity := max(o.grants.capacity(o.endpoints), 1)
	ahead := float64(o.queue.ahead(priority))
	if priority > 0 && float64(o.queue.ahead(priority-1)) > capacity {
		ahead = float64(o.queue.ahead(priority)-o.queue.ahead(priority-1)) / max(floor, 0.01)
	}
	return time.Duration((ahead/capacity + 1) * float64(o.grants.mean))
}

// dispatch grants free slots to waiting requests.
func (e *Engine) dispatch(now time.Time, o *ownership) {
	if o.phase != serving {
		return
	}
	policy := e.view.Table.Service(o.service).Policy()
	for o.grants.anyFree(o.endpoints) {
		r := o.queue.next(policy.LowestShare, func(r *request) bool {
			return o.grants.choose(o.endpoints, func(c *route.Endpoint) bool { return e.may(r, c) }) != nil
		})
		if r == nil || !e.mayDispatch(now, r) {
			return
		}
		endpoint := o.grants.choose(o.endpoints, func(c *route.Endpoint) bool { return e.may(r, c) })
		o.queue.remove(r)
		o.queue.granted(r, policy.LowestShare)
		e.send(now, o, r, endpoint)
	}
}

// mayDispatch is the last check before a request leaves: this entry holds a
// lease, or the request may be repeated and the domain serves by itself.
func (e *Engine) mayDispatch(now time.Time, r *request) bool {
	return now.Before(e.view.LeaseUntil) || e.view.Island && r.repeatable()
}

// may reports whether an endpoint may get a request: it was not tried yet, is
// the one that began a block-wise answer, and can be reached.
func (e *Engine) may(r *request, c *route.Endpoint) bool {
	if r.pinned != 0 {
		return c.ID() == r.pinned
	}
	return !r.tried(c.ID()) && slices.Contains(e.view.Domains, c.Domain())
}

func (e *Engine) send(now time.Time, o *ownership, r *request, endpoint *route.Endpoint) {
	if endpoint.Service() != o.service || !r.held || !r.repeatable() && len(r.attempts) > 0 && r.openAttempt() != nil {
		e.stats.Broken++ // asserted: right service, key held, no second attempt beside an open one
		return
	}
	until := r.deadline
	if r.repeatable() {
		until = now.Add(r.deadline.Sub(now) / 2)
	}
	m := r.message.WithLeft(r.deadline.Sub(now))
	inner, err := wrap(r.tuple, m)
	if err != nil {
		e.refuse(now, o, r, BadMessage)
		return
	}
	o.grants.take(endpoint)
	r.attempts = append(r.attempts, attempt{endpoint: endpoint.ID(), messageID: m.MessageID, at: now, until: until, open: true})
	e.step(o, r, Dispatched, SlotGranted, endpoint.ID())
	if len(r.attempts) == 1 {
		o.retries.earn(e.view.Table.Service(o.service).Policy().RetryShare)
	}
	out := Out{Kind: ToBackend, Endpoint: endpoint, Inner: inner}
	if !r.repeatable() {
		out.Until = e.view.LeaseUntil
	}
	e.out = append(e.out, out)
}

// Answer takes a packet from a backend server.
func (e *Engine) Answer(now time.Time, from netip.AddrPort, service *route.Service, p *packet.Packet) {
	e.touched = true
	endpoint := e.view.Table.EndpointAt(from)
	if relay, ok := p.Relay(); ok {
		endpoint = e.view.Table.Endpoint(relay.Endpoint())
	}
	if endpoint == nil || endpoint.Service() != service.ID() {
		e.stats.Late++
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
			o.keepEarly(endpoint.ID(), p.Inner())
		}
		return
	}
	m, err := Decode(p.Payload())
	if err != nil {
		e.stats.Late++
		return
	}
	e.takeAnswer(now, o, endpoint.ID(), p.Tuple().Reverse(), m)
}

// takeAnswer matches an answer to the request and the attempt that it belongs
// to; any other is dropped and counted.
func (e *Engine) takeAnswer(now time.Time, o *ownership, endpoint uint32, tuple packet.Tuple, m Message) {
	if !m.IsAnswer() {
		return
	}
	r := o.requests[e.config.Hasher.Request(tuple, m.Token)]
	if r == nil {
		e.stats.Late++
		return
	}
	if r.state == Lost {
		// The former owner dispatched it: the answer is whole and its own.
		r.tuple, r.message = tuple, Message{message.Message{Token: slices.Clone(m.Token), MessageID: m.MessageID}}
		if m.MaxAge() == 0 {
			e.finish(o, r, Answered, BackendAnswered, m.clone())
		}
		return
	}
	a := r.openAttempt()
	if a == nil || a.endpoint != endpoint || r.state != Dispatched {
		e.stats.Late++
		return
	}
	a.open = false
	o.grants.release(endpoint)
	if isRefusal(m) {
		e.stats.Shed++
		o.grants.shed(endpoint)
		e.again(now, o, r, BackendRefused)
	} else {
		o.grants.answered(endpoint, now.Sub(a.at))
		e.noteTransfer(now, o, r, endpoint, m)
		e.finish(o, r, Answered, BackendAnswered, m.clone())
	}
	e.dispatch(now, o)
}

// noteTransfer pins the later blocks of an answer to the endpoint that began it.
func (e *Engine) noteTransfer(now time.Time, o *ownership, r *request, endpoint uint32, m Message) {
	if _, blocks := m.Block(); blocks {
		o.transfers[e.transferOf(r)] = transfer{endpoint, now.Add(r.expires.Sub(r.received))}
	}
}
