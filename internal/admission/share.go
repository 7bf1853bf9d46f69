package admission

import "time"

const (
	// levels is how many priorities are told apart; lower ones count as the lowest of
	// these.
	levels = 16
	// window is the time over which requests and grants of a priority count.
	window = time.Second
	// step is the resolution of the window.
	step = 100 * time.Millisecond
	// keptShare is the part of the grants that a lower priority keeps, as a divisor.
	keptShare = 10
)

// shares counts the grants of each priority in the last second, and knows which
// priorities asked.
type shares struct {
	steps [window / step][levels]uint32
	sums  [levels]uint32
	total uint32
	at    int64 // the last step, since 1970
	asked [levels]time.Time
}

// level returns the level of a priority, 0 for the highest.
func level(priority int32) int { return int(min(max(priority, 0), levels-1)) }

// ask records a request and reports whether its priority has the highest priority's
// limits: no higher one asked in the last second, or it got under a tenth of the grants.
func (s *shares) ask(now time.Time, level int) bool {
	s.advance(now)
	s.asked[level] = now
	if keptShare*s.sums[level] < s.total {
		return true
	}
	for higher := range level {
		if now.Sub(s.asked[higher]) < window {
			return false
		}
	}
	return true
}

// grant records a credit granted.
func (s *shares) grant(now time.Time, level int) {
	s.advance(now)
	s.steps[s.at%int64(len(s.steps))][level]++
	s.sums[level]++
	s.total++
}

// advance drops the steps that have left the window.
func (s *shares) advance(now time.Time) {
	current := now.UnixNano() / int64(step)
	if current <= s.at {
		return
	}
	first := max(s.at+1, current-int64(len(s.steps))+1)
	for at := first; at <= current; at++ {
		old := &s.steps[at%int64(len(s.steps))]
		for l, n := range old {
			s.sums[l] -= n
			s.total -= n
		}
		*old = [levels]uint32{}
	}
	s.at = current
}
