package steer

import (
	"math"
	"net/netip"
	"time"
)

const (
	// shortDeviations is how far below the usual size of a route's answers, in standard
	// deviations of its logarithm, an answer counts as short: one of 700 by chance.
	// Answers that are errors had 177 to 183 bytes where others had 804 (a flow each) or
	// 2,700 (long flows).
	shortDeviations = 3
	// minDeviation is the least deviation, since answers of a route may be all alike.
	minDeviation = 0.2
	// minSizeSamples answers of a route must have been seen before any counts as short.
	minSizeSamples = 30
	// sizeWindow is about how many answers the usual size is taken over.
	sizeWindow = 64
	// maxShortFraction is the part of a route's answers that may be short before that is no
	// outlier's doing: 14% of endpoints that fail are well below, a service that answers
	// otherwise as a whole above.
	maxShortFraction = 0.3
)

// sizeStats is the usual size of a route's answers, by logarithm: it spreads evenly. It is
// learned while most are well: an entry that starts beside endpoints that fail takes
// their errors for usual, and leaves judging them to the others.
type sizeStats struct {
	count          int
	mean, variance float64
	shortFraction  float64 // of the last answers
}

// isShort reports whether an answer is shorter than any that is well.
func (st *sizeStats) isShort(bytes float64) bool {
	deviation := max(minDeviation, math.Sqrt(st.variance))
	return st.count >= minSizeSamples && math.Log(bytes) < st.mean-shortDeviations*deviation
}

// add takes an answer into the usual size.
func (st *sizeStats) add(bytes float64) {
	st.count++
	gain := 1 / float64(min(st.count, sizeWindow))
	offset := math.Log(bytes) - st.mean
	st.mean += gain * offset
	st.variance = (1 - gain) * (st.variance + gain*offset*offset)
}

// sizeStatsOf returns the usual size of the answers to requests to an address.
func (s *Steerer) sizeStatsOf(addr netip.AddrPort) *sizeStats {
	st := s.sizeStats[addr]
	if st == nil {
		st = &sizeStats{}
		s.sizeStats[addr] = st
	}
	return st
}

// noteResponseSize takes that the answer to a flow's last request has ended, at an
// acknowledgement of its caller. One that is short for its route, as an error is, is
// reported like a request that hangs; where many are, the route's answers have
// changed, and the usual size follows.
func (s *Steerer) noteResponseSize(now time.Time, f *flow, ack uint32) {
	bytes := float64(int32(ack - f.responseStart))
	if f.requestAt.IsZero() || f.reassigned || bytes <= 1 {
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

// recordShort takes whether an answer is short into the part of those that are.
func (st *sizeStats) recordShort(short bool) {
	sample := 0.0
	if short {
		sample = 1
	}
	st.shortFraction += (sample - st.shortFraction) / sizeWindow
}
