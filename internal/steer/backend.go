package steer

import (
	"time"

	"oxbowsaddle/internal/registry"
)

const (
	// unansweredToSuspect is how many opened flows in a row stay without an
	// answer before an endpoint is avoided: one may be a lost packet.
	unansweredToSuspect = 2
	// suspectFirst and suspectMost bound how long it is avoided before one
	// flow tries it again; the span doubles with each failure.
	suspectFirst = time.Second
	suspectMost  = 4 * time.Second
	// flowLoad is what an open flow counts beside a request in progress: a long
	// flow of a request a second that takes some 20 ms. From 0 to 0.025 it makes no
	// difference on three deployments; from 0.05 on it outweighs foreignLoad where
	// flows are long, and more of them cross failure domains.
	flowLoad = 0.02
	// coldLoad is what an endpoint that is still slow counts in addition.
	coldLoad = 0.3
	// foreignLoad is what an endpoint of another failure domain counts in
	// addition, and foreignBulkLoad where the answers are large.
	foreignLoad     = 0.4
	foreignBulkLoad = 1.0
)

// backend is an incarnation of an endpoint with what this entry saw of it.
type backend struct {
	registry.Endpoint
	tag       uint32
	part      uint64    // bit of its part of the digest
	sum       uint64    // as the digest has it, 0 before that
	startedAt time.Time // about when it started, by how often it was heard since
	warmUntil time.Time
	knownAt   time.Time // when this entry learned of it
	goneAt    time.Time
	leavingAt time.Time // when this entry learned that it leaves
	silent    bool      // by every control instance that knows it
	silentAt  time.Time // since when
	shadowed  bool      // another one has the same tag and comes first

	flows        int // remembered by this entry
	busy         int // requests of theirs that wait for the first byte of the answer
	unanswered   int // flows in a row that were not answered
	suspectFor   time.Duration
	suspectUntil time.Time

	reach   reach
	hung    hung
	answers *answers // of its service
	listing *listing // nil while new flows may not go to it
}

// answered takes the evidence that the endpoint answers; it reports whether
// the endpoint was under suspicion for flows that it had not answered.
func (b *backend) answered() bool {
	was := b.unanswered >= unansweredToSuspect
	b.unanswered, b.suspectFor, b.suspectUntil = 0, 0, time.Time{}
	return was
}

// leftUnanswered takes the evidence that it did not answer a flow; it reports
// whether the endpoint is avoided from now on.
func (b *backend) leftUnanswered(now time.Time) bool {
	b.unanswered++
	if b.unanswered < unansweredToSuspect || now.Before(b.suspectUntil) {
		return false
	}
	b.suspectFor = min(max(suspectFirst, 2*b.suspectFor), suspectMost)
	b.suspectUntil = now.Add(b.suspectFor)
	return true
}

// suspect reports whether flows avoid it, as long as there are others.
func (b *backend) suspect(now time.Time) bool {
	return b.silent || b.reach.lost || now.Before(b.suspectUntil)
}

// cold reports whether it is still slow, as far as it said.
func (b *backend) cold(now time.Time) bool { return now.Before(b.warmUntil) }

// open reports whether new flows may go to it at all.
func (b *backend) open() bool { return !b.Leaving && !b.Gone && !b.shadowed }

// load returns the share of its slots that is taken, as far as this entry
// sees it, with what speaks against it.
func (b *backend) load(now time.Time, domain string, bulk bool) float64 {
	load := (float64(b.busy) + flowLoad*float64(b.flows)) / float64(max(1, b.Slots))
	if b.cold(now) {
		load += coldLoad
	}
	if b.Domain != domain {
		load += foreignLoadOf(bulk)
	}
	return load
}

// foreignLoadOf returns what an endpoint of another failure domain counts in
// addition.
func foreignLoadOf(bulk bool) float64 {
	if bulk {
		return foreignBulkLoad
	}
	return foreignLoad
}

// forward returns the decision that sends a packet to the endpoint.
func (b *backend) forward(reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, To: b.Addr, Number: b.Number, Tag: b.tag, ID: b.ID}
}
