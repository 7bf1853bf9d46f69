package standin

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

type (
	// Recorder counts what clients and backend servers see, independently of the
	// load balancer, to detect violated guarantees.
	Recorder struct {
		mu              sync.Mutex
		now             func() time.Time
		counts          Counts
		executions      map[string]int                     // of requests, by token
		reportedNotRun  map[string]bool                    // tokens of requests that were reported to the client as not run
		nonRepeatable   map[string]bool                    // tokens of requests that may run only once
		latency         map[string]*hdrhistogram.Histogram // in microseconds, by class
		unplannedEvents []time.Time                        // their times
		drainStarted    map[string]time.Time               // by endpoint
		reasons         map[string]int                     // broken flows and requests without a response, by reason
	}

	// Counts is what a Recorder has counted.
	Counts struct {
		Flows           int `json:"flows"` // that clients tried to open
		FlowsOpen       int `json:"flows_open"`
		BrokenPlanned   int `json:"broken_planned"`   // flows, without a recent unplanned event
		BrokenUnplanned int `json:"broken_unplanned"` // flows, soon after an unplanned event
		NotOpened       int `json:"not_opened"`       // flows that got no answer or were refused
		Misdelivered    int `json:"misdelivered"`     // packets at an endpoint of another service
		Crossed         int `json:"crossed"`          // answers that belong to another flow or request
		LateNew         int `json:"late_new"`         // flows and requests sent to a leaving endpoint
		Overfull        int `json:"overfull"`         // flows refused by a full endpoint
		Requests        int `json:"requests"`         // each block of a block-wise response counts as one
		Answered        int `json:"answered"`
		NotRun          int `json:"not_run"`           // requests that were reported to the client as not run
		Unknown         int `json:"unknown"`           // requests whose response leaves open whether they ran
		NoAnswer        int `json:"no_answer"`         // requests without any response
		RanTwice        int `json:"ran_twice"`         // requests that may run only once
		FalseNotRun     int `json:"false_not_run"`     // requests that ran, but were reported as not run
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

// NewRecorder returns a Recorder that has counted nothing.
func NewRecorder(now func() time.Time) *Recorder {
	return &Recorder{
		now: now, executions: map[string]int{}, reportedNotRun: map[string]bool{}, nonRepeatable: map[string]bool{},
		latency: map[string]*hdrhistogram.Histogram{}, reasons: map[string]int{}, drainStarted: map[string]time.Time{},
	}
}

// Counts returns the counts so far.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts
}

// Reasons returns how often flows broke and requests had no response, by reason.
func (r *Recorder) Reasons() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[string]int{}
	for reason, n := range r.reasons {
		all[reason] = n
	}
	return all
}

// Latency returns a copy of the latencies of a class, in microseconds, or nil if
// there are none.
func (r *Recorder) Latency(class string) *hdrhistogram.Histogram {
	r.mu.Lock()
	defer r.mu.Unlock()
	if histogram := r.latency[class]; histogram != nil {
		return hdrhistogram.Import(histogram.Export())
	}
	return nil
}

// RecordUnplannedEvent records a failure. Flows that break within
// unplannedWindow after it count as BrokenUnplanned.
func (r *Recorder) RecordUnplannedEvent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unplannedEvents = append(r.unplannedEvents, r.now())
}

func (r *Recorder) update(f func(*Counts)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.counts)
}

func (r *Recorder) recordMisdelivered() { r.update(func(c *Counts) { c.Misdelivered++ }) }
func (r *Recorder) recordOverfull()     { r.update(func(c *Counts) { c.Overfull++ }) }
func (r *Recorder) recordCancelled()    { r.update(func(c *Counts) { c.Cancelled++ }) }
func (r *Recorder) recordCrossed()      { r.update(func(c *Counts) { c.Crossed++ }) }
func (r *Recorder) recordIncomplete()   { r.update(func(c *Counts) { c.Incomplete++ }) }
func (r *Recorder) recordFlowStart()    { r.update(func(c *Counts) { c.Flows++; c.FlowsOpen++ }) }
func (r *Recorder) recordFlowEnd()      { r.update(func(c *Counts) { c.FlowsOpen-- }) }
func (r *Recorder) recordNotOpened()    { r.update(func(c *Counts) { c.NotOpened++; c.FlowsOpen-- }) }
func (r *Recorder) recordRefusal(string) {
	r.update(func(c *Counts) { c.RefusedByServer++ })
}

func (r *Recorder) recordAccepted(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countIfDraining(endpoint)
}

// RecordDrain records that an endpoint begins to leave. Flows and requests that
// it gets later than drainGrace from now count as LateNew.
func (r *Recorder) RecordDrain(endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainStarted[endpoint] = r.now()
}

// countIfDraining counts a flow or request as late if its endpoint has been
// leaving for longer than drainGrace.
func (r *Recorder) countIfDraining(endpoint string) {
	if since, draining := r.drainStarted[endpoint]; draining && r.now().Sub(since) > drainGrace {
		r.counts.LateNew++
	}
}

// recordBroken counts a flow that neither its client nor its backend server
// ended.
func (r *Recorder) recordBroken(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.FlowsOpen--
	r.reasons[reason]++
	for _, at := range r.unplannedEvents {
		if r.now().Sub(at) < unplannedWindow {
			r.counts.BrokenUnplanned++
			return
		}
	}
	r.counts.BrokenPlanned++
}

func (r *Recorder) recordRequest(token string, nonRepeatable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Requests++
	if nonRepeatable {
		r.nonRepeatable[token] = true
	}
}

// recordExecution records that an endpoint begins to run a request.
func (r *Recorder) recordExecution(token []byte, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := string(token)
	r.executions[key]++
	r.countIfDraining(endpoint)
	if r.nonRepeatable[key] && r.executions[key] == 2 {
		r.counts.RanTwice++
	}
	if r.reportedNotRun[key] {
		r.counts.FalseNotRun++
	}
}

// recordOutcome records the outcome of a request as its client sees it.
func (r *Recorder) recordOutcome(token, class, outcome string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch outcome {
	case "answered":
		r.counts.Answered++
		histogram := r.latency[class]
		if histogram == nil {
			histogram = hdrhistogram.New(1, maxLatency, significantDigits)
			r.latency[class] = histogram
		}
		_ = histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatency))
	case "not_run":
		r.counts.NotRun++
		r.reportedNotRun[token] = true
		if r.executions[token] > 0 {
			r.counts.FalseNotRun++
		}
	case "unknown":
		r.counts.Unknown++
	default:
		r.counts.NoAnswer++
		r.reasons["request_"+outcome]++
	}
}
