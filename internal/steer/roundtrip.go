package steer

import "time"

const (
	// minProbeTimeout and withinMost bound how long an endpoint has to accept a
	// connection. The least is for machines that are busy for a moment: hosts
	// accept connections on their own, in a fraction of it. The most stays below
	// the 200 ms after which callers repeat.
	minProbeTimeout = 50 * time.Millisecond
	maxProbeTimeout = 180 * time.Millisecond
	// defaultProbeTimeout holds until a round trip was seen.
	defaultProbeTimeout = 100 * time.Millisecond
	// meanGain and spreadWeight are the parts by which a round trip moves the
	// mean and the spread, and spreads how many spreads above the mean it may
	// take: as TCP estimates its time-out (RFC 6298). withinTrips is how many
	// such round trips an endpoint has.
	meanGain          = 0.125
	deviationGain     = 0.25
	deviationFactor   = 4
	timeoutRoundTrips = 4
)

// roundTrip estimates the time from an opening packet to its caller's next one:
// by an endpoint and a caller, so above that to the endpoint and back.
type roundTrip struct {
	mean, deviation time.Duration
}

// add takes the time of one.
func (r *roundTrip) add(sample time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = sample, sample/2
		return
	}
	off := sample - r.mean
	r.deviation += time.Duration(deviationGain * float64(off.Abs()-r.deviation))
	r.mean += time.Duration(meanGain * float64(off))
}

// probeTimeout returns how long a question may take; nil has seen nothing.
func (r *roundTrip) probeTimeout() time.Duration {
	if r == nil {
		return defaultProbeTimeout
	}
	return min(max(minProbeTimeout, timeoutRoundTrips*(r.mean+deviationFactor*r.deviation)), maxProbeTimeout)
}

// noteRoundTrip takes how long the opening of a flow took.
func (s *Steerer) noteRoundTrip(b *backend, sample time.Duration) {
	estimate := s.roundTrips[b.Domain]
	if estimate == nil {
		estimate = &roundTrip{}
		s.roundTrips[b.Domain] = estimate
	}
	estimate.add(sample)
}
