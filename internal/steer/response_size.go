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
	// shortLeast is the least deviation, since answers of a route may be all alike.
	shortLeast = 0.2
	// sizesEnough answers of a route must have been seen before any counts as short.
	sizesEnough = 30
	// sizesOver is about how many answers the usual size is taken over.
	sizesOver = 64
	// shortMost is the part of a route's answers that may be short before that is no
	// outlier's doing: 14% of endpoints that fail are well below, a service that answers
	// otherwise as a whole above.
	shortMost = 0.3
)

// sizes is the usual size of a route's answers, by logarithm: it spreads evenly. It is
// learned while most are well: an entry that starts beside endpoints that fail takes
// their errors for usual, and leaves judging them to the others.
type sizes struct {
	seen           int
	mean, variance float64
	shortPart      float64 // of the last answers
}

// short reports whether an answer is shorter than any that is well.
func (z *sizes) short(bytes float64) bool {
	deviation := max(shortLeast, math.Sqrt(z.variance))
	return z.seen >= sizesEnough && math.Log(bytes) < z.mean-shortDeviations*deviation
}

// add takes an answer into the usual size.
func (z *sizes) add(bytes float64) {
	z.seen++
	part := 1 / float64(min(z.seen, sizesOver))
	away := math.Log(bytes) - z.mean
	z.mean += part * away
	z.variance = (1 - part) * (z.variance + part*away*away)
}

// sizesOf returns the usual size of the answers to requests to an address.
func (s *Steerer) sizesOf(addr netip.AddrPort) *sizes {
	z := s.sizes[addr]
	if z == nil {
		z = &sizes{}
		s.sizes[addr] = z
	}
	return z
}

// noteSize takes that the answer to a flow's last request has ended, at an
// acknowledgement of its caller. One that is short for its route, as an error is, is
// reported like a request that hangs; where many are, the route's answers have
// changed, and the usual size follows.
func (s *Steerer) noteSize(now time.Time, f *flow, ack uint32) {
	bytes := float64(int32(ack - f.answerFrom))
	if f.askedAt.IsZero() || f.moved || bytes <= 1 {
		return
	}
	z := s.sizesOf(f.key.dst)
	short := z.short(bytes)
	z.noteShort(short)
	if !short || z.shortPart > shortMost {
		z.add(bytes)
		return
	}
	s.reportOutlier(now, f.backend)
}

// noteShort takes whether an answer is short into the part of those that are.
func (z *sizes) noteShort(short bool) {
	is := 0.0
	if short {
		is = 1
	}
	z.shortPart += (is - z.shortPart) / sizesOver
}
