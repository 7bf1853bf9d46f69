package steer

import (
	"time"

	"oxbowsaddle/internal/credit"
	"oxbowsaddle/internal/registry"
)

const (
	// suspectThreshold is how many consecutive flows must go unanswered before new flows avoid
	// an endpoint; a single one may be a lost packet.
	suspectThreshold = 2
	// minSuspectPeriod and maxSuspectPeriod bound how long new flows avoid a suspect endpoint.
	// The period doubles with each failure.
	minSuspectPeriod = time.Second
	maxSuspectPeriod = 4 * time.Second
	// openFlowLoad is the load of an idle open flow, relative to a request in progress. It is
	// much smaller than remotePenalty, so that idle flows alone don't push new flows to other
	// failure domains.
	openFlowLoad = 0.02
	// coldPenalty is the additional load of an endpoint that is still warming up.
	coldPenalty = 0.3
	// remotePenalty is the additional load of an endpoint in another failure domain, and
	// remoteBulkPenalty that on routes with large responses.
	remotePenalty     = 0.4
	remoteBulkPenalty = 1.0
)

// backend is an incarnation of an endpoint with the observations of this entry.
type backend struct {
	registry.Endpoint
	tag         uint32
	digestPart  uint64    // bit of the part of the digest that covers it
	sum         uint64    // checksum that the digest includes, 0 before the first
	startedAt   time.Time // estimated from the heartbeat sequence
	warmUntil   time.Time
	learnedAt   time.Time // when this entry first received a record of it
	goneAt      time.Time
	leavingAt   time.Time // when this entry learned that it is leaving
	silent      bool      // reported as silent by every control instance that knows it
	silentAt    time.Time // since when it is silent
	tagConflict bool      // another incarnation holds the same tag

	flows           int // tracked by this entry
	pendingRequests int // requests on these flows without a response
	failedOpens     int // consecutive flows without an answer
	suspectPeriod   time.Duration
	suspectUntil    time.Time

	reach     reachability
	ejection  ejection
	responses *responseCounts // counts of its service
	position  *poolPosition   // nil if it is in no pool
	holding   *credit.Holding // nil without admission control, or if it is in no pool
}

// clearFailures records that the endpoint answers. It reports whether the endpoint was suspect
// because of unanswered flows.
func (b *backend) clearFailures() bool {
	was := b.failedOpens >= suspectThreshold
	b.failedOpens, b.suspectPeriod, b.suspectUntil = 0, 0, time.Time{}
	return was
}

// recordFailedOpen records a flow that the endpoint did not answer. It reports whether new
// flows avoid the endpoint from now on.
func (b *backend) recordFailedOpen(now time.Time) bool {
	b.failedOpens++
	if b.failedOpens < suspectThreshold || now.Before(b.suspectUntil) {
		return false
	}
	b.suspectPeriod = min(max(minSuspectPeriod, 2*b.suspectPeriod), maxSuspectPeriod)
	b.suspectUntil = now.Add(b.suspectPeriod)
	return true
}

// isSuspect reports whether new flows avoid the endpoint while others are available.
func (b *backend) isSuspect(now time.Time) bool {
	return b.silent || b.reach.lost || now.Before(b.suspectUntil)
}

// isCold reports whether the endpoint is still warming up, according to its last report.
func (b *backend) isCold(now time.Time) bool { return now.Before(b.warmUntil) }

// acceptsFlows reports whether the endpoint can get new flows.
func (b *backend) acceptsFlows() bool { return !b.Leaving && !b.Gone && !b.tagConflict }

// load returns the share of the slots in use, as seen by this entry, plus penalties.
func (b *backend) load(now time.Time, domain string, bulk bool) float64 {
	load := (float64(b.pendingRequests) + openFlowLoad*float64(b.flows)) / float64(max(1, b.Slots))
	if b.isCold(now) {
		load += coldPenalty
	}
	if b.Domain != domain {
		load += remotePenaltyFor(bulk)
	}
	return load
}

// remotePenaltyFor returns the penalty of an endpoint in another failure domain.
func remotePenaltyFor(bulk bool) float64 {
	if bulk {
		return remoteBulkPenalty
	}
	return remotePenalty
}

// forward returns the decision to forward a packet to the endpoint.
func (b *backend) forward(reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, To: b.Addr, Number: b.Number, Tag: b.tag, ID: b.ID}
}
