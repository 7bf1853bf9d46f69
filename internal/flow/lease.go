package flow

import (
	"slices"
	"time"

	"github.com/dchest/siphash"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// decideWithoutLease decides on an unknown flow after this entry's lease has expired.
// Its view may be stale, so it relays the packet to an entry with a lease, except in
// an isolated domain, which decides by itself. A SYN is dropped: it may have been
// delayed here by a pause while another entry opened its flow. The client retransmits
// a SYN that is still needed.
func (e *Engine) decideWithoutLease(now time.Time, v Verdict, p *packet.Packet) Verdict {
	if e.view.Isolated {
		return e.decideIsolated(now, v, p)
	}
	if n := len(e.view.Leased); n > 0 && !p.Flags().Opens() {
		return e.relayTo(v, p, e.view.Leased[v.id.Low%uint64(n)], ToLeased)
	}
	v.action, v.reason = Drop, NoLease
	return v
}

// decideIsolated decides in a failure domain that is partitioned from the others. Each
// new flow gets a record, so that it is found when the domain is reachable again.
func (e *Engine) decideIsolated(now time.Time, v Verdict, p *packet.Packet) Verdict {
	owner, second := route.Rank(e.isolatedMembers(), v.service.ID(), v.bucket)
	if owner != e.config.Self {
		return e.relayTo(v, p, owner, ToOwner)
	}
	if !p.Flags().Opens() {
		return e.ask(now, v, p)
	}
	endpoint := e.isolatedEndpoint(v)
	if endpoint == 0 {
		v.action, v.reason = Drop, NoEndpoint
		return v
	}
	return e.placeWithRecord(now, v, p, endpoint, second)
}

// isolatedMembers returns the members that this entry can reach, and the entry itself.
func (e *Engine) isolatedMembers() []route.Member {
	var members []route.Member
	for _, m := range e.view.Table.Members() {
		if m.Name() == e.config.Self || slices.Contains(e.view.Reachable, m.Name()) {
			members = append(members, m)
		}
	}
	return members
}

// isolatedEndpoint returns the bucket's endpoint if it can be reached, otherwise a
// reachable endpoint that is the same on every entry of the domain.
func (e *Engine) isolatedEndpoint(v Verdict) uint32 {
	preferred := v.service.Current(v.bucket)
	if t, inTransition := v.service.Transition(v.bucket); inTransition {
		preferred = t.NewFlowEndpoint(e.view.Active)
	}
	if e.acceptsNewFlows(preferred) {
		return preferred
	}
	var best uint32
	var bestScore uint64
	for _, id := range v.service.Endpoints() {
		if !e.acceptsNewFlows(id) {
			continue
		}
		score := siphash.Hash(uint64(id), v.id.High, nil)
		if best == 0 || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

func (e *Engine) acceptsNewFlows(endpoint uint32) bool {
	target := e.view.Table.Endpoint(endpoint)
	return target != nil && !target.Leaving() && slices.Contains(e.view.ReachableDomains, target.Domain())
}
