package steer

import "time"

const (
	// withinLeast and withinMost bound how long an endpoint has to accept a
	// connection. The least is for machines that are busy for a moment: hosts
	// accept connections on their own, in a fraction of it. The most stays below
	// the 200 ms after which callers repeat.
	withinLeast = 50 * time.Millisecond
	withinMost  = 180 * time.Millisecond
	// withinUnknown holds until a round trip was seen.
	withinUnknown = 100 * time.Millisecond
	// tripWeight and spreadWeight are the parts by which a round trip moves the
	// mean and the spread, and spreads how many spreads above the mean it may
	// take: as TCP estimates its time-out (RFC 6298). withinTrips is how many
	// such round trips an endpoint has.
	tripWeight   = 0.125
	spreadWeight = 0.25
	spreads      = 4
	withinTrips  = 4
)

// roundTrip estimates the time from an opening packet to its caller's next one:
// by an endpoint and a caller, so above that to the endpoint and back.
type roundTrip struct {
	mean, spread time.Duration
}

// add takes the time of one.
func (r *roundTrip) add(took time.Duration) {
	if r.mean == 0 {
		r.mean, r.spread = took, took/2
		return
	}
	off := took - r.mean
	r.spread += time.Duration(spreadWeight * float64(off.Abs()-r.spread))
	r.mean += time.Duration(tripWeight * float64(off))
}

// within returns how long a question may take; nil has seen nothing.
func (r *roundTrip) within() time.Duration {
	if r == nil {
		return withinUnknown
	}
	return min(max(withinLeast, withinTrips*(r.mean+spreads*r.spread)), withinMost)
}

// noteTrip takes how long the opening of a flow took.
func (s *Steerer) noteTrip(b *backend, took time.Duration) {
	trip := s.trips[b.Domain]
	if trip == nil {
		trip = &roundTrip{}
		s.trips[b.Domain] = trip
	}
	trip.add(took)
}
