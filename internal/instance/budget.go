package instance

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/telemetry"
)

const (
	// perCall is what one call costs on the wire beside its message: headers
	// of TCP, IP and drpc in both directions.
	perCall = 180
	// busyWindow is how long processor time is summed up before it is judged.
	busyWindow = 2 * time.Second
	// slowest is the factor by which health checks are slowed at most.
	slowest = 8
)

// budget meters what an instance spends for control: bytes, processor time of
// its control goroutines, and memory. When bytes run short, counts and loads
// go along with fewer beats first, then probes; when processor time does,
// health checks go less often. Beats are never slowed: a lease hangs on them.
type budget struct {
	bytes     *rate.Limiter
	spent     func(int64)
	delayed   func(int64)
	core      int // thousandths
	memory    uint64
	busyTime  atomic.Int64
	slowdown  atomic.Int64
	judgedAt  time.Time
	coreGauge func(int64)
	memGauge  func(int64)
	over      func(int64)
}

func newBudget(l settings.Limits, c *telemetry.Counters) *budget {
	const burst, megabyte = 4, 1 << 20 // seconds, bytes
	b := &budget{
		bytes:   rate.NewLimiter(rate.Limit(l.ControlBytes), l.ControlBytes*burst),
		spent:   c.Counter("control_bytes").Inc,
		delayed: c.Counter("control_delayed").Inc,
		core:    l.CoreThousandths, memory: uint64(l.MemoryMegabytes) * megabyte,
		coreGauge: c.Gauge("control_core_thousandths").Update, memGauge: c.Gauge("memory_bytes").Update,
		over: c.Counter("budget_exceeded").Inc,
	}
	b.slowdown.Store(1)
	return b
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

// busy adds processor time of a control goroutine.
func (b *budget) busy(d time.Duration) { b.busyTime.Add(int64(d)) }

// slow returns by which factor health checks are slowed now.
func (b *budget) slow() time.Duration { return time.Duration(b.slowdown.Load()) }

// judge sums up a window: above the limit checks are slowed to half each
// time, below half of it they come back.
func (b *budget) judge(now time.Time, heap uint64) {
	if b.judgedAt.IsZero() {
		b.judgedAt = now
	}
	window := now.Sub(b.judgedAt)
	if window < busyWindow {
		return
	}
	b.judgedAt = now
	used := int(b.busyTime.Swap(0) * 1000 / int64(window))
	b.coreGauge(int64(used))
	b.memGauge(int64(heap))
	if heap > b.memory {
		b.over(1)
	}
	factor := b.slowdown.Load()
	switch {
	case used > b.core:
		b.over(1)
		b.slowdown.Store(min(2*factor, slowest))
	case used < b.core/2:
		b.slowdown.Store(max(factor/2, 1))
	}
}

// heapBytes returns the memory of live objects and of those not collected yet.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
