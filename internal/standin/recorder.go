package standin

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Ledger counts what callers and backend servers see, independently of the
	// load balancer, to detect violated guarantees.
	Ledger struct {
		mu              sync.Mutex
		now             func() time.Time
		counts          Counts
		executions      map[string]int                     // of requests, by token
		reportedNotRun  map[string]bool                    // tokens of requests whose callers were told that they didn't run
		nonRepeatable   map[string]bool                    // tokens of requests that may run only once
		latency         map[string]*hdrhistogram.Histogram // in microseconds, by class
		accepted        map[string]int                     // flows, by endpoint
		unplannedEvents []time.Time                        // when they happened
		drainStarted    map[string]time.Time               // by endpoint
		reasons         map[string]int                     // why flows broke and requests had no response
	}

	// Counts is what a Ledger has counted.
	Counts struct {
		Flows           int `json:"flows"` // that callers tried to open
		FlowsOpen       int `json:"flows_open"`
		BrokenPlanned   int `json:"broken_planned"`   // flows, without a recent unplanned event
		BrokenUnplanned int `json:"broken_unplanned"` // flows, soon after an unplanned event
		NotOpened       int `json:"not_opened"`       // flows that got no answer or were refused
		Misdelivered    int `json:"misdelivered"`     // packets at an endpoint of another service
		Crossed         int `json:"crossed"`          // answers that belong to another flow or request
		LateNew         int `json:"late_new"`         // flows and requests sent to a leaving endpoint
		Overfull        int `json:"overfull"`         // flows refused by a full endpoint
		Requests        int `json:"requests"`         // blocks of a block-wise response count singly
		Answered        int `json:"answered"`
		NotRun          int `json:"not_run"`           // requests whose callers were told that they didn't run
		Unknown         int `json:"unknown"`           // requests whose callers can't tell from the response whether they ran
		NoAnswer        int `json:"no_answer"`         // requests without any response
		RanTwice        int `json:"ran_twice"`         // requests that may run only once
		FalseNotRun     int `json:"false_not_run"`     // requests that ran, contrary to what callers were told
		RefusedByServer int `json:"refused_by_server"` // requests at endpoints without a free slot
		Cancelled       int `json:"cancelled"`         // requests, while they ran
		Incomplete      int `json:"incomplete"`        // responses with another block than requested
	}
)

const (
	maxLatency        = 60_000_000 // in microseconds
	significantDigits = 3
	unplannedWindow   = 8 * time.Second // in which broken flows are attributed to an unplanned event
	drainGrace        = 3 * time.Second // until all entries know that an endpoint leaves
)

// NewLedger returns a Ledger that has counted nothing.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{
		now: now, executions: map[string]int{}, reportedNotRun: map[string]bool{}, nonRepeatable: map[string]bool{},
		latency: map[string]*hdrhistogram.Histogram{}, accepted: map[string]int{}, reasons: map[string]int{}, drainStarted: map[string]time.Time{},
	}
}

// Counts returns the counts so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Reasons returns how often flows broke and requests had no response, by reason.
func (l *Ledger) Reasons() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for reason, n := range l.reasons {
		all[reason] = n
	}
	return all
}

// Opens returns the number of flows that each endpoint has accepted.
func (l *Ledger) Opens() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for name, n := range l.accepted {
		all[name] = n
	}
	return all
}

// Latency returns a copy of the latencies of a class, in microseconds, or nil if
// there are none.
func (l *Ledger) Latency(class string) *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	if histogram := l.latency[class]; histogram != nil {
		return hdrhistogram.Import(histogram.Export())
	}
	return nil
}

// RecordUnplannedEvent records a failure. Flows that break within
// unplannedWindow after it count as BrokenUnplanned.
func (l *Ledger) RecordUnplannedEvent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unplannedEvents = append(l.unplannedEvents, l.now())
}

func (l *Ledger) update(f func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *Ledger) recordMisdelivered() { l.update(func(c *Counts) { c.Misdelivered++ }) }
func (l *Ledger) recordOverfull()     { l.update(func(c *Counts) { c.Overfull++ }) }
func (l *Ledger) recordCancelled()    { l.update(func(c *Counts) { c.Cancelled++ }) }
func (l *Ledger) recordCrossed()      { l.update(func(c *Counts) { c.Crossed++ }) }
func (l *Ledger) recordIncomplete()   { l.update(func(c *Counts) { c.Incomplete++ }) }
func (l *Ledger) recordFlowStart()    { l.update(func(c *Counts) { c.Flows++; c.FlowsOpen++ }) }
func (l *Ledger) recordFlowEnd()      { l.update(func(c *Counts) { c.FlowsOpen-- }) }
func (l *Ledger) recordNotOpened()    { l.update(func(c *Counts) { c.NotOpened++; c.FlowsOpen-- }) }
func (l *Ledger) recordRefusal(string) {
	l.update(func(c *Counts) { c.RefusedByServer++ })
}

func (l *Ledger) recordAccepted(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted[endpoint]++
	l.countIfDraining(endpoint)
}

// RecordDrain records that an endpoint begins to leave. Flows and requests that
// it gets later than drainGrace from now count as LateNew.
func (l *Ledger) RecordDrain(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainStarted[endpoint] = l.now()
}

// countIfDraining counts a flow or request as late if its endpoint has been
// leaving for longer than drainGrace.
func (l *Ledger) countIfDraining(endpoint string) {
	if since, draining := l.drainStarted[endpoint]; draining && l.now().Sub(since) > drainGrace {
		l.counts.LateNew++
	}
}

// recordBroken counts a flow that neither its caller nor its backend server
// ended.
func (l *Ledger) recordBroken(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.FlowsOpen--
	l.reasons[reason]++
	for _, at := range l.unplannedEvents {
		if l.now().Sub(at) < unplannedWindow {
			l.counts.BrokenUnplanned++
			return
		}
	}
	l.counts.BrokenPlanned++
}

func (l *Ledger) recordRequest(token string, nonRepeatable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	if nonRepeatable {
		l.nonRepeatable[token] = true
	}
}

// recordExecution records that an endpoint begins to run a request.
func (l *Ledger) recordExecution(token []byte, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := string(token)
	l.executions[key]++
	l.countIfDraining(endpoint)
	if l.nonRepeatable[key] && l.executions[key] == 2 {
		l.counts.RanTwice++
	}
	if l.reportedNotRun[key] {
		l.counts.FalseNotRun++
	}
}

// recordOutcome records what the caller of a request was told.
func (l *Ledger) recordOutcome(token, class, outcome string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch outcome {
	case "answered":
		l.counts.Answered++
		histogram := l.latency[class]
		if histogram == nil {
			histogram = hdrhistogram.New(1, maxLatency, significantDigits)
			l.latency[class] = histogram
		}
		_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatency))
	case "not_run":
		l.counts.NotRun++
		l.reportedNotRun[token] = true
		if l.executions[token] > 0 {
			l.counts.FalseNotRun++
		}
	case "unknown":
		l.counts.Unknown++
	default:
		l.counts.NoAnswer++
		l.reasons["request_"+outcome]++
	}
}
