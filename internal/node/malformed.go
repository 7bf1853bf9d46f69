package node

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

const (
	// malformedLogRate and malformedLogBurst limit the log lines about malformed calls, of
	// which a faulty endpoint may make many, in lines per second and lines.
	malformedLogRate  = 1
	malformedLogBurst = 10
)

// malformedCalls counts calls that do not identify an endpoint, by the malformed field.
type malformedCalls struct {
	mu      sync.Mutex
	byField map[string]uint64
	limiter *logLimiter
}

func newMalformedCalls() *malformedCalls {
	return &malformedCalls{byField: map[string]uint64{}, limiter: newLogLimiter(malformedLogRate, malformedLogBurst)}
}

// record counts a call. It reports whether the call may be logged, and how many log lines
// were dropped since the previous one.
func (m *malformedCalls) record(field string) (dropped uint64, allowed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byField[field]++
	return m.limiter.allow()
}

// metrics returns the counters by field.
func (m *malformedCalls) metrics() (all []metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, field := range slices.Sorted(maps.Keys(m.byField)) {
		all = append(all, metric{fmt.Sprintf("oxbowsaddle_calls_malformed_total{field=%q}", field), m.byField[field]})
	}
	return all
}
