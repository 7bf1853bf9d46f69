package node

import (
	"fmt"
	"maps"
	"slices"
	"sync"
)

const (
	// malformedLinesPerSecond and malformedLinesAtOnce bound the log lines about calls that
	// name no endpoint: whoever writes them may write many.
	malformedLinesPerSecond = 1
	malformedLinesAtOnce    = 10
)

// malformedCalls counts calls that name no endpoint, by the field that is wrong.
type malformedCalls struct {
	mu      sync.Mutex
	byField map[string]uint64
	lines   *lineBound
}

func newMalformedCalls() *malformedCalls {
	return &malformedCalls{byField: map[string]uint64{}, lines: newLineBound(malformedLinesPerSecond, malformedLinesAtOnce)}
}

// take counts one call. It reports whether it is logged, and how many were not since the
// last line.
func (m *malformedCalls) take(field string) (leftOut uint64, logged bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byField[field]++
	return m.lines.take()
}

// figures returns the counts.
func (m *malformedCalls) figures() (all []figure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, field := range slices.Sorted(maps.Keys(m.byField)) {
		all = append(all, figure{fmt.Sprintf("oxbowsaddle_calls_malformed_total{field=%q}", field), m.byField[field]})
	}
	return all
}
