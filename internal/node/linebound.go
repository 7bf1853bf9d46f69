package node

import "golang.org/x/time/rate"

// logLimiter bounds the log lines of one kind, and counts those that are left out. One
// goroutine at a time uses it.
type logLimiter struct {
	limiter *rate.Limiter
	dropped uint64 // since the last line
}

// newLogLimiter returns one that lets so many lines through a second, and at once.
func newLogLimiter(perSecond rate.Limit, burst int) *logLimiter {
	return &logLimiter{limiter: rate.NewLimiter(perSecond, burst)}
}

// allow reports whether a line is logged, and how many were left out since the last one.
func (b *logLimiter) allow() (dropped uint64, allowed bool) {
	if !b.limiter.Allow() {
		b.dropped++
		return 0, false
	}
	dropped, b.dropped = b.dropped, 0
	return dropped, true
}
