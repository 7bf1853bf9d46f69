package node

import "golang.org/x/time/rate"

// lineBound bounds the log lines of one kind, and counts those that are left out. One
// goroutine at a time uses it.
type lineBound struct {
	limiter *rate.Limiter
	leftOut uint64 // since the last line
}

// newLineBound returns one that lets so many lines through a second, and at once.
func newLineBound(perSecond rate.Limit, atOnce int) *lineBound {
	return &lineBound{limiter: rate.NewLimiter(perSecond, atOnce)}
}

// take reports whether a line is logged, and how many were left out since the last one.
func (b *lineBound) take() (leftOut uint64, logged bool) {
	if !b.limiter.Allow() {
		b.leftOut++
		return 0, false
	}
	leftOut, b.leftOut = b.leftOut, 0
	return leftOut, true
}
