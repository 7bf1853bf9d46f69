package instance

import (
	"time"

	"golang.org/x/time/rate"

	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/telemetry"
)

// perCall is what one call costs on the wire beside its message: headers of
// TCP, IP and drpc in both directions.
const perCall = 180

// budget meters the bytes that an instance spends for control. When they run
// short, reports of counts and loads go less often first, then probes; beats
// are never slowed, since a lease hangs on them.
type budget struct {
	bytes   *rate.Limiter
	spent   func(int64)
	delayed func(int64)
}

func newBudget(l settings.Limits, c *telemetry.Counters) *budget {
	const burst = 4 // seconds
	return &budget{
		bytes:   rate.NewLimiter(rate.Limit(l.ControlBytes), l.ControlBytes*burst),
		spent:   c.Counter("control_bytes").Inc,
		delayed: c.Counter("control_delayed").Inc,
	}
}

// must books bytes that are sent whatever the budget says.
func (b *budget) must(now time.Time, n int) {
	b.spent(int64(n))
	b.bytes.ReserveN(now, min(n, b.bytes.Burst()))
}

// may books bytes if the budget allows them.
func (b *budget) may(now time.Time, n int) bool {
	if !b.bytes.AllowN(now, n) {
		b.delayed(1)
		return false
	}
	b.spent(int64(n))
	return true
}
