package node

import (
	"fmt"
	"io"
	"sync/atomic"

	"oxbowsaddle/internal/steer"
)

type (
	// packetCounts counts packets by the reason of the decision on them.
	packetCounts struct {
		byReason [steer.ReasonCount]atomic.Uint64
	}

	// probeOutcomeCounts counts probes of endpoints by outcome.
	probeOutcomeCounts struct {
		byOutcome [steer.OutcomeCount]atomic.Uint64
	}

	// announcementCounts counts received announcements of control instances.
	announcementCounts struct {
		received, malformed atomic.Uint64
	}

	// metric is the value of a counter or gauge. The name includes the labels.
	metric struct {
		name  string
		value uint64
	}
)

// add counts the packet that a decision was made on.
func (c *packetCounts) add(d steer.Decision) { c.byReason[d.Reason].Add(1) }

// writeMetrics writes one line per metric.
func writeMetrics(w io.Writer, metrics []metric) {
	for _, m := range metrics {
		fmt.Fprintf(w, "%s %d\n", m.name, m.value)
	}
}

// WriteMetrics writes the counters, gauges and timings of the entry, one per line.
func (e *Entry) WriteMetrics(w io.Writer) {
	writeMetrics(w, e.metrics())
	e.timings.writeText(w)
	if e.admission != nil {
		e.admission.wait.WriteText(w)
	}
}

// metrics returns the counters and gauges of the entry.
func (e *Entry) metrics() []metric {
	var all []metric
	for _, reason := range steer.Reasons() {
		all = append(all, metric{fmt.Sprintf("oxbowsaddle_packets_total{reason=%q}", reason), e.counts.byReason[reason].Load()})
	}
	for outcome := range steer.OutcomeCount {
		all = append(all, metric{fmt.Sprintf("oxbowsaddle_questions_total{outcome=%q}", outcome), e.probeOutcomes.byOutcome[outcome].Load()})
	}
	if e.admission != nil {
		all = append(all, e.admission.metrics()...)
	}
	now := e.config.Now()
	e.mu.Lock()
	c, evacuations := e.steerer.Counts(now), e.steerer.Evacuations()
	e.mu.Unlock()
	return append(all,
		metric{"oxbowsaddle_flows", uint64(c.Flows)},
		metric{"oxbowsaddle_endpoints", uint64(c.Endpoints)},
		metric{"oxbowsaddle_endpoints_silent", uint64(c.Silent)},
		metric{"oxbowsaddle_endpoints_suspect", uint64(c.Suspect)},
		metric{"oxbowsaddle_endpoints_lost", uint64(c.Lost)},
		metric{"oxbowsaddle_endpoints_hung", uint64(c.Ejected)},
		metric{"oxbowsaddle_announcements_total", e.announcements.received.Load()},
		metric{"oxbowsaddle_announcements_malformed_total", e.announcements.malformed.Load()},
		metric{"oxbowsaddle_document_version", c.Version},
		metric{"oxbowsaddle_domains_evacuated", uint64(len(evacuations.Domains()))},
		metric{"oxbowsaddle_evacuations_revision", evacuations.Revision()},
	)
}

// WriteMetrics writes the counters, gauges and timings of the control instance, one per line.
func (c *Control) WriteMetrics(w io.Writer) {
	writeMetrics(w, c.metrics())
	c.timings.writeText(w)
}

// metrics returns the counters and gauges of the control instance.
func (c *Control) metrics() []metric {
	s := c.Status()
	current := uint64(0)
	if s.Current {
		current = 1
	}
	all := append([]metric{
		{"oxbowsaddle_log_term", s.Term},
		{"oxbowsaddle_log_commit", s.Commit},
		{"oxbowsaddle_log_current", current},
		{"oxbowsaddle_voters", uint64(len(s.Voters))},
		{"oxbowsaddle_calls_waiting", uint64(len(c.calls))},
		{"oxbowsaddle_entries", uint64(c.entries.count())},
		{"oxbowsaddle_entries_remembered", uint64(c.announceTargets.count())},
		{"oxbowsaddle_document_version", s.Version},
		{"oxbowsaddle_domains_evacuated", uint64(len(s.Evacuations.Domains()))},
		{"oxbowsaddle_evacuations_revision", s.Evacuations.Revision()},
	}, c.malformed.metrics()...)
	if c.allocation != nil {
		all = append(all, c.allocation.metrics(c.config.Now())...)
	}
	return all
}
