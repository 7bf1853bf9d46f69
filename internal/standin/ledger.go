package standin

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Ledger counts what callers and backend servers have seen. Nothing in it
	// comes from the balancer.
	Ledger struct {
		mu              sync.Mutex
		now             func() time.Time
		counts          Counts
		executions      map[string]int  // by token
		reportedNotRun  map[string]bool // tokens whose callers were told "not run"
		nonRepeatable   map[string]bool // tokens that may run only once
		latency         map[string]*hdrhistogram.Histogram
		accepted        map[string]int       // by endpoint
		unplannedEvents []time.Time          // of unplanned events
		drainStarted    map[string]time.Time // endpoints, since when
		reasons         map[string]int
	}

	// Counts is the result.
	Counts struct {
		Flows           int `json:"flows"`
		FlowsOpen       int `json:"flows_open"`
		BrokenPlanned   int `json:"broken_planned"`
		BrokenUnplanned int `json:"broken_unplanned"`
		NotOpened       int `json:"not_opened"`
		Misdelivered    int `json:"misdelivered"`
		Crossed         int `json:"crossed"`
		LateNew         int `json:"late_new"`
		Overfull        int `json:"overfull"`
		Requests        int `json:"requests"`
		Answered        int `json:"answered"`
		NotRun          int `json:"not_run"`
		Unknown         int `json:"unknown"`
		NoAnswer        int `json:"no_answer"`
		RanTwice        int `json:"ran_twice"`
		FalseNotRun     int `json:"false_not_run"`
		RefusedByServer int `json:"refused_by_server"`
		Cancelled       int `json:"cancelled"`
		Incomplete      int `json:"incomplete"`
	}
)

const (
	maxLatency        = 60_000_000 // microseconds
	significantDigits = 3
	unplannedWindow   = 8 * time.Second
	drainGrace        = 3 * time.Second
)

// NewLedger returns an empty ledger.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{
		now: now, executions: map[string]int{}, reportedNotRun: map[string]bool{}, nonRepeatable: map[string]bool{},
		latency: map[string]*hdrhistogram.Histogram{}, accepted: map[string]int{}, reasons: map[string]int{}, drainStarted: map[string]time.Time{},
	}
}

// Counts returns what was counted so far.
func (l *Ledger) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Reasons returns why flows broke and requests had no answer.
func (l *Ledger) Reasons() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for reason, n := range l.reasons {
		all[reason] = n
	}
	return all
}

// Opens returns how many flows each endpoint has accepted.
func (l *Ledger) Opens() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for name, n := range l.accepted {
		all[name] = n
	}
	return all
}

// Latency returns a copy of the latencies of a class in microseconds, or nil.
func (l *Ledger) Latency(class string) *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	if histogram := l.latency[class]; histogram != nil {
		return hdrhistogram.Import(histogram.Export())
	}
	return nil
}

// RecordUnplannedEvent notes an unplanned event: what breaks soon after counts as such.
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

// RecordDrain notes that an endpoint gets no new work a few seconds from now.
func (l *Ledger) RecordDrain(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainStarted[endpoint] = l.now()
}

func (l *Ledger) countIfDraining(endpoint string) {
	if since, draining := l.drainStarted[endpoint]; draining && l.now().Sub(since) > drainGrace {
		l.counts.LateNew++
	}
}

// recordBroken counts a flow that ended without its caller or backend server
// wanting it.
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
