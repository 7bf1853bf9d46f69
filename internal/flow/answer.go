package flow

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// DecideAnswer decides on a packet from the backend server at the given address. The
// packet is forwarded to the client only if its flow is on that endpoint.
func (e *Engine) DecideAnswer(now time.Time, from netip.AddrPort, p *packet.Packet) Verdict {
	endpoint := e.view.Table.EndpointAt(from)
	if relay, ok := p.Relay(); ok && relay.Kind() == packet.RelayCheck {
		endpoint = e.view.Table.Endpoint(relay.Endpoint())
	}
	if endpoint == nil {
		return Verdict{action: Drop, reason: UnknownSource}
	}
	tuple := p.Tuple().Reverse()
	service, _ := e.view.Table.Lookup(route.ServiceKey{Addr: tuple.Dst(), Transport: tuple.Transport()})
	if service == nil || service.ID() != endpoint.Service() {
		return Verdict{action: Drop, reason: CrossService, endpoint: endpoint}
	}
	id := e.config.Hasher.Flow(tuple)
	v := Verdict{service: service, endpoint: endpoint, id: id, bucket: service.Bucket(id)}
	if e.config.Modulo {
		return e.verdictOnAnswer(true, v, ByAnswer)
	}
	got := e.answerForService(now, v, p)
	if got.action == Forward && p.Flags().Accepts() && e.placementUncertain() {
		e.announceAccepted(got)
	}
	return got
}

// announceAccepted reports to the peers from which endpoint a SYN-ACK was forwarded
// to the client. While domains are partitioned, entries may have sent repeated SYNs of
// a flow to different endpoints; the first SYN-ACK that is forwarded decides.
func (e *Engine) announceAccepted(v Verdict) {
	if s := e.flows.get(v.id); s != nil && s.endpoint == v.endpoint.ID() && s.state == stateOpening {
		e.flows.setState(s, stateOpen)
	}
	m := &wire.Peer{From: e.config.Self, Body: &wire.Peer_Accepted{Accepted: &wire.Accepted{
		High: v.id.High, Low: v.id.Low, Endpoint: v.endpoint.ID(),
	}}}
	for _, peer := range e.view.Reachable {
		e.out = append(e.out, Output{Peer: peer, Message: m})
	}
}

// handleAccepted stores the endpoint of a flow that a peer saw accepted, unless
// the flow is known to be open on another endpoint.
func (e *Engine) handleAccepted(now time.Time, a *wire.Accepted) {
	id := route.FlowID{High: a.High, Low: a.Low}
	endpoint := e.view.Table.Endpoint(a.Endpoint)
	if endpoint == nil {
		return
	}
	if s := e.flows.get(id); s == nil || s.state == stateOpening {
		e.flows.put(id, a.Endpoint, stateOpen, now)
	} else if s.endpoint != a.Endpoint {
		return
	}
	if r, ok := e.records[id]; ok && r.key.service == endpoint.Service() {
		e.records[id] = record{a.Endpoint, r.key, now, true}
	}
}

func (e *Engine) answerForService(now time.Time, v Verdict, p *packet.Packet) Verdict {
	id, endpoint := v.id, v.endpoint
	if s := e.flows.get(id); s != nil {
		return e.answerKnown(now, v, p, s)
	}
	if r, ok := e.records[id]; ok {
		if r.endpoint != endpoint.ID() && provesHandshake(p) {
			return e.correctEndpoint(now, v, p)
		}
		return e.verdictOnAnswer(r.endpoint == endpoint.ID(), v, ByRecord)
	}
	return e.answerUnknown(now, v, p)
}

// provesHandshake reports whether an answer shows that its flow is on its endpoint.
// A TCP segment that is neither SYN nor RST is sent only after the handshake.
func provesHandshake(p *packet.Packet) bool {
	return p.Tuple().Transport() == packet.TCP && !p.Flags().Accepts() && !p.Flags().Resets()
}

// correctEndpoint replaces the endpoint that was stored at the SYN with the one that
// completed the handshake. A repeated SYN may have been sent to two endpoints while
// the views of entries differed.
func (e *Engine) correctEndpoint(now time.Time, v Verdict, p *packet.Packet) Verdict {
	e.cacheFlow(now, v, p, v.endpoint.ID(), false)
	if r, ok := e.records[v.id]; ok {
		e.records[v.id] = record{v.endpoint.ID(), r.key, now, true}
	}
	return e.verdictOnAnswer(true, v, ByAnswer)
}

func (e *Engine) verdictOnAnswer(matches bool, v Verdict, reason Reason) Verdict {
	if !matches {
		v.action, v.reason = Drop, WrongEndpoint
		return v
	}
	v.action, v.reason = Forward, reason
	return v
}

func (e *Engine) answerKnown(now time.Time, v Verdict, p *packet.Packet, s *slot) Verdict {
	if s.endpoint != v.endpoint.ID() {
		if s.state == stateOpening && provesHandshake(p) {
			return e.correctEndpoint(now, v, p)
		}
		return e.verdictOnAnswer(false, v, ByCache)
	}
	s.lastSeen = e.flows.ticks(now)
	if p.Flags().Ends() {
		e.flows.setState(s, stateClosing)
	}
	return e.verdictOnAnswer(true, v, ByCache)
}

// answerUnknown decides on an answer of a flow that this entry doesn't know. An
// answer that proves the handshake adds the flow to the cache. Other answers are
// checked against the bucket's endpoint, by the owner if the bucket is in transition.
func (e *Engine) answerUnknown(now time.Time, v Verdict, p *packet.Packet) Verdict {
	t, inTransition := v.service.Transition(v.bucket)
	switch {
	case provesHandshake(p):
		e.cacheFlow(now, v, p, v.endpoint.ID(), false)
		return e.verdictOnAnswer(true, v, ByAnswer)
	case !inTransition && !e.view.Table.Uncertain() && now.Before(e.view.LeaseUntil):
		return e.verdictOnAnswer(v.service.Current(v.bucket) == v.endpoint.ID(), v, BySettled)
	case !now.Before(e.view.LeaseUntil):
		return e.verdictOnAnswer(p.Flags().Accepts(), v, ByAnswer)
	}
	owner, _ := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
	if owner != e.config.Self {
		return e.relayAnswer(v, p, owner)
	}
	if !inTransition {
		t = settledTransition(v.service.Current(v.bucket))
	}
	id := v.endpoint.ID()
	if e.hasAllRecords(v) && p.Tuple().Transport() == packet.TCP {
		return e.verdictOnAnswer(id == t.Default, v, ByDefault)
	}
	return e.verdictOnAnswer(id == t.Default || id == t.Current || id == t.Previous, v, ByDefault)
}

// relayAnswer relays an answer to the bucket's owner, which checks it.
func (e *Engine) relayAnswer(v Verdict, p *packet.Packet, owner string) Verdict {
	previous, _ := p.Relay()
	if previous.Hops() >= maxHops || owner == "" {
		return e.verdictOnAnswer(false, v, HopLimit)
	}
	v.relay = packet.NewRelay(packet.RelayCheck, v.endpoint.ID(), e.view.Table.Index(), 0).After(previous)
	v.action, v.reason, v.peer = Relay, ToOwner, owner
	return v
}
