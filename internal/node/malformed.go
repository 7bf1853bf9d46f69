package node

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

const (
	// malformedLogRate and malformedLinesAtOnce bound the log lines about calls that
	// name no endpoint: whoever writes them may write many.
	malformedLogRate  = 1
	malformedLogBurst = 10
)

// malformedCalls counts calls that name no endpoint, by the field that is wrong.
type malformedCalls struct {
	mu      sync.Mutex
	byField map[string]uint64
	limiter *logLimiter
}

func newMalformedCalls() *malformedCalls {
	return &malformedCalls{byField: map[string]uint64{}, limiter: newLogLimiter(malformedLogRate, malformedLogBurst)}
}

// record counts one call. It reports whether it is logged, and how many were not since the
// last line.
func (m *malformedCalls) record(field string) (dropped uint64, allowed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byField[field]++
	return m.limiter.allow()
}

// metrics returns the counts.
func (m *malformedCalls) metrics() (all []metric) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, field := range slices.Sorted(maps.Keys(m.byField)) {
		all = append(all, metric{fmt.Sprintf("oxbowsaddle_calls_malformed_total{field=%q}", field), m.byField[field]})
	}
	return all
}
