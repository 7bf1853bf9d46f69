package node

import (
	"fmt"
	"io"
	"sync/atomic"

	"oxbowsaddle/internal/steer"
)

// packetCounts counts packets by why they were treated as they were.
type packetCounts struct {
	byReason [steer.ReasonCount]atomic.Uint64
}

// add counts the packet that a decision is about.
func (c *packetCounts) add(d steer.Decision) { c.byReason[d.Reason].Add(1) }

// WriteMetrics writes the entry's counters and gauges, a line each.
func (e *Entry) WriteMetrics(w io.Writer) {
	for _, reason := range steer.Reasons() {
		fmt.Fprintf(w, "oxbowsaddle_packets_total{reason=%q} %d\n", reason, e.counts.byReason[reason].Load())
	}
	now := e.config.Now()
	e.mu.Lock()
	c := e.steerer.Counts(now)
	e.mu.Unlock()
	fmt.Fprintf(w, "oxbowsaddle_flows %d\noxbowsaddle_endpoints %d\noxbowsaddle_endpoints_silent %d\noxbowsaddle_endpoints_suspect %d\noxbowsaddle_document_version %d\n",
		c.Flows, c.Endpoints, c.Silent, c.Suspect, c.Version)
}

// WriteMetrics writes the control instance's gauges, a line each.
func (c *Control) WriteMetrics(w io.Writer) {
	s := c.Status()
	current := 0
	if s.Current {
		current = 1
	}
	fmt.Fprintf(w, "oxbowsaddle_log_term %d\noxbowsaddle_log_commit %d\noxbowsaddle_log_current %d\noxbowsaddle_voters %d\noxbowsaddle_document_version %d\n",
		s.Term, s.Commit, current, len(s.Voters), s.Version)
}
