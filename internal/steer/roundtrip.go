package steer

import "time"

const (
	// minProbeTimeout and maxProbeTimeout bound how long an endpoint has to accept a
	// connection. The minimum allows for hosts that are briefly busy; the maximum is below the
	// retransmission timeout of clients.
	minProbeTimeout = 50 * time.Millisecond
	maxProbeTimeout = 180 * time.Millisecond
	// defaultProbeTimeout applies until a round trip has been measured.
	defaultProbeTimeout = 100 * time.Millisecond
	// The round-trip time is estimated like TCP's retransmission timeout (RFC 6298): meanGain
	// and deviationGain are the weights of a new sample, and deviationFactor deviations are
	// added to the mean. A probe may take timeoutRoundTrips of these estimates.
	meanGain          = 0.125
	deviationGain     = 0.25
	deviationFactor   = 4
	timeoutRoundTrips = 4
)

// roundTrip estimates the time from a SYN to the client's next packet. It includes the round trip
// to the client, so it is an upper bound of the round trip to the endpoint.
type roundTrip struct {
	mean, deviation time.Duration
}

// add adds a sample to the estimate.
func (r *roundTrip) add(sample time.Duration) {
	if r.mean == 0 {
		r.mean, r.deviation = sample, sample/2
		return
	}
	off := sample - r.mean
	r.deviation += time.Duration(deviationGain * float64(off.Abs()-r.deviation))
	r.mean += time.Duration(meanGain * float64(off))
}

// probeTimeout returns the timeout of a probe; a nil receiver has no samples.
func (r *roundTrip) probeTimeout() time.Duration {
	if r == nil {
		return defaultProbeTimeout
	}
	return min(max(minProbeTimeout, timeoutRoundTrips*(r.mean+deviationFactor*r.deviation)), maxProbeTimeout)
}

// noteRoundTrip adds a sample for the endpoint's failure domain.
func (s *Steerer) noteRoundTrip(b *backend, sample time.Duration) {
	estimate := s.roundTrips[b.Domain]
	if estimate == nil {
		estimate = &roundTrip{}
		s.roundTrips[b.Domain] = estimate
	}
	estimate.add(sample)
}
