package flow

import (
	"time"

	"golang.org/x/time/rate"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// maxHops bounds how often a packet is relayed. A packet may pass a former owner,
// the new owner and the second holder.
const maxHops = 4

// dataFlags are the flags of a segment that neither opens nor ends a flow.
var dataFlags = packet.NewFlags(false, true, false, false)

type (
	// bucketKey identifies a bucket of a service.
	bucketKey struct {
		service, bucket uint32
	}

	// Output is something to send besides the current packet: a message to a peer, or a
	// packet that waited for answers of peers.
	Output struct {
		Peer    string         // receiver of the message
		Message *wire.Peer     // nil if Packet is set
		Packet  *packet.Packet // a packet that has waited
		Verdict Verdict        // on the packet
	}

	// Stats holds the engine's gauges and counters.
	Stats struct {
		Flows, HalfOpen, Records, Waiting                int
		TableFull, Asks, Pushes, PushBytes               uint64
		PushBacklog, InvariantViolations, RecordsDropped uint64
	}

	// Engine makes the forwarding decisions of one entry.
	Engine struct {
		config        Config
		view          *View
		flows         *flowTable
		records       map[route.FlowID]record
		holdings      map[bucketKey]*holding
		questions     map[route.FlowID]*question
		questionQueue []*question // by deadline, including those already answered
		askLimiter    *rate.Limiter
		push          pusher
		sweep         sweeper
		out           []Output
		stats         Stats
	}
)

// New returns an engine with an empty table and no lease.
func New(c Config, now time.Time) *Engine {
	return &Engine{
		config:     c,
		view:       &View{Table: route.Empty()},
		flows:      newFlowTable(c.MaxFlows, now),
		records:    map[route.FlowID]record{},
		holdings:   map[bucketKey]*holding{},
		questions:  map[route.FlowID]*question{},
		askLimiter: rate.NewLimiter(rate.Limit(c.AsksPerSecond), c.AsksPerSecond),
		push:       newPusher(c),
		sweep:      newSweeper(),
	}
}

// View returns the current view.
func (e *Engine) View() *View { return e.view }

// Stats returns the engine's gauges and counters.
func (e *Engine) Stats() Stats {
	s := e.stats
	s.Flows, s.HalfOpen, s.Records, s.Waiting = e.flows.used, e.flows.opening, len(e.records), len(e.questions)
	s.PushBacklog = uint64(e.push.backlog())
	return s
}

// TakeOutput returns and clears the queued messages and packets. The slice is valid
// until the next call of a method.
func (e *Engine) TakeOutput() []Output {
	out := e.out
	e.out = e.out[:0]
	return out
}

// DecideInbound decides on a packet from a client.
func (e *Engine) DecideInbound(now time.Time, p *packet.Packet) Verdict {
	tuple := p.Tuple()
	service, _ := e.view.Table.Lookup(route.ServiceKey{Addr: tuple.Dst(), Transport: tuple.Transport()})
	if service == nil {
		return Verdict{action: Drop, reason: UnknownService}
	}
	id := e.config.Hasher.Flow(tuple)
	cached := e.flows.get(id)
	if endpoint := e.cachedEndpoint(cached, p); endpoint != nil && endpoint.Service() == service.ID() {
		cached.lastSeen = e.flows.ticks(now)
		return Verdict{action: Forward, reason: ByCache, endpoint: endpoint, service: service, id: id, bucket: service.Bucket(id)}
	}
	return e.inboundSlowPath(now, service, id, cached, p)
}

// cachedEndpoint is the fast path: it returns the endpoint of an open cached flow
// for a packet that neither opens nor ends the flow and wasn't relayed.
func (e *Engine) cachedEndpoint(s *slot, p *packet.Packet) *route.Endpoint {
	if s == nil || s.state != stateOpen || p.Flags() != dataFlags || e.config.Modulo {
		return nil
	}
	if _, relayed := p.Relay(); relayed {
		return nil
	}
	return e.view.Table.Endpoint(s.endpoint)
}

func (e *Engine) inboundSlowPath(now time.Time, service *route.Service, id route.FlowID, cached *slot, p *packet.Packet) Verdict {
	v := Verdict{service: service, id: id, bucket: service.Bucket(id)}
	if e.config.Modulo {
		return e.modulo(v)
	}
	if relay, ok := p.Relay(); ok && relay.Kind() == packet.RelayStore {
		return e.storeAndForward(now, v, p, relay)
	}
	if cached != nil {
		if got, ok := e.decideFromCache(now, v, p, cached); ok {
			return got
		}
	}
	if r, ok := e.records[id]; ok {
		if !e.reusesTuple(now, p, r) {
			return e.decideFromRecord(now, v, p, r)
		}
		e.announceReuse(v)
	}
	return e.decideUnknown(now, v, p)
}

// placementUncertain reports whether the table may be wrong about where flows are,
// because a domain is or was partitioned. A forwarded SYN then proves nothing.
func (e *Engine) placementUncertain() bool { return e.view.Isolated || e.view.Table.Uncertain() }

// idleBeyondHalfOpen reports whether a flow has been idle for so long that a SYN on
// its tuple can't be one that was delayed by the pause of an entry with a lease.
func (e *Engine) idleBeyondHalfOpen(now time.Time, s *slot) bool {
	return time.Duration(e.flows.ticks(now)-s.lastSeen)*tick > e.config.HalfOpenTimeout
}

// opensNewFlow reports whether a SYN on a cached flow opens a new flow on the same
// tuple, rather than being a retransmission.
func (e *Engine) opensNewFlow(now time.Time, s *slot, endpoint *route.Endpoint) bool {
	switch s.state {
	case stateClosing:
		return true
	case stateOpening:
		return e.idleBeyondHalfOpen(now, s)
	default:
		return endpoint.Leaving() && e.idleBeyondHalfOpen(now, s)
	}
}

// decideFromCache decides by a cached flow. It returns false if the cache can't be used.
func (e *Engine) decideFromCache(now time.Time, v Verdict, p *packet.Packet, s *slot) (Verdict, bool) {
	endpoint := e.view.Table.Endpoint(s.endpoint)
	if endpoint == nil || p.Flags().Opens() && e.opensNewFlow(now, s, endpoint) {
		e.flows.remove(v.id)
		return v, false
	}
	if s.state == stateOpening && p.Flags().Opens() {
		return e.send(v, endpoint, ByCache), true // a repeated SYN doesn't extend the life of a half-open flow
	}
	if s.state == stateOpening && e.placementUncertain() {
		return v, false // a repeated SYN may have gone to another endpoint across a partition
	}
	s.lastSeen = e.flows.ticks(now)
	if p.Flags().Ends() {
		e.flows.setState(s, stateClosing)
	} else if s.state == stateOpening && !p.Flags().Opens() {
		e.flows.setState(s, stateOpen)
	}
	return e.send(v, endpoint, ByCache), true
}

// reusesTuple reports whether a SYN opens a new flow on the tuple of a recorded flow
// whose endpoint takes no new flows.
func (e *Engine) reusesTuple(now time.Time, p *packet.Packet, r record) bool {
	if !p.Flags().Opens() || now.Sub(r.storedAt) <= e.config.HalfOpenTimeout {
		return false
	}
	endpoint := e.view.Table.Endpoint(r.endpoint)
	return endpoint == nil || endpoint.Leaving()
}

// announceReuse makes the peers forget the former flow of a tuple, so that none of
// them forwards packets of the new flow to the former endpoint. This is rare: a
// client has to reuse a port within the idle timeout of a flow on a leaving endpoint.
func (e *Engine) announceReuse(v Verdict) {
	forget := &wire.Peer{From: e.config.Self, Body: &wire.Peer_Forget{Forget: &wire.Forget{High: v.id.High, Low: v.id.Low}}}
	for _, peer := range e.view.Reachable {
		e.out = append(e.out, Output{Peer: peer, Message: forget})
	}
	e.forgetLeaving(v.id)
}

// forgetLeaving drops the cached flow and record of a flow whose endpoint is leaving.
func (e *Engine) forgetLeaving(id route.FlowID) {
	if s := e.flows.get(id); s != nil {
		if endpoint := e.view.Table.Endpoint(s.endpoint); endpoint == nil || endpoint.Leaving() {
			e.flows.remove(id)
		}
	}
	if r, ok := e.records[id]; ok {
		if endpoint := e.view.Table.Endpoint(r.endpoint); endpoint == nil || endpoint.Leaving() {
			delete(e.records, id)
			delete(e.holdingOf(r.key).flows, id)
		}
	}
}

// decideUnknown decides on a packet of a flow without a cached flow or record.
func (e *Engine) decideUnknown(now time.Time, v Verdict, p *packet.Packet) Verdict {
	if !now.Before(e.view.LeaseUntil) {
		return e.decideWithoutLease(now, v, p)
	}
	t, inTransition := v.service.Transition(v.bucket)
	mustAsk := e.view.Table.Uncertain() && !p.Flags().Opens() || len(e.view.Table.Returned()) > 0
	if !inTransition && !mustAsk {
		return e.forward(now, v, p, v.service.Current(v.bucket), BySettled)
	}
	if !inTransition {
		t = settledTransition(v.service.Current(v.bucket))
	}
	if t.FlipActive(e.view.Active) && p.Flags().Opens() && len(e.view.Table.Returned()) == 0 {
		return e.forward(now, v, p, t.Current, ByNew)
	}
	owner, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
	if owner != e.config.Self {
		return e.relayTo(v, p, owner, ToOwner)
	}
	return e.decideAsOwner(now, v, p, t, second)
}

// settledTransition represents a settled bucket as a transition that is complete on
// every entry.
func settledTransition(endpoint uint32) route.Transition {
	return route.Transition{Default: endpoint, Previous: endpoint, Current: endpoint, FlippedAt: 1}
}

// decideAsOwner decides on a packet of an unknown flow as the owner of its bucket.
func (e *Engine) decideAsOwner(now time.Time, v Verdict, p *packet.Packet, t route.Transition, second string) Verdict {
	if p.Flags().Opens() && len(e.view.Table.Returned()) == 0 {
		return e.placeNewFlow(now, v, p, t, second)
	}
	if e.hasAllRecords(v) && (!isUDP(p) || t.Flipped()) {
		return e.forward(now, v, p, t.Default, ByDefault)
	}
	return e.ask(now, v, p)
}

// isUDP reports whether the packet is UDP. A UDP packet doesn't show whether it opens
// a flow.
func isUDP(p *packet.Packet) bool { return p.Tuple().Transport() == packet.UDP }

// relayTo relays a packet to the entry that decides on it.
func (e *Engine) relayTo(v Verdict, p *packet.Packet, peer string, reason Reason) Verdict {
	relay, relayed := p.Relay()
	if !relayed {
		relay = packet.NewRelay(packet.RelayDecide, 0, e.view.Table.Index(), 0)
	}
	if peer == "" || relay.Hops() >= maxHops {
		v.action, v.reason = Drop, HopLimit
		return v
	}
	v.action, v.reason, v.peer, v.relay = Relay, reason, peer, relay.WithHop()
	return v
}

// forward forwards a packet to an endpoint and caches the flow.
func (e *Engine) forward(now time.Time, v Verdict, p *packet.Packet, endpoint uint32, reason Reason) Verdict {
	target := e.view.Table.Endpoint(endpoint)
	if target == nil {
		v.action, v.reason = Drop, NoEndpoint
		return v
	}
	e.cacheFlow(now, v, p, endpoint, reason == ByRecord)
	return e.send(v, target, reason)
}

// send returns the verdict to forward a packet, provided that the endpoint belongs
// to the packet's service.
func (e *Engine) send(v Verdict, endpoint *route.Endpoint, reason Reason) Verdict {
	if endpoint.Service() != v.service.ID() {
		e.stats.InvariantViolations++
		v.action, v.reason = Drop, CrossService
		return v
	}
	v.action, v.reason, v.endpoint = Forward, reason, endpoint
	return v
}

// cacheFlow caches the endpoint of a flow. The argument reported says whether the
// holders of its bucket already have a record of it.
func (e *Engine) cacheFlow(now time.Time, v Verdict, p *packet.Packet, endpoint uint32, reported bool) {
	state := stateOpen
	if p.Flags().Opens() {
		state = stateOpening
	} else if p.Flags().Ends() {
		state = stateClosing
	}
	s := e.flows.put(v.id, endpoint, state, now)
	if s == nil {
		e.stats.TableFull++
		return
	}
	s.reported = reported
}
