package flow

import (
	"slices"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// newFlow places a new flow of a bucket in transition. On the endpoint that
// every entry takes for the default it needs no record.
func (e *Engine) newFlow(now time.Time, v Verdict, p *packet.Packet, t route.Transition, second string) Verdict {
	everybodysDefault := !t.Flipped() || t.FlipActive(e.view.Active)
	endpoint := t.ForNew(e.view.Active)
	if endpoint == t.Default && everybodysDefault {
		return e.forward(now, v, p, endpoint, ByNew)
	}
	if h := e.byHeld[bucketKey{v.service.ID(), v.bucket}]; h != nil && h.ownedSince > e.view.Active {
		return e.newOwnersFlow(now, v, p, t, everybodysDefault)
	}
	return e.recordNew(now, v, p, endpoint, second)
}

// newOwnersFlow places a new flow while the former owner of its bucket may not
// know yet that it is not: asked for the flow, it would take the default for
// granted. So the flow goes there, or waits for its SYN to come again.
func (e *Engine) newOwnersFlow(now time.Time, v Verdict, p *packet.Packet, t route.Transition, everybodysDefault bool) Verdict {
	byDefault := e.view.Table.Endpoint(t.Default)
	if everybodysDefault && byDefault != nil && !byDefault.Leaving() {
		return e.forward(now, v, p, t.Default, ByNew)
	}
	v.action, v.reason = Drop, OwnerChanging
	return v
}

// recordNew places a new flow where only records lead to: both holders have
// one before its first packet reaches the endpoint, since the packet goes by
// the second.
func (e *Engine) recordNew(now time.Time, v Verdict, p *packet.Packet, endpoint uint32, second string) Verdict {
	if e.view.Table.Endpoint(endpoint) == nil {
		v.action, v.reason = Drop, NoEndpoint
		return v
	}
	if !e.keep(now, v, endpoint) {
		return Verdict{action: Drop, reason: RecordLimit, service: v.service, bucket: v.bucket, id: v.id}
	}
	if second == "" || !slices.Contains(e.view.Reachable, second) {
		// It is silent and will be dropped soon; if it is not, it is told.
		e.tell(bucketKey{v.service.ID(), v.bucket}, v.id, endpoint, true)
		return e.forward(now, v, p, endpoint, ByNew)
	}
	previous, _ := p.Relay()
	v.relay = packet.NewRelay(packet.RelayStore, endpoint, e.view.Table.Index(), 0).After(previous)
	v.action, v.reason, v.peer = Relay, ToSecond, second
	v.endpoint = e.view.Table.Endpoint(endpoint)
	return v
}

// fromRecord decides by a record. A SYN that comes again to the owner goes by
// the second holder again, which may not have got the first one.
func (e *Engine) fromRecord(now time.Time, v Verdict, p *packet.Packet, r record) Verdict {
	owner, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
	if p.Flags().Opens() && owner == e.config.Self && now.Before(e.view.LeaseUntil) {
		return e.recordNew(now, v, p, r.endpoint, second)
	}
	if !p.Flags().Opens() && !r.open {
		if e.doubtful() {
			return e.unknown(now, v, p)
		}
		e.prove(v.id)
	}
	return e.forward(now, v, p, r.endpoint, ByRecord)
}

// store keeps the decision of a bucket's owner and passes the packet on.
func (e *Engine) store(now time.Time, v Verdict, p *packet.Packet, relay packet.Relay) Verdict {
	if s := e.flows.get(v.id); s != nil && s.endpoint != relay.Endpoint() && e.outweighs(now, s) {
		// This entry has seen the flow elsewhere already; that place is the
		// truth, and the owner must hear of it.
		got := e.forward(now, v, p, s.endpoint, ByCache)
		if got.endpoint != nil {
			e.announceAccepted(got)
		}
		return got
	}
	if !e.keep(now, v, relay.Endpoint()) {
		return Verdict{action: Drop, reason: RecordLimit, service: v.service, bucket: v.bucket, id: v.id}
	}
	return e.forward(now, v, p, relay.Endpoint(), ByRecord)
}

// outweighs reports whether what this entry has seen of a flow counts more
// than its owner's decision on a SYN: the flow is open, or its SYN was sent on
// just now and this one is its double. After a longer time the SYN comes again
// because no answer came from where it went.
func (e *Engine) outweighs(now time.Time, s *slot) bool {
	const doubleWithin = 1 // tick
	switch s.state {
	case stateOpen:
		return true
	case stateOpening:
		return e.flows.ticks(now)-s.seen <= doubleWithin
	default:
		return false
	}
}
