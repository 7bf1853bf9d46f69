package credit

import (
	"maps"
	"net/netip"
	"time"
)

const (
	// byteRate and byteBurst limit what an entry sends to allocators, in bytes a second and at
	// once, headers included. A request has about 110 bytes, and a list 20 more for each endpoint.
	byteRate  = 2600
	byteBurst = 3000
	// requestBytes is what a request must be expected to take.
	requestBytes = 110
	// returningPeriod is how long a client counts as returning after a rejection.
	returningPeriod = 2 * time.Second
	// retryShare is how many requests for returning clients are sent for each request for a
	// first-time client, at most; maxRetryCredit bounds what can be saved up.
	retryShare     = 0.5
	maxRetryCredit = 10
	// maxReturning bounds the clients that are remembered.
	maxReturning = 20_000
)

type (
	// bucket is a token bucket of bytes.
	bucket struct {
		tokens float64
		at     time.Time
	}

	// retryBudget bounds the requests for clients that were rejected a moment ago.
	retryBudget struct {
		rejected map[netip.Addr]time.Time
		credit   float64
		purgeAt  time.Time
	}
)

func newBucket() bucket { return bucket{tokens: byteBurst} }

// allows reports whether a request may be sent that leaves the reserve untouched.
func (b *bucket) allows(now time.Time, reserve float64) bool {
	if !b.at.IsZero() {
		b.tokens = min(byteBurst, b.tokens+byteRate*now.Sub(b.at).Seconds())
	}
	b.at = now
	return b.tokens >= requestBytes+reserve
}

// spend takes the bytes of a message that was sent. A long list may overdraw the bucket.
func (b *bucket) spend(bytes int) { b.tokens -= float64(bytes) }

// isReturning reports whether a client was rejected less than returningPeriod ago.
func (r *retryBudget) isReturning(now time.Time, client netip.Addr) bool {
	at, ok := r.rejected[client]
	return ok && now.Sub(at) < returningPeriod
}

// noteRejected records that a client was rejected. Old records are purged once in
// returningPeriod, also if there are so many that further clients are not remembered.
func (r *retryBudget) noteRejected(now time.Time, client netip.Addr) {
	if r.rejected == nil {
		r.rejected = map[netip.Addr]time.Time{}
	}
	if !now.Before(r.purgeAt) {
		r.purgeAt = now.Add(returningPeriod)
		maps.DeleteFunc(r.rejected, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) >= returningPeriod })
	}
	if len(r.rejected) < maxReturning {
		r.rejected[client] = now
	}
}

// earn adds the share of one request for a first-time client.
func (r *retryBudget) earn() { r.credit = min(maxRetryCredit, r.credit+retryShare) }

// allow reports whether a request for a returning client may be sent, and takes it from the
// budget.
func (r *retryBudget) allow() bool {
	if r.credit < 1 {
		return false
	}
	r.credit--
	return true
}
