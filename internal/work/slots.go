package work

import (
	"time"

	"oxbowsaddle/internal/route"
)

const (
	windowDecrease    = 0.6                   // factor at a refusal by the backend server
	windowIncrease    = 0.25                  // slots at an answer
	minWindow         = 1.0                   // slots
	initialMean       = 50 * time.Millisecond // mean service time before the first answer
	serviceTimeWeight = 0.1                   // of a new sample in the moving average
)

type (
	// slots tracks the granted slots of one endpoint. Its congestion window is increased
	// additively and decreased multiplicatively.
	slots struct {
		inFlight  int
		window    float64 // limit of inFlight, at most the endpoint's configured slots
		lastGrant uint64  // value of grants.grantCount
	}

	// grants tracks the slots of all endpoints of a service.
	grants struct {
		byEndpoint  map[uint32]*slots
		grantCount  uint64
		serviceTime time.Duration
	}
)

func newGrants() grants { return grants{byEndpoint: map[uint32]*slots{}, serviceTime: initialMean} }

func (g *grants) slotsOf(e *route.Endpoint) *slots {
	s := g.byEndpoint[e.ID()]
	if s == nil {
		s = &slots{window: float64(e.Slots())}
		g.byEndpoint[e.ID()] = s
	}
	s.window = min(s.window, float64(e.Slots()))
	return s
}

// free returns the number of free slots of an endpoint.
func (g *grants) free(e *route.Endpoint) int {
	s := g.slotsOf(e)
	return int(s.window) - s.inFlight
}

// anyFree reports whether any endpoint has a free slot.
func (g *grants) anyFree(endpoints []*route.Endpoint) bool {
	for _, e := range endpoints {
		if g.free(e) > 0 {
			return true
		}
	}
	return false
}

// choose returns the eligible endpoint with the most free slots, and among equals the
// least recently used one, or nil.
func (g *grants) choose(endpoints []*route.Endpoint, eligible func(*route.Endpoint) bool) *route.Endpoint {
	var best *route.Endpoint
	for _, e := range endpoints {
		if g.free(e) < 1 || !eligible(e) {
			continue
		}
		if best == nil || g.free(e) > g.free(best) || g.free(e) == g.free(best) && g.slotsOf(e).lastGrant < g.slotsOf(best).lastGrant {
			best = e
		}
	}
	return best
}

func (g *grants) take(e *route.Endpoint) {
	g.grantCount++
	s := g.slotsOf(e)
	s.inFlight++
	s.lastGrant = g.grantCount
}

func (g *grants) release(endpoint uint32) {
	if s := g.byEndpoint[endpoint]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
}

// recordAnswer increases the window of an endpoint and updates the mean service time.
func (g *grants) recordAnswer(endpoint uint32, took time.Duration) {
	if s := g.byEndpoint[endpoint]; s != nil {
		s.window += windowIncrease
	}
	g.serviceTime += time.Duration(serviceTimeWeight * float64(took-g.serviceTime))
}

// recordRefusal decreases the window of an endpoint that refused a request.
func (g *grants) recordRefusal(endpoint uint32) {
	if s := g.byEndpoint[endpoint]; s != nil {
		s.window = max(minWindow, s.window*windowDecrease)
	}
}

// capacity returns the sum of the endpoints' windows.
func (g *grants) capacity(endpoints []*route.Endpoint) float64 {
	var sum float64
	for _, e := range endpoints {
		sum += g.slotsOf(e).window
	}
	return sum
}
