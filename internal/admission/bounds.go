package admission

import "oxbowsaddle/internal/wire"

// Bounds of a message. A datagram has room for some 3,000 holdings, and an entry that
// reports four times a second holds far less. Larger messages are refused, since an
// allocator must not spend its time on a faulty entry.
const (
	maxWanted    = 8
	maxName      = 256 // bytes of the name of an entry, a service or a failure domain
	maxHeld      = 4096
	maxReturned  = 1024 // also of declined endpoints
	maxCount     = 1 << 16
	maxResponses = 1 << 20
	// maxResponseNanos is one day per response, far above any timeout.
	maxResponseNanos = 24 * 3600 * 1_000_000_000
)

// withinBounds reports whether a message is one that an entry may send.
func withinBounds(r *wire.CreditRequest) bool {
	if r.GetNumber() == 0 || r.Entry == "" || r.Service == "" || r.Wanted > maxWanted {
		return false
	}
	if len(r.Entry) > maxName || len(r.Service) > maxName || len(r.Domain) > maxName {
		return false
	}
	if len(r.Held) > maxHeld || len(r.Returned) > maxReturned || len(r.Declined) > maxReturned {
		return false
	}
	for _, h := range r.Held {
		nanos, responses := h.GetResponseNanos(), h.GetResponses()
		if h.GetCount() > maxCount || responses > maxResponses {
			return false
		}
		if nanos < 0 || nanos/maxResponseNanos > int64(responses) {
			return false
		}
	}
	return true
}
