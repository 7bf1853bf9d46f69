package node

import "golang.org/x/time/rate"

// logLimiter limits the rate of log lines of one kind and counts the dropped ones. It is not
// safe for concurrent use.
type logLimiter struct {
	limiter *rate.Limiter
	dropped uint64 // since the last allowed line
}

// newLogLimiter returns a limiter for the given rate in lines per second and burst.
func newLogLimiter(perSecond rate.Limit, burst int) *logLimiter {
	return &logLimiter{limiter: rate.NewLimiter(perSecond, burst)}
}

// allow reports whether a line may be logged, and how many were dropped since the previous
// one.
func (l *logLimiter) allow() (dropped uint64, allowed bool) {
	if !l.limiter.Allow() {
		l.dropped++
		return 0, false
	}
	dropped, l.dropped = l.dropped, 0
	return dropped, true
}
