package work

import (
	"time"

	"oxbowsaddle/internal/route"
)

const (
	shrink      = 0.6  // of the window, at a refusal by the backend server
	grow        = 0.25 // slots, at an answer
	leastWindow = 1.0
	firstMean   = 50 * time.Millisecond // service time before any was measured
	meanWeight  = 0.1
)

type (
	// slots is what the owner has granted of one endpoint.
	slots struct {
		inFlight int
		window   float64 // follows what the backend server accepts, up to its slots
		lastUsed uint64
	}

	// grants holds the slots of all endpoints of a service.
	grants struct {
		byEndpoint map[uint32]*slots
		clock      uint64
		mean       time.Duration
	}
)

func newGrants() grants { return grants{byEndpoint: map[uint32]*slots{}, mean: firstMean} }

func (g *grants) of(e *route.Endpoint) *slots {
	s := g.byEndpoint[e.ID()]
	if s == nil {
		s = &slots{window: float64(e.Slots())}
		g.byEndpoint[e.ID()] = s
	}
	s.window = min(s.window, float64(e.Slots()))
	return s
}

// free returns how many more requests an endpoint may get now.
func (g *grants) free(e *route.Endpoint) int {
	s := g.of(e)
	return int(s.window) - s.inFlight
}

// anyFree reports whether an endpoint has a free slot at all; without one the
// queue need not be looked through.
func (g *grants) anyFree(endpoints []*route.Endpoint) bool {
	for _, e := range endpoints {
		if g.free(e) > 0 {
			return true
		}
	}
	return false
}

// choose returns the endpoint with the most free slots that may get the
// request; among equals the one that was used longest ago.
func (g *grants) choose(endpoints []*route.Endpoint, may func(*route.Endpoint) bool) *route.Endpoint {
	var best *route.Endpoint
	for _, e := range endpoints {
		if g.free(e) < 1 || !may(e) {
			continue
		}
		if best == nil || g.free(e) > g.free(best) || g.free(e) == g.free(best) && g.of(e).lastUsed < g.of(best).lastUsed {
			best = e
		}
	}
	return best
}

func (g *grants) take(e *route.Endpoint) {
	g.clock++
	s := g.of(e)
	s.inFlight++
	s.lastUsed = g.clock
}

func (g *grants) release(endpoint uint32) {
	if s := g.byEndpoint[endpoint]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// answered notes a finished request: the window opens again and the mean
// service time follows.
func (g *grants) answered(endpoint uint32, took time.Duration) {
	if s := g.byEndpoint[endpoint]; s != nil {
		s.window += grow
	}
	g.mean += time.Duration(meanWeight * float64(took-g.mean))
}

// shed notes a refusal by the backend server: it gets less for a while.
func (g *grants) shed(endpoint uint32) {
	if s := g.byEndpoint[endpoint]; s != nil {
		s.window = max(leastWindow, s.window*shrink)
	}
}

// capacity returns how many requests all endpoints run at a time.
func (g *grants) capacity(endpoints []*route.Endpoint) float64 {
	var sum float64
	for _, e := range endpoints {
		sum += g.of(e).window
	}
	return sum
}
