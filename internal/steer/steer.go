// Package steer decides where an entry sends the packets of a fabric that
// carries a tag with each flow: the opening packet of a flow is placed once by
// what is known of the endpoints, and every later packet goes by its tag
// alone, at any entry, with no record and no message. The package has no I/O,
// and now is an argument. One goroutine at a time uses a Steerer.
package steer

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/registry"
)

const (
	// sweepInterval is how often unanswered and resting flows are looked for.
	sweepInterval = 20 * time.Millisecond
	// purgeInterval is how often incarnations that ended, and routes that were
	// dropped, long ago are looked for.
	purgeInterval = time.Second
	// goneGracePeriod is how long ago an endpoint must have ended before packets of
	// its flows are answered by a reset: until then it may still answer.
	goneGracePeriod = 500 * time.Millisecond
	// reassignAttempt is the repetition of an opening packet that goes elsewhere
	// even though nothing else speaks against the first endpoint.
	reassignAttempt = 2
)

type (
	// Config sets what a Steerer cannot learn.
	Config struct {
		Domain   string        // failure domain of this entry
		MaxFlow  time.Duration // no flow is older
		MaxFlows int           // records of flows that are kept for balance
		Beat     time.Duration // an endpoint's heartbeat period
		// Suspected is called when an endpoint is avoided from now on, or no
		// longer; nil where nobody listens.
		Suspected func(id string, suspect bool)
		// Ask has a question asked, without waiting; its outcome comes to
		// Answered. It reports false where it is not asked; nil where nobody asks.
		Ask func(Question) bool
		// Tell has other entries told that an endpoint left a question without an
		// answer; it does not wait. Nil where nobody is told.
		Tell func(id string)
		// Hung has it reported that an endpoint does not answer a request that it took,
		// or by an error, while others of its service answer; it does not wait. Nil
		// where nobody listens.
		Hung func(id string)
	}

	// Steerer decides for one entry.
	Steerer struct {
		config   Config
		document *document.Document
		// evacuations are the failure domains to whose endpoints no new flow goes.
		evacuations *evacuation.Set
		// coldRates are, by service, how many requests a second a cold endpoint carries;
		// services without a bound are not in it.
		coldRates map[string]float64
		routes    map[netip.AddrPort]*route
		dropped   map[netip.AddrPort]time.Time // when a route that was in force went
		byID      map[string]*backend
		byTag     map[uint32]*backend
		byAddr    map[netip.AddrPort][]*backend // the incarnations that claim each address
		pools     map[string]*pool              // by service
		reporters map[string]*reporter          // by control instance
		synced    bool                          // a control instance has reported every endpoint
		digest    registry.Digest               // of byID

		flows           map[flowKey]*flow
		idleOrder       *list.List                    // flows, the longest at rest first
		pendingOpens    *list.List                    // flows not answered yet, the oldest first
		pendingRequests []pendingRequest              // requests, the oldest first
		responses       map[string]*responseCounts    // by service
		sizeStats       map[netip.AddrPort]*sizeStats // of answers, by address of the route
		nextSweep       time.Time                     // of the next sweep
		nextPurge       time.Time                     // of the next forgetEnded and forgetDropped
		lost            map[*backend]bool             // those out of reach
		outages         map[string]*outage            // by failure domain of endpoints
		leaderSeenAt    time.Time                     // when a control instance last said that it leads
		roundTrips      map[string]*roundTrip         // by failure domain of endpoints
		lastResponseAt  time.Time                     // when any endpoint was last seen to answer
		randSource      *rand.PCG                     // of random; seeded for each flow that is placed
		random          *rand.Rand
	}
)

// New returns a Steerer that knows nothing yet.
func New(c Config) *Steerer {
	source, random := newRandom()
	return &Steerer{
		config:       c,
		dropped:      map[netip.AddrPort]time.Time{},
		byID:         map[string]*backend{},
		byTag:        map[uint32]*backend{},
		byAddr:       map[netip.AddrPort][]*backend{},
		pools:        map[string]*pool{},
		reporters:    map[string]*reporter{},
		flows:        map[flowKey]*flow{},
		idleOrder:    list.New(),
		pendingOpens: list.New(),
		responses:    map[string]*responseCounts{},
		sizeStats:    map[netip.AddrPort]*sizeStats{},
		lost:         map[*backend]bool{},
		outages:      map[string]*outage{},
		roundTrips:   map[string]*roundTrip{},
		randSource:   source,
		random:       random,
	}
}

// Decide says what to do with a caller's packet.
func (s *Steerer) Decide(now time.Time, p Packet) Decision {
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(sweepInterval)
		s.sweep(now)
	}
	if p.Flags.Has(Syn) {
		if !p.Opens() || p.Len > 0 {
			return Decision{Reason: Malformed}
		}
		d := s.openFlow(now, p)
		d.Version = s.Version()
		return d
	}
	return s.steerByTag(now, p)
}

// steerByTag sends a packet of an open flow by its tag.
func (s *Steerer) steerByTag(now time.Time, p Packet) Decision {
	f := s.flows[flowKey{p.Src, p.Dst}]
	if _, dropped := s.dropped[p.Dst]; dropped {
		s.removeFlow(f)
		return Decision{Action: Reset, Reason: RouteDropped, Seq: p.Ack}
	}
	b, reason := s.byTag[p.Tag], Steered
	if f == nil && b != nil && p.Len > 0 {
		f = s.trackEstablished(now, p, b)
	}
	if f != nil {
		if f.reassigned && f.established {
			b, reason = f.backend, Corrected
		}
		s.observe(now, f, b, p)
	}
	if b == nil {
		return Decision{Reason: UnknownTag}
	}
	if b.Gone && now.Sub(b.goneAt) > goneGracePeriod && !p.Flags.Has(Rst) {
		s.removeFlow(f)
		return Decision{Action: Reset, Reason: EndpointGone, Seq: p.Ack, ID: b.ID}
	}
	if b.reach.lost && !b.Gone {
		return s.decideUnreachable(now, b, p)
	}
	return b.forward(reason)
}

// openFlow places a new flow, or sends a copy after its first packet.
func (s *Steerer) openFlow(now time.Time, p Packet) Decision {
	if s.document == nil {
		return Decision{Reason: NoTable}
	}
	r := s.routes[p.Dst]
	if r == nil {
		return Decision{Action: Reset, Reason: NoRoute, Seq: p.Ack}
	}
	f := s.existingFlow(p)
	if f != nil && !s.shouldReassign(now, f, p) {
		return f.backend.forward(Repeated)
	}
	var avoid *backend
	if f != nil {
		avoid = f.backend
	}
	b := s.choose(now, r, p, avoid, nil)
	switch {
	case b == nil && f != nil && s.isExcluded(now, f.backend):
		// Not reset: its endpoint may have answered the first packet, and the flow be open.
		return Decision{Reason: s.noEndpointReason(r), ID: f.backend.ID}
	case b == nil && f != nil:
		return f.backend.forward(Repeated)
	case b == nil && !s.synced:
		return Decision{Reason: NoTable}
	case b == nil:
		return Decision{Action: Reset, Reason: s.noEndpointReason(r)}
	case f != nil:
		s.noteProbeFlow(now, b)
		s.reassign(now, f, b)
		return b.forward(Replaced)
	}
	s.noteProbeFlow(now, b)
	s.trackOpening(now, p, b)
	return b.forward(Placed)
}

// existingFlow returns the flow that an opening packet is a copy for, nil where it is
// the first one; a flow between the same addresses that began otherwise ends.
func (s *Steerer) existingFlow(p Packet) *flow {
	f := s.flows[flowKey{p.Src, p.Dst}]
	if f != nil && f.initialSeq != p.Seq {
		s.removeFlow(f)
		return nil
	}
	return f
}

// shouldReassign reports whether a copy goes to another endpoint: there is evidence
// that the first one is silent, or it is the last copy.
func (s *Steerer) shouldReassign(now time.Time, f *flow, p Packet) bool {
	return !f.established && (p.Copy >= reassignAttempt || !s.isEligible(now, f.backend) || s.isAvoided(now, f.backend))
}
