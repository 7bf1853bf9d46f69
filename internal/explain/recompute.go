package explain

import (
	"fmt"
	"net/netip"
	"time"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// Recompute returns what an entry would now decide on the next packet of a flow, from
// what it has stored about the flow, with every endpoint of the service and why it was
// chosen or not. It returns nil if the addresses in the request are invalid.
func Recompute(now time.Time, entry string, e *flow.Engine, r *wire.WhyRequest) *wire.Decision {
	source, errSource := netip.ParseAddrPort(r.Source)
	target, errTarget := netip.ParseAddrPort(r.Target)
	if errSource != nil || errTarget != nil {
		return nil
	}
	transport := packet.TCP
	if r.Protocol == packet.UDP.String() {
		transport = packet.UDP
	}
	view := e.View()
	service, class := view.Table.Lookup(route.ServiceKey{Addr: target, Transport: transport})
	d := &wire.Decision{
		UnixNano: now.UnixNano(), Entry: entry, Subject: r.Protocol + " " + r.Source + " " + r.Target,
		Index: view.Table.Index(), Active: view.Active, Recomputed: true,
	}
	if service == nil {
		d.Action, d.Reason, d.NextStep = "drop", flow.UnknownService.String(), FlowNextStep(flow.UnknownService)
		return d
	}
	stored := e.StoredFlow(packet.NewTuple(source, target, transport))
	bucket := service.Bucket(stored.ID)
	t, inTransition := service.Transition(bucket)
	owner, second := route.Rank(view.Table.Members(), service.ID(), bucket)
	d.Hops = append(d.Hops, fmt.Sprintf("service %s class %s bucket %d of %d", service.Name(), class.Name, bucket, service.BucketCount()))
	chosen := service.Current(bucket)
	switch {
	case stored.Cached != 0:
		chosen, d.Reason = stored.Cached, flow.ByCache.String()
	case stored.Recorded != 0:
		chosen, d.Reason = stored.Recorded, flow.ByRecord.String()
	case !inTransition:
		d.Reason = flow.BySettled.String()
	default:
		chosen, d.Reason = t.Default, flow.ByDefault.String()
	}
	if inTransition {
		d.Hops = append(d.Hops, fmt.Sprintf("in transition since index %d: new flows to %s, flows without a record to %s; owner %s, second holder %s",
			t.MovedAt, endpointName(view.Table, t.NewFlowEndpoint(view.Active)), endpointName(view.Table, t.Default), owner, second))
	}
	if !now.Before(view.LeaseUntil) {
		d.Hops = append(d.Hops, "this entry has no lease and accepts no new flows")
	}
	d.Action, d.Endpoint = "forward", endpointName(view.Table, chosen)
	policy := service.Policy()
	d.Parameter = fmt.Sprintf("team %s: balance %g, idle %s, drain_deadline %s", policy.Team, policy.Balance, policy.Idle, policy.DrainDeadline)
	d.NextStep = "nothing: this is what the entry would do now"
	d.Candidates = candidates(view.Table, service, chosen)
	return d
}

func endpointName(t *route.Table, endpoint uint32) string {
	if e := t.Endpoint(endpoint); e != nil {
		return e.Name()
	}
	return "none"
}

// candidates returns the endpoints of a service, each with why it was chosen or not.
func candidates(t *route.Table, s *route.Service, chosen uint32) []*wire.Candidate {
	bucketCounts := map[uint32]int{}
	for b := range uint32(s.BucketCount()) {
		bucketCounts[s.Current(b)]++
	}
	var all []*wire.Candidate
	for _, e := range t.EndpointsOf(s.ID()) {
		verdict := fmt.Sprintf("has %d of %d buckets, but not this flow's", bucketCounts[e.ID()], s.BucketCount())
		switch {
		case e.ID() == chosen:
			verdict = "chosen"
		case e.Leaving():
			verdict = "is leaving and takes no new flow"
		case bucketCounts[e.ID()] == 0:
			verdict = "has no bucket: it is down, full, or new"
		}
		all = append(all, &wire.Candidate{Endpoint: e.Name(), Verdict: verdict})
	}
	return all
}
