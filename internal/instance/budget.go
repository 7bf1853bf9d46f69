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
	// callOverheadBytes is what one call costs on the wire beside its message: headers
	// of TCP, IP and drpc in both directions.
	callOverheadBytes = 180
	// budgetWindow is how long processor time is summed up before it is judged.
	budgetWindow = 2 * time.Second
	// maxCheckSlowdown is the factor by which health checks are slowed at most.
	maxCheckSlowdown = 8
)

// budget meters what an instance spends for control: bytes, processor time of
// its control goroutines, and memory. When bytes run short, counts and loads
// go along with fewer beats first, then probes; when processor time does,
// health checks go less often. Beats are never slowed: a lease hangs on them.
type budget struct {
	bytes         *rate.Limiter
	countBytes    func(int64)
	countDelayed  func(int64)
	coreLimit     int // thousandths
	memoryLimit   uint64
	busyTime      atomic.Int64
	slowdown      atomic.Int64
	evaluatedAt   time.Time
	setCore       func(int64)
	setMemory     func(int64)
	countExceeded func(int64)
}

func newBudget(l settings.Limits, c *telemetry.Counters) *budget {
	const burst, megabyte = 4, 1 << 20 // seconds, bytes
	b := &budget{
		bytes:        rate.NewLimiter(rate.Limit(l.ControlBytes), l.ControlBytes*burst),
		countBytes:   c.Counter("control_bytes").Inc,
		countDelayed: c.Counter("control_delayed").Inc,
		coreLimit:    l.CoreThousandths, memoryLimit: uint64(l.MemoryMegabytes) * megabyte,
		setCore: c.Gauge("control_core_thousandths").Update, setMemory: c.Gauge("memory_bytes").Update,
		countExceeded: c.Counter("budget_exceeded").Inc,
	}
	b.slowdown.Store(1)
	return b
}

// charge books bytes that are sent whatever the budget says.
func (b *budget) charge(now time.Time, n int) {
	b.countBytes(int64(n))
	b.bytes.ReserveN(now, min(n, b.bytes.Burst()))
}

// tryCharge books bytes if the budget allows them.
func (b *budget) tryCharge(now time.Time, n int) bool {
	if !b.bytes.AllowN(now, n) {
		b.countDelayed(1)
		return false
	}
	b.countBytes(int64(n))
	return true
}

// addBusy adds processor time of a control goroutine.
func (b *budget) addBusy(d time.Duration) { b.busyTime.Add(int64(d)) }

// checkSlowdown returns by which factor health checks are slowed now.
func (b *budget) checkSlowdown() time.Duration { return time.Duration(b.slowdown.Load()) }

// evaluate sums up a window: above the limit checks are slowed to half each
// time, below half of it they come back.
func (b *budget) evaluate(now time.Time, heap uint64) {
	if b.evaluatedAt.IsZero() {
		b.evaluatedAt = now
	}
	window := now.Sub(b.evaluatedAt)
	if window < budgetWindow {
		return
	}
	b.evaluatedAt = now
	used := int(b.busyTime.Swap(0) * 1000 / int64(window))
	b.setCore(int64(used))
	b.setMemory(int64(heap))
	if heap > b.memoryLimit {
		b.countExceeded(1)
	}
	factor := b.slowdown.Load()
	switch {
	case used > b.coreLimit:
		b.countExceeded(1)
		b.slowdown.Store(min(2*factor, maxCheckSlowdown))
	case used < b.coreLimit/2:
		b.slowdown.Store(max(factor/2, 1))
	}
}

// heapBytes returns the memory of live objects and of those not collected yet.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
