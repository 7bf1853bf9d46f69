package flow

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// Answer decides on a packet from a backend server at the given address. It
// passes only for a flow that the endpoint holds, and to the flow's caller.
func (e *Engine) Answer(now time.Time, from netip.AddrPort, p *packet.Packet) Verdict {
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
	if s := e.flows.get(id); s != nil {
		return e.answerKnown(now, v, p, s)
	}
	if r, ok := e.records[id]; ok {
		return e.answerIf(r.endpoint == endpoint.ID(), v, ByRecord)
	}
	return e.answerUnknown(now, v, p)
}

func (e *Engine) answerIf(held bool, v Verdict, reason Reason) Verdict {
	if !held {
		v.action, v.reason = Drop, WrongEndpoint
		return v
	}
	v.action, v.reason = Forward, reason
	return v
}

func (e *Engine) answerKnown(now time.Time, v Verdict, p *packet.Packet, s *slot) Verdict {
	if s.endpoint != v.endpoint.ID() {
		return e.answerIf(false, v, ByCache)
	}
	s.seen = e.flows.ticks(now)
	if p.Flags().Ends() {
		e.flows.setState(s, stateClosing)
	}
	return e.answerIf(true, v, ByCache)
}

// answerUnknown decides on an answer of a flow that this entry does not know.
// A segment that is neither SYN nor RST shows that the endpoint holds the
// flow, so the entry learns from it; the others prove nothing in a bucket in
// transition and are checked by the bucket's owner.
func (e *Engine) answerUnknown(now time.Time, v Verdict, p *packet.Packet) Verdict {
	t, open := v.service.Transition(v.bucket)
	proves := p.Tuple().Transport() == packet.TCP && !p.Flags().Accepts() && !p.Flags().Resets()
	switch {
	case proves:
		e.cache(now, v, p, v.endpoint.ID(), false)
		return e.answerIf(true, v, ByAnswer)
	case !open && !e.view.Table.Suspect() && now.Before(e.view.LeaseUntil):
		return e.answerIf(v.service.Current(v.bucket) == v.endpoint.ID(), v, BySettled)
	case !now.Before(e.view.LeaseUntil):
		return e.answerIf(p.Flags().Accepts(), v, ByAnswer)
	}
	owner, _ := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
	if owner != e.config.Self {
		return e.relayAnswer(v, p, owner)
	}
	if !open {
		t = settledTransition(v.service.Current(v.bucket))
	}
	id := v.endpoint.ID()
	if e.complete(v) && p.Tuple().Transport() == packet.TCP {
		return e.answerIf(id == t.Default, v, ByDefault)
	}
	return e.answerIf(id == t.Default || id == t.Current || id == t.Previous, v, ByDefault)
}

// relayAnswer sends an answer to the bucket's owner to be checked there.
func (e *Engine) relayAnswer(v Verdict, p *packet.Packet, owner string) Verdict {
	previous, _ := p.Relay()
	if previous.Hops() >= maxHops || owner == "" {
		return e.answerIf(false, v, HopLimit)
	}
	v.relay = packet.NewRelay(packet.RelayCheck, v.endpoint.ID(), e.view.Table.Index(), 0).After(previous)
	v.action, v.reason, v.peer = Relay, ToOwner, owner
	return v
}
