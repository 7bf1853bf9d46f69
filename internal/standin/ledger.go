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
		mu      sync.Mutex
		now     func() time.Time
		counts  Counts
		runs    map[string]int  // by token
		denied  map[string]bool // tokens whose callers were told "not run"
		once    map[string]bool // tokens that may run only once
		latency map[string]*hdrhistogram.Histogram
		opens   map[string]int       // by endpoint
		faults  []time.Time          // of unplanned events
		leaving map[string]time.Time // endpoints, since when
		reasons map[string]int
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
	slowest      = 60_000_000 // microseconds
	figures      = 3
	unplannedFor = 8 * time.Second
	leavingBound = 3 * time.Second
)

// NewLedger returns an empty ledger.
func NewLedger(now func() time.Time) *Ledger {
	return &Ledger{
		now: now, runs: map[string]int{}, denied: map[string]bool{}, once: map[string]bool{},
		latency: map[string]*hdrhistogram.Histogram{}, opens: map[string]int{}, reasons: map[string]int{}, leaving: map[string]time.Time{},
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
	for name, n := range l.opens {
		all[name] = n
	}
	return all
}

// Latency returns a copy of the latencies of a class in microseconds, or nil.
func (l *Ledger) Latency(class string) *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.latency[class]; h != nil {
		return hdrhistogram.Import(h.Export())
	}
	return nil
}

// Unplanned notes an unplanned event: what breaks soon after counts as such.
func (l *Ledger) Unplanned() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, l.now())
}

func (l *Ledger) update(f func(*Counts)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(&l.counts)
}

func (l *Ledger) misdelivered() { l.update(func(c *Counts) { c.Misdelivered++ }) }
func (l *Ledger) overfull()     { l.update(func(c *Counts) { c.Overfull++ }) }
func (l *Ledger) cancelled()    { l.update(func(c *Counts) { c.Cancelled++ }) }
func (l *Ledger) crossed()      { l.update(func(c *Counts) { c.Crossed++ }) }
func (l *Ledger) incomplete()   { l.update(func(c *Counts) { c.Incomplete++ }) }
func (l *Ledger) flowBegan()    { l.update(func(c *Counts) { c.Flows++; c.FlowsOpen++ }) }
func (l *Ledger) flowEnded()    { l.update(func(c *Counts) { c.FlowsOpen-- }) }
func (l *Ledger) notOpened()    { l.update(func(c *Counts) { c.NotOpened++; c.FlowsOpen-- }) }
func (l *Ledger) refusedBy(string) {
	l.update(func(c *Counts) { c.RefusedByServer++ })
}

func (l *Ledger) opened(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opens[endpoint]++
	l.checkLeaving(endpoint)
}

// Leaving notes that an endpoint gets no new work a few seconds from now.
func (l *Ledger) Leaving(endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[endpoint] = l.now()
}

func (l *Ledger) checkLeaving(endpoint string) {
	if since, leaving := l.leaving[endpoint]; leaving && l.now().Sub(since) > leavingBound {
		l.counts.LateNew++
	}
}

// broken counts a flow that ended without its caller or backend server
// wanting it.
func (l *Ledger) broken(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.FlowsOpen--
	l.reasons[reason]++
	for _, at := range l.faults {
		if l.now().Sub(at) < unplannedFor {
			l.counts.BrokenUnplanned++
			return
		}
	}
	l.counts.BrokenPlanned++
}

func (l *Ledger) asked(token string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Requests++
	if once {
		l.once[token] = true
	}
}

func (l *Ledger) ran(token []byte, endpoint string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := string(token)
	l.runs[key]++
	l.checkLeaving(endpoint)
	if l.once[key] && l.runs[key] == 2 {
		l.counts.RanTwice++
	}
	if l.denied[key] {
		l.counts.FalseNotRun++
	}
}

func (l *Ledger) told(token, class, what string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch what {
	case "answered":
		l.counts.Answered++
		h := l.latency[class]
		if h == nil {
			h = hdrhistogram.New(1, slowest, figures)
			l.latency[class] = h
		}
		_ = h.RecordValue(min(max(took.Microseconds(), 1), slowest))
	case "not_run":
		l.counts.NotRun++
		l.denied[token] = true
		if l.runs[token] > 0 {
			l.counts.FalseNotRun++
		}
	case "unknown":
		l.counts.Unknown++
	default:
		l.counts.NoAnswer++
		l.reasons["request_"+what]++
	}
}
