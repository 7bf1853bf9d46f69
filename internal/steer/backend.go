package steer

import (
	"time"

	"oxbowsaddle/internal/registry"
)

const (
	// suspectThreshold is how many opened flows in a row stay without an
	// answer before an endpoint is avoided: one may be a lost packet.
	suspectThreshold = 2
	// minSuspectPeriod and suspectMost bound how long it is avoided before one
	// flow tries it again; the span doubles with each failure.
	minSuspectPeriod = time.Second
	maxSuspectPeriod = 4 * time.Second
	// openFlowLoad is what an open flow counts beside a request in progress: a long
	// flow of a request a second that takes some 20 ms. From 0 to 0.025 it makes no
	// difference on three deployments; from 0.05 on it outweighs foreignLoad where
	// flows are long, and more of them cross failure domains.
	openFlowLoad = 0.02
	// coldPenalty is what an endpoint that is still slow counts in addition.
	coldPenalty = 0.3
	// remotePenalty is what an endpoint of another failure domain counts in
	// addition, and foreignBulkLoad where the answers are large.
	remotePenalty     = 0.4
	remoteBulkPenalty = 1.0
)

// backend is an incarnation of an endpoint with what this entry saw of it.
type backend struct {
	registry.Endpoint
	tag         uint32
	digestPart  uint64    // bit of its part of the digest
	sum         uint64    // as the digest has it, 0 before that
	startedAt   time.Time // about when it started, by how often it was heard since
	warmUntil   time.Time
	learnedAt   time.Time // when this entry learned of it
	goneAt      time.Time
	leavingAt   time.Time // when this entry learned that it leaves
	silent      bool      // by every control instance that knows it
	silentAt    time.Time // since when
	tagConflict bool      // another one has the same tag and comes first

	flows           int // remembered by this entry
	pendingRequests int // requests of theirs that wait for the first byte of the answer
	failedOpens     int // flows in a row that were not answered
	suspectPeriod   time.Duration
	suspectUntil    time.Time

	reach     reachability
	ejection  ejection
	responses *responseCounts // of its service
	position  *poolPosition   // nil while new flows may not go to it
}

// clearFailures takes the evidence that the endpoint answers; it reports whether
// the endpoint was under suspicion for flows that it had not clearFailures.
func (b *backend) clearFailures() bool {
	was := b.failedOpens >= suspectThreshold
	b.failedOpens, b.suspectPeriod, b.suspectUntil = 0, 0, time.Time{}
	return was
}

// recordFailedOpen takes the evidence that it did not answer a flow; it reports
// whether the endpoint is avoided from now on.
func (b *backend) recordFailedOpen(now time.Time) bool {
	b.failedOpens++
	if b.failedOpens < suspectThreshold || now.Before(b.suspectUntil) {
		return false
	}
	b.suspectPeriod = min(max(minSuspectPeriod, 2*b.suspectPeriod), maxSuspectPeriod)
	b.suspectUntil = now.Add(b.suspectPeriod)
	return true
}

// isSuspect reports whether flows avoid it, as long as there are others.
func (b *backend) isSuspect(now time.Time) bool {
	return b.silent || b.reach.lost || now.Before(b.suspectUntil)
}

// isCold reports whether it is still slow, as far as it said.
func (b *backend) isCold(now time.Time) bool { return now.Before(b.warmUntil) }

// acceptsFlows reports whether new flows may go to it at all.
func (b *backend) acceptsFlows() bool { return !b.Leaving && !b.Gone && !b.tagConflict }

// load returns the share of its slots that is taken, as far as this entry
// sees it, with what speaks against it.
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

// remotePenaltyFor returns what an endpoint of another failure domain counts in
// addition.
func remotePenaltyFor(bulk bool) float64 {
	if bulk {
		return remoteBulkPenalty
	}
	return remotePenalty
}

// forward returns the decision that sends a packet to the endpoint.
func (b *backend) forward(reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, To: b.Addr, Number: b.Number, Tag: b.tag, ID: b.ID}
}
