package steer

import (
	"math"
	"net/netip"
	"time"
)

const (
	// shortDeviations is how many standard deviations of the logarithm of the size a response
	// must lie below the mean to count as short.
	shortDeviations = 3
	// minDeviation is the least standard deviation assumed, as all responses of a route may
	// have the same size.
	minDeviation = 0.2
	// minSizeSamples is how many responses of a route must be seen before any counts as short.
	minSizeSamples = 30
	// sizeWindow is the number of responses that the moving averages cover.
	sizeWindow = 64
	// maxShortFraction is the fraction of short responses above which they are taken for a
	// change of the whole service rather than for outliers.
	maxShortFraction = 0.3
)

// sizeStats holds the mean and variance of the logarithm of a route's response sizes. It
// assumes that most responses are successful; an entry that starts while many endpoints fail
// learns the size of their errors and leaves detection to others.
type sizeStats struct {
	count          int
	mean, variance float64
	shortFraction  float64 // moving average
}

// isShort reports whether a response is shorter than the usual ones.
func (st *sizeStats) isShort(bytes float64) bool {
	deviation := max(minDeviation, math.Sqrt(st.variance))
	return st.count >= minSizeSamples && math.Log(bytes) < st.mean-shortDeviations*deviation
}

// add adds a response to the averages.
func (st *sizeStats) add(bytes float64) {
	st.count++
	gain := 1 / float64(min(st.count, sizeWindow))
	offset := math.Log(bytes) - st.mean
	st.mean += gain * offset
	st.variance = (1 - gain) * (st.variance + gain*offset*offset)
}

// sizeStatsOf returns the response sizes of the route at an address.
func (s *Steerer) sizeStatsOf(addr netip.AddrPort) *sizeStats {
	st := s.sizeStats[addr]
	if st == nil {
		st = &sizeStats{}
		s.sizeStats[addr] = st
	}
	return st
}

// noteResponseSize handles the end of the response to a flow's last request; ack is the client's
// acknowledgement number there. A response that is short for its route is probably an error, and
// its endpoint is reported as an outlier. If many are short, the responses of the route have
// changed, and short ones are added to the averages too. Flows to other addresses than those of
// routes are left out, since a client may name any number of these.
func (s *Steerer) noteResponseSize(now time.Time, f *flow, ack uint32) {
	bytes := float64(int32(ack - f.responseStart))
	if s.routes[f.key.dst] == nil || f.requestAt.IsZero() || f.reassigned || bytes <= 1 {
		return
	}
	st := s.sizeStatsOf(f.key.dst)
	short := st.isShort(bytes)
	st.recordShort(short)
	if !short || st.shortFraction > maxShortFraction {
		st.add(bytes)
		return
	}
	s.reportOutlier(now, f.backend)
}

// recordShort updates the fraction of short responses.
func (st *sizeStats) recordShort(short bool) {
	sample := 0.0
	if short {
		sample = 1
	}
	st.shortFraction += (sample - st.shortFraction) / sizeWindow
}
