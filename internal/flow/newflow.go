package flow

import (
	"slices"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// placeNewFlow places a new flow of a bucket in transition. The flow needs no record on
// an endpoint that all entries use as the default.
func (e *Engine) placeNewFlow(now time.Time, v Verdict, p *packet.Packet, t route.Transition, second string) Verdict {
	defaultAgreed := !t.Flipped() || t.FlipActive(e.view.Active)
	endpoint := t.NewFlowEndpoint(e.view.Active)
	if endpoint == t.Default && defaultAgreed {
		return e.forward(now, v, p, endpoint, ByNew)
	}
	if h := e.holdings[bucketKey{v.service.ID(), v.bucket}]; h != nil && h.ownedSince > e.view.Active {
		return e.placeAsNewOwner(now, v, p, t, defaultAgreed)
	}
	return e.placeWithRecord(now, v, p, endpoint, second)
}

// placeAsNewOwner places a new flow while the former owner of its bucket may not have
// applied the change of owner yet. The former owner would forward later packets of the
// flow to the default endpoint, so the flow is placed there. If that isn't possible,
// the packet is dropped and the client retransmits it.
func (e *Engine) placeAsNewOwner(now time.Time, v Verdict, p *packet.Packet, t route.Transition, defaultAgreed bool) Verdict {
	defaultEndpoint := e.view.Table.Endpoint(t.Default)
	if defaultAgreed && defaultEndpoint != nil && !defaultEndpoint.Leaving() {
		return e.forward(now, v, p, t.Default, ByNew)
	}
	v.action, v.reason = Drop, OwnerChanging
	return v
}

// placeWithRecord places a new flow on an endpoint that entries find only by a record.
// The packet is relayed to the second holder, which forwards it, so that both holders
// have a record before the endpoint gets the packet.
func (e *Engine) placeWithRecord(now time.Time, v Verdict, p *packet.Packet, endpoint uint32, second string) Verdict {
	if e.view.Table.Endpoint(endpoint) == nil {
		v.action, v.reason = Drop, NoEndpoint
		return v
	}
	if !e.storeRecord(now, v, endpoint) {
		return Verdict{action: Drop, reason: RecordLimit, service: v.service, bucket: v.bucket, id: v.id}
	}
	if second == "" || !slices.Contains(e.view.Reachable, second) {
		// An unreachable second holder is likely to be removed soon. Otherwise it gets
		// the record by the report.
		e.queueReport(bucketKey{v.service.ID(), v.bucket}, v.id, endpoint, true)
		return e.forward(now, v, p, endpoint, ByNew)
	}
	previous, _ := p.Relay()
	v.relay = packet.NewRelay(packet.RelayStore, endpoint, e.view.Table.Index(), 0).After(previous)
	v.action, v.reason, v.peer = Relay, ToSecond, second
	v.endpoint = e.view.Table.Endpoint(endpoint)
	return v
}

// decideFromRecord decides by a record. At the owner, a repeated SYN is relayed to the
// second holder again, which may have missed the first one.
func (e *Engine) decideFromRecord(now time.Time, v Verdict, p *packet.Packet, r record) Verdict {
	owner, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
	if p.Flags().Opens() && owner == e.config.Self && now.Before(e.view.LeaseUntil) {
		return e.placeWithRecord(now, v, p, r.endpoint, second)
	}
	if !p.Flags().Opens() && !r.confirmed {
		if e.placementUncertain() {
			return e.decideUnknown(now, v, p)
		}
		e.confirmRecord(v.id)
	}
	return e.forward(now, v, p, r.endpoint, ByRecord)
}

// storeAndForward stores the owner's decision, as the second holder, and forwards the
// packet.
func (e *Engine) storeAndForward(now time.Time, v Verdict, p *packet.Packet, relay packet.Relay) Verdict {
	if s := e.flows.get(v.id); s != nil && s.endpoint != relay.Endpoint() && e.overridesOwner(now, s) {
		// This entry has already forwarded the flow to another endpoint. Keep that
		// endpoint and report it to the owner.
		got := e.forward(now, v, p, s.endpoint, ByCache)
		if got.endpoint != nil {
			e.announceAccepted(got)
		}
		return got
	}
	if !e.storeRecord(now, v, relay.Endpoint()) {
		return Verdict{action: Drop, reason: RecordLimit, service: v.service, bucket: v.bucket, id: v.id}
	}
	return e.forward(now, v, p, relay.Endpoint(), ByRecord)
}

// overridesOwner reports whether a cached flow takes precedence over the owner's
// decision: the flow is open, or its SYN was forwarded just now and this is a duplicate
// of it. A later SYN is a retransmission, since the first got no answer.
func (e *Engine) overridesOwner(now time.Time, s *slot) bool {
	const maxDuplicateTicks = 1
	switch s.state {
	case stateOpen:
		return true
	case stateOpening:
		return e.flows.ticks(now)-s.lastSeen <= maxDuplicateTicks
	default:
		return false
	}
}
