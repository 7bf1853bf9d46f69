// Package steer decides how an entry, the load-balancer instance that receives packets of
// clients, forwards them. The SYN of a flow is placed on an endpoint according to the load and
// state of the endpoints. Every later packet carries a tag that identifies the endpoint, so any
// entry can forward it without per-flow state.
//
// The package does no I/O, and takes the current time as an argument. A Steerer is not safe for
// concurrent use.
package steer

import (
	"container/list"
	"math/rand/v2"
	"net/netip"
	"time"

	"oxbowsaddle/internal/credit"
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/registry"
)

const (
	// sweepInterval is how often unanswered and idle flows are checked.
	sweepInterval = 20 * time.Millisecond
	// purgeInterval is how often ended incarnations and dropped routes are purged.
	purgeInterval = time.Second
	// goneGracePeriod is how long packets are still forwarded to an endpoint that has been
	// reported as ended, since it may still answer them. After that their flows are reset.
	goneGracePeriod = 500 * time.Millisecond
	// reassignAttempt is the number of the SYN retransmission from which on another endpoint is
	// always tried.
	reassignAttempt = 2
)

type (
	// Config holds the static settings of a Steerer.
	Config struct {
		Domain            string        // failure domain of this entry
		MaxFlowAge        time.Duration // maximum age of a flow
		MaxFlows          int           // maximum number of tracked flows
		HeartbeatInterval time.Duration // heartbeat period of endpoints
		// OnSuspect is called when new flows start or stop avoiding an endpoint; may be nil.
		OnSuspect func(id string, suspect bool)
		// StartProbe starts a probe without blocking and reports whether it was started; the
		// outcome is passed to FinishProbe. If nil, endpoints are not probed.
		StartProbe func(Probe) bool
		// NotifyMiss notifies other entries, without blocking, that an endpoint missed a probe;
		// may be nil.
		NotifyMiss func(id string)
		// ReportOutlier reports, without blocking, an endpoint that leaves requests without an
		// answer or answers them with errors while others of its service respond; may be nil.
		ReportOutlier func(id string)
		// Admission configures admission control, nil to turn it off. Its Slots are set by New.
		Admission *credit.Config
	}

	// Steerer makes the forwarding decisions of one entry.
	Steerer struct {
		config   Config
		document *document.Document
		// evacuations holds the failure domains whose endpoints get no new flow.
		evacuations *evacuation.Set
		// coldRates holds the requests per second that a cold endpoint may carry, by service;
		// services without a limit are absent.
		coldRates map[string]float64
		routes    map[netip.AddrPort]*route
		dropped   map[netip.AddrPort]time.Time // time when each route was dropped
		byID      map[string]*backend
		byTag     map[uint32]*backend
		byAddr    map[netip.AddrPort][]*backend // incarnations by address
		pools     map[string]*pool              // by service
		reporters map[string]*reporter          // by name of the control instance
		synced    bool                          // a control instance has reported every endpoint
		digest    registry.Digest               // digest of byID

		flows           map[flowKey]*flow
		idleOrder       *list.List                    // tracked flows, least recently used first
		pendingOpens    *list.List                    // flows without a first answer, oldest first
		pendingRequests []pendingRequest              // oldest first
		responses       map[string]*responseCounts    // by service
		sizeStats       map[netip.AddrPort]*sizeStats // by address of the route
		nextSweep       time.Time                     // time of the next sweep
		nextPurge       time.Time                     // time of the next purge
		lost            map[*backend]bool             // backends that are out of reach
		outages         map[string]*outage            // by failure domain of the endpoint
		leaderSeenAt    time.Time                     // time of the last sign of the leader
		roundTrips      map[string]*roundTrip         // by failure domain of the endpoint
		lastResponseAt  time.Time                     // when any endpoint last answered
		randSource      *rand.PCG                     // source of random, reseeded for each flow that is placed
		random          *rand.Rand
		admission       *admission // nil if admission control is off
	}
)

// New returns a Steerer without a document and without endpoints.
func New(c Config) *Steerer {
	source, random := newRandom()
	s := &Steerer{
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
	if c.Admission != nil {
		s.enableAdmission(*c.Admission)
	}
	return s
}

// Decide returns what to do with a client's packet.
func (s *Steerer) Decide(now time.Time, p Packet) Decision {
	if !now.Before(s.nextSweep) {
		s.nextSweep = now.Add(sweepInterval)
		s.sweep(now)
	}
	if p.Flags.Has(SYN) {
		if !p.Opens() || p.Len > 0 {
			return Decision{Reason: Malformed}
		}
		d := s.openFlow(now, p)
		d.Version = s.Version()
		return d
	}
	return s.steerByTag(now, p)
}

// steerByTag forwards a packet of an established flow by its tag.
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
	if b.Gone && now.Sub(b.goneAt) > goneGracePeriod && !p.Flags.Has(RST) {
		s.removeFlow(f)
		return Decision{Action: Reset, Reason: EndpointGone, Seq: p.Ack, ID: b.ID}
	}
	if b.reach.lost && !b.Gone {
		return s.decideUnreachable(now, b, p)
	}
	return b.forward(reason)
}

// openFlow places a new flow, or forwards a retransmitted SYN.
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
	if f != nil {
		return s.replaceFlow(now, r, p, f)
	}
	if s.isHeld(p) {
		return Decision{Reason: AwaitingCredit}
	}
	if s.admission != nil {
		s.cancelHeld(p)
		if d, decided := s.admit(now, r, p); decided {
			return d
		}
	}
	return s.placeFlow(now, r, p)
}

// placeFlow places a new flow by the entry's own counts.
func (s *Steerer) placeFlow(now time.Time, r *route, p Packet) Decision {
	b := s.choose(now, r, p, nil, nil)
	switch {
	case b == nil && !s.synced:
		return Decision{Reason: NoTable}
	case b == nil:
		return Decision{Action: Reset, Reason: s.noEndpointReason(r)}
	}
	s.noteProbeFlow(now, b)
	s.trackOpening(now, p, b)
	return b.forward(Placed)
}

// replaceFlow sends a retransmitted SYN to another endpoint than the first, if there is one.
func (s *Steerer) replaceFlow(now time.Time, r *route, p Packet, f *flow) Decision {
	b := s.choose(now, r, p, f.backend, nil)
	switch {
	case b == nil && s.isExcluded(now, f.backend):
		// Not reset: the endpoint may have answered the first SYN, and the flow be established.
		return Decision{Reason: s.noEndpointReason(r), ID: f.backend.ID}
	case b == nil:
		return f.backend.forward(Repeated)
	}
	s.noteProbeFlow(now, b)
	s.reassign(now, f, b)
	return b.forward(Replaced)
}

// existingFlow returns the tracked flow that a SYN retransmits, or nil for a new flow. A flow
// of the same addresses with another initial sequence number is removed.
func (s *Steerer) existingFlow(p Packet) *flow {
	f := s.flows[flowKey{p.Src, p.Dst}]
	if f != nil && f.initialSeq != p.Seq {
		s.removeFlow(f)
		return nil
	}
	return f
}

// shouldReassign reports whether a retransmitted SYN goes to another endpoint: because new flows
// must not go to the first one or avoid it, or because enough retransmissions went unanswered.
func (s *Steerer) shouldReassign(now time.Time, f *flow, p Packet) bool {
	return !f.established && (p.Retransmission >= reassignAttempt || !s.isEligible(now, f.backend) || s.isAvoided(now, f.backend))
}
