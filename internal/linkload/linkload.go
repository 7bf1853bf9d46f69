// Package linkload measures how much of its network link an entry uses. The package does no I/O,
// and takes the current time as an argument.
package linkload

import (
	"math"
	"time"
)

const (
	// window is the time constant of the measured rate. It is shorter than the queue that builds
	// up on a full link before packets are dropped.
	window = 200 * time.Millisecond
)

type (
	// Meter measures the bytes that an entry receives and sends. It is not safe for concurrent use.
	Meter struct {
		capacity float64 // bytes a second, for both directions together
		rate     float64 // bytes a second, exponentially weighted
		at       time.Time
	}
)

// New returns a Meter of a link with a capacity in bytes a second, 0 if unknown.
func New(capacity float64) *Meter { return &Meter{capacity: capacity} }

// Add counts a datagram with a payload of the given bytes that was received or sent. Headers below
// it do not count: on the platform, links filled up at the rate of the payloads.
func (m *Meter) Add(now time.Time, payload int) {
	m.rate, m.at = m.current(now)+float64(payload)/window.Seconds(), now
}

// Utilisation returns the used share of the capacity, 0 if the capacity is unknown.
func (m *Meter) Utilisation(now time.Time) float64 {
	if m.capacity <= 0 {
		return 0
	}
	return m.current(now) / m.capacity
}

// current returns the rate now.
func (m *Meter) current(now time.Time) float64 {
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return m.rate
	}
	return m.rate * math.Exp(-elapsed.Seconds()/window.Seconds())
}
