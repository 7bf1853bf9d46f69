package flow

import (
	"slices"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// placeNewFlow places a new flow of a bucket in transition. On the endpoint that
// every entry takes for the default it needs no record.
func (e *Engine) placeNewFlow(now time.Time, v Verdict, p *packet.Packet, t route.Transition, second string) Verdict {
	defaultAgreed := !t.Flipped() || t.FlipActive(e.view.Active)
	endpoint := t.ForNew(e.view.Active)
	if endpoint == t.Default && defaultAgreed {
		return e.forward(now, v, p, endpoint, ByNew)
	}
	if h := e.holdings[bucketKey{v.service.ID(), v.bucket}]; h != nil && h.ownedSince > e.view.Active {
		return e.placeAsNewOwner(now, v, p, t, defaultAgreed)
	}
	return e.placeWithRecord(now, v, p, endpoint, second)
}

// placeAsNewOwner places a new flow while the former owner of its bucket may not
// know yet that it is not: asked for the flow, it would take the default for
// granted. So the flow goes there, or waits for its SYN to come again.
func (e *Engine) placeAsNewOwner(now time.Time, v Verdict, p *packet.Packet, t route.Transition, defaultAgreed bool) Verdict {
	defaultEndpoint := e.view.Table.Endpoint(t.Default)
	if defaultAgreed && defaultEndpoint != nil && !defaultEndpoint.Leaving() {
		return e.forward(now, v, p, t.Default, ByNew)
	}
	v.action, v.reason = Drop, OwnerChanging
	return v
}

// placeWithRecord places a new flow where only records lead to: both holders have
// one before its first packet reaches the endpoint, since the packet goes by
// the second.
func (e *Engine) placeWithRecord(now time.Time, v Verdict, p *packet.Packet, endpoint uint32, second string) Verdict {
	if e.view.Table.Endpoint(endpoint) == nil {
		v.action, v.reason = Drop, NoEndpoint
		return v
	}
	if !e.storeRecord(now, v, endpoint) {
		return Verdict{action: Drop, reason: RecordLimit, service: v.service, bucket: v.bucket, id: v.id}
	}
	if second == "" || !slices.Contains(e.view.Reachable, second) {
		// It is silent and will be dropped soon; if it is not, it is told.
		e.queueReport(bucketKey{v.service.ID(), v.bucket}, v.id, endpoint, true)
		return e.forward(now, v, p, endpoint, ByNew)
	}
	previous, _ := p.Relay()
	v.relay = packet.NewRelay(packet.RelayStore, endpoint, e.view.Table.Index(), 0).After(previous)
	v.action, v.reason, v.peer = Relay, ToSecond, second
	v.endpoint = e.view.Table.Endpoint(endpoint)
	return v
}

// decideFromRecord decides by a record. A SYN that comes again to the owner goes by
// the second holder again, which may not have got the first one.
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

// storeAndForward keeps the decision of a bucket's owner and passes the packet on.
func (e *Engine) storeAndForward(now time.Time, v Verdict, p *packet.Packet, relay packet.Relay) Verdict {
	if s := e.flows.get(v.id); s != nil && s.endpoint != relay.Endpoint() && e.overridesOwner(now, s) {
		// This entry has seen the flow elsewhere already; that place is the
		// truth, and the owner must hear of it.
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

// overridesOwner reports whether what this entry has seen of a flow counts more
// than its owner's decision on a SYN: the flow is open, or its SYN was sent on
// just now and this one is its double. After a longer time the SYN comes again
// because no answer came from where it went.
func (e *Engine) overridesOwner(now time.Time, s *slot) bool {
	const maxDuplicateTicks = 1 // tick
	switch s.state {
	case stateOpen:
		return true
	case stateOpening:
		return e.flows.ticks(now)-s.lastSeen <= maxDuplicateTicks
	default:
		return false
	}
}
