package steer

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"oxbowsaddle/internal/wire"
)

// nextSteps holds the advice to operators for each reason.
var nextSteps = [ReasonCount]string{
	Placed:         "nothing: new flows are placed like this",
	Repeated:       "nothing, if it is rare: the first packet or its answer was lost; otherwise check the endpoint",
	UnknownTag:     "nothing: the client opens another flow; if it persists, check that this entry reaches the control instances",
	Malformed:      "check the sender",
	Steered:        "nothing: every packet of the flow names its endpoint",
	Corrected:      "nothing: two endpoints answered, and the flow stays with the one whose answer the client accepted",
	Replaced:       "check the endpoint that did not answer",
	NoTable:        "wait until the entry reaches a control instance; check its log for \"control instance lost\"",
	NoRoute:        "add a route for the address, or correct the address that the client uses",
	RouteDropped:   "restore the route if its flows should continue",
	NoEndpoint:     "start endpoints of the service, or stop some from leaving",
	EndpointGone:   "nothing: the client opens another flow",
	Cold:           "wait until endpoints are warm, or start more of the service before they are needed",
	Evacuated:      "end an evacuation with `oxbowsaddle evacuate --undo`, or start endpoints in another failure domain",
	AwaitingCredit: "nothing: the answer of a control instance is due within milliseconds",
	Overloaded:     "start endpoints of the service, or reduce the demand of lower priorities; see `oxbowsaddle utilisation`",
	EndpointLost:   "check the endpoint and the network to its failure domain",
}

// Explain describes a tracked flow, or the decision that the SYN of an untracked flow would get
// now, and why each endpoint of the route was chosen or passed over. The caller fills in the
// entry and the time.
func (s *Steerer) Explain(now time.Time, src, dst netip.AddrPort) *wire.Decision {
	d := &wire.Decision{Subject: Subject(src, dst), Index: s.Version(), Active: s.Version()}
	r := s.routes[dst]
	if r != nil {
		d.Parameter = r.describe()
	}
	considered := map[*backend]bool{}
	reason := s.explainFlow(now, d, r, Packet{Src: src, Dst: dst, Flags: SYN}, considered)
	d.Reason, d.NextStep = reason.String(), nextSteps[reason]
	if r != nil {
		d.Candidates = s.candidates(now, r, d, considered)
	}
	return d
}

// explainFlow fills in the action and the endpoint, and returns the reason. The endpoints
// considered for an untracked flow are added to considered.
func (s *Steerer) explainFlow(now time.Time, d *wire.Decision, r *route, p Packet, considered map[*backend]bool) Reason {
	d.Action = Forward.String()
	f := s.flows[flowKey{p.Src, p.Dst}]
	_, dropped := s.dropped[p.Dst]
	switch {
	case s.document == nil:
		d.Action = Drop.String()
		return NoTable
	case r == nil && dropped:
		d.Action = Reset.String()
		return RouteDropped
	case r == nil:
		d.Action = Reset.String()
		return NoRoute
	case f != nil:
		d.Endpoint = f.backend.ID
		d.Hops = append(d.Hops, f.describe(now))
		if f.reassigned {
			return Corrected
		}
		return Steered
	}
	return s.explainPlacement(now, d, r, p, considered)
}

// explainPlacement fills in the decision that a SYN would get now, and returns the reason.
func (s *Steerer) explainPlacement(now time.Time, d *wire.Decision, r *route, p Packet, considered map[*backend]bool) Reason {
	d.Recomputed = true
	if service := r.service(p.hash()); s.admission != nil && s.pools[service] != nil && s.admission.account.Loaded(service) {
		d.Hops = append(d.Hops, "load mode, in which a flow needs a credit first: "+s.admission.account.Knowledge(now, s.creditFlow(r, service, p)).String())
	}
	b := s.choose(now, r, p, nil, func(b *backend) { considered[b] = true })
	switch {
	case b == nil && !s.synced:
		d.Action = Drop.String()
		return NoTable
	case b == nil:
		d.Action = Reset.String()
		return s.noEndpointReason(r)
	}
	d.Endpoint = b.ID
	return Placed
}

// describe returns the route with the weights of its services.
func (r *route) describe() string {
	var shares []string
	for _, share := range r.Shares {
		shares = append(shares, fmt.Sprintf("%s %d", share.Service, share.Weight))
	}
	return fmt.Sprintf("route %s: services by weight: %s; priority %d, bulk %t", r.Name, strings.Join(shares, ", "), r.Priority, r.Bulk)
}

// describe returns the state of the flow.
func (f *flow) describe(now time.Time) string {
	state := "not established yet"
	switch {
	case f.awaiting:
		state = "a request waits for its answer"
	case f.established:
		state = "open"
	}
	return fmt.Sprintf("placed or moved %s ago, last packet %s ago, %s", now.Sub(f.openedAt).Round(time.Millisecond),
		now.Sub(f.lastSeen).Round(time.Millisecond), state)
}

// candidates returns why each endpoint of a route's services is chosen or passed over, ordered
// by ID.
func (s *Steerer) candidates(now time.Time, r *route, d *wire.Decision, considered map[*backend]bool) []*wire.Candidate {
	var list []*wire.Candidate
	for _, b := range s.byID {
		if !r.leadsTo(b.Service) {
			continue
		}
		verdict := s.verdict(now, b, r.Bulk)
		switch {
		case b.ID == d.Endpoint:
			verdict = "chosen; " + verdict
		case d.Recomputed && b.position != nil && !s.isEvacuated(b) && !considered[b]:
			verdict = "not looked at, since others suffice; " + verdict
		}
		list = append(list, &wire.Candidate{Endpoint: b.ID, Verdict: verdict})
	}
	slices.SortFunc(list, func(a, b *wire.Candidate) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// verdict describes the load and state of an endpoint, including its exclusion from new flows
// by this entry.
func (s *Steerer) verdict(now time.Time, b *backend, bulk bool) string {
	verdict := b.verdict(now, s.config.Domain, bulk)
	if now.Before(b.ejection.until) {
		verdict += fmt.Sprintf(", avoided for %s: several entries report that it leaves requests unanswered or answers with errors", b.ejection.until.Sub(now).Round(time.Millisecond))
	}
	if b.acceptsFlows() && s.excludedWhileCold(now, b) {
		verdict += fmt.Sprintf(", takes no new flow until it is warm in %s: its request rate is limited while cold", b.warmUntil.Sub(now).Round(time.Millisecond))
	}
	if b.acceptsFlows() && s.isEvacuated(b) {
		verdict += fmt.Sprintf(", takes no new flow: failure domain %s is evacuated by revision %d", b.Domain, s.evacuations.Revision())
	}
	return verdict
}

// verdict describes the load and state of the endpoint.
func (b *backend) verdict(now time.Time, domain string, bulk bool) string {
	switch {
	case b.Gone:
		return fmt.Sprintf("has ended %s ago", now.Sub(b.goneAt).Round(time.Millisecond))
	case b.Leaving:
		return "is leaving and takes no new flow"
	case b.tagConflict:
		return "shares the tag of another endpoint and takes no flow"
	}
	verdict := fmt.Sprintf("load %.2f: %d flows and %d waiting requests on %d slots", b.load(now, domain, bulk), b.flows, b.pendingRequests, b.Slots)
	if b.Domain != domain {
		verdict += ", in failure domain " + b.Domain
	}
	if b.isCold(now) {
		verdict += ", still warming up"
	}
	if b.reach.lost {
		verdict += ", avoided: it accepts no connection from here"
	}
	if b.silent {
		verdict += ", avoided: no control instance receives its heartbeats"
	}
	if now.Before(b.suspectUntil) {
		verdict += fmt.Sprintf(", avoided for %s: it left flows without an answer", b.suspectUntil.Sub(now).Round(time.Millisecond))
	}
	return verdict
}

// Drains returns the leaving endpoints and their number of tracked flows, ordered by ID.
func (s *Steerer) Drains(now time.Time) []*wire.DrainStatus {
	var all []*wire.DrainStatus
	for _, b := range s.byID {
		if b.Leaving && !b.Gone {
			all = append(all, &wire.DrainStatus{
				Service: b.Service, Endpoint: b.ID, Flows: uint32(b.flows), SinceNanos: int64(now.Sub(b.leavingAt)),
			})
		}
	}
	slices.SortFunc(all, func(a, b *wire.DrainStatus) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return all
}
