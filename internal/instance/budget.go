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
	// callOverheadBytes estimates the TCP, IP, DRPC and TLS headers of one direction of a call. A
	// heartbeat is charged for both directions when it is sent, so the headers of its reply count
	// whether or not there is one; the body of the reply is charged when it arrives. The
	// control instance that replies is charged nothing. Measured without TLS: 34 B of DRPC in a
	// request and 8 B in a reply, and 52 B for each of two TCP segments.
	callOverheadBytes = 180
	// budgetWindow is the period over which processor time is measured.
	budgetWindow = 2 * time.Second
	// maxCheckSlowdown limits the factor by which the health check interval grows.
	maxCheckSlowdown = 8
)

// budget limits the control traffic and the processor time of the control goroutines
// of an instance, and meters its memory. Above the byte limit, flow counts and endpoint
// loads are left out of heartbeats, and probes are skipped. Above the processor limit,
// health checks run less often. Heartbeats are never delayed, since they renew the
// lease.
type budget struct {
	bytes         *rate.Limiter
	countBytes    func(int64)
	countDelayed  func(int64)
	coreLimit     int    // thousandths of a processor core
	memoryLimit   uint64 // bytes
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
		bytes:        rate.NewLimiter(rate.Limit(l.ControlBytesPerSecond), l.ControlBytesPerSecond*burst),
		countBytes:   c.Counter("control_bytes").Inc,
		countDelayed: c.Counter("control_delayed").Inc,
		coreLimit:    l.CoreThousandths, memoryLimit: uint64(l.MemoryMegabytes) * megabyte,
		setCore: c.Gauge("control_core_thousandths").Update, setMemory: c.Gauge("memory_bytes").Update,
		countExceeded: c.Counter("budget_exceeded").Inc,
	}
	b.slowdown.Store(1)
	return b
}

// charge counts bytes that are sent regardless of the limit.
func (b *budget) charge(now time.Time, n int) {
	b.countBytes(int64(n))
	b.bytes.ReserveN(now, min(n, b.bytes.Burst()))
}

// tryCharge counts bytes and returns true if the limit allows them.
func (b *budget) tryCharge(now time.Time, n int) bool {
	if !b.bytes.AllowN(now, n) {
		b.countDelayed(1)
		return false
	}
	b.countBytes(int64(n))
	return true
}

// addBusy adds processing time of a control goroutine.
func (b *budget) addBusy(d time.Duration) { b.busyTime.Add(int64(d)) }

// checkSlowdown returns the current factor of the health check interval.
func (b *budget) checkSlowdown() time.Duration { return time.Duration(b.slowdown.Load()) }

// evaluate updates the gauges at the end of each window. It doubles the slowdown of
// health checks above the processor limit, and halves it below half of the limit.
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

// heapBytes returns the heap memory of live objects and of dead ones not yet swept.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
