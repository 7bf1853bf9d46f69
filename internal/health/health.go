// Package health turns the reports of health checkers into endpoint weights.
// Reports may be late or wrong, so stale ones are ignored, a state changes only
// after several consecutive reports, the effect of reported load is bounded, and a
// service of which most endpoints are reported down keeps all of them. The package
// performs no I/O, and callers pass in the current time.
package health

import (
	"math"
	"time"

	"oxbowsaddle/internal/placement"
	"oxbowsaddle/internal/route"
)

type (
	// Config sets the thresholds and bounds of an Assessor.
	Config struct {
		MaxAge             time.Duration // maximum age of a report
		UnhealthyThreshold int           // consecutive bad reports of one checker that mark an endpoint down
		HealthyThreshold   int           // consecutive good reports of one checker that mark it up again
		Ramp               time.Duration // time in which a new endpoint reaches its full share
		RampStart          float64       // initial fraction of the share of a new endpoint
		MaxLoadFactor      float64       // maximum factor by which load changes a share
		Hysteresis         float64       // minimum relative change of a share
		PanicThreshold     float64       // fraction of a service down above which health reports are ignored
	}

	// Report is one observation of an endpoint by a checker.
	Report struct {
		Endpoint    uint32
		Healthy     bool
		Leaving     bool
		Shedding    bool
		Connections int
		Running     int
	}

	// checker is the state of one checker's reports about one endpoint.
	checker struct {
		at     time.Time
		last   Report
		streak int  // latest consecutive reports that contradict down
		down   bool // whether the checker considers the endpoint down
	}

	endpoint struct {
		firstSeen  time.Time
		checkers   map[string]*checker
		share      float64
		loadFactor float64
	}

	// Assessor holds the reports about a fleet. It is not safe for concurrent use.
	Assessor struct {
		config    Config
		endpoints map[uint32]*endpoint
		started   time.Time
		panicking map[uint32]bool
	}
)

// DefaultConfig returns the default configuration; docs/design/flows.md explains
// the values.
func DefaultConfig() Config {
	return Config{
		MaxAge: 5 * time.Second, UnhealthyThreshold: 3, HealthyThreshold: 2, Ramp: 8 * time.Second, RampStart: 0.2,
		MaxLoadFactor: 1.25, Hysteresis: 0.04, PanicThreshold: 0.5,
	}
}

// New returns an Assessor. Endpoints first seen within one ramp of the start count
// as warm, because it is the Assessor that is new.
func New(c Config, now time.Time) *Assessor {
	return &Assessor{config: c, endpoints: map[uint32]*endpoint{}, started: now, panicking: map[uint32]bool{}}
}

// AddReport records a report of the checker named source, and updates the checker's
// verdict on the endpoint.
func (a *Assessor) AddReport(now time.Time, source string, r Report) {
	e := a.endpoint(now, r.Endpoint)
	c := e.checkers[source]
	if c == nil {
		c = &checker{}
		e.checkers[source] = c
	}
	c.at, c.last = now, r
	if r.Healthy != c.down {
		c.streak = 0
		return
	}
	c.streak++
	needed := a.config.UnhealthyThreshold
	if c.down {
		needed = a.config.HealthyThreshold
	}
	if c.streak >= needed {
		c.down, c.streak = !c.down, 0
	}
}

// RemoveChecker drops the reports of the checker named source.
func (a *Assessor) RemoveChecker(source string) {
	for _, e := range a.endpoints {
		delete(e.checkers, source)
	}
}

// endpoint returns the state of an endpoint, adding it if it is new.
func (a *Assessor) endpoint(now time.Time, id uint32) *endpoint {
	e := a.endpoints[id]
	if e == nil {
		e = &endpoint{firstSeen: now, checkers: map[string]*checker{}, share: 1, loadFactor: 1}
		if now.Sub(a.started) < a.config.Ramp {
			e.firstSeen = now.Add(-a.config.Ramp)
		}
		a.endpoints[id] = e
	}
	return e
}

// Weights returns the share of each endpoint of a service, in the given order.
func (a *Assessor) Weights(now time.Time, s *route.Service, endpoints []*route.Endpoint) []placement.Weight {
	weights := make([]placement.Weight, len(endpoints))
	medianLoad := a.medianLoad(now, endpoints)
	usable, down := 0, 0
	for i, e := range endpoints {
		weights[i] = placement.Weight{Endpoint: e.ID(), Share: a.share(now, s, e, medianLoad)}
		if a.isLeaving(now, e) {
			weights[i].Share = 0
			continue
		}
		usable++
		if a.isDown(now, e.ID()) {
			down++
		}
	}
	trusted := usable > 0 && float64(down)/float64(usable) <= a.config.PanicThreshold
	a.panicking[s.ID()] = usable > 0 && !trusted
	for i, e := range endpoints {
		if trusted && a.isDown(now, e.ID()) {
			weights[i].Share = 0
		}
	}
	return weights
}

// InPanicMode reports whether a service is in panic mode: so many of its endpoints
// are reported down that health reports are ignored.
func (a *Assessor) InPanicMode(service uint32) bool { return a.panicking[service] }

// isLeaving reports whether an endpoint is draining, by operator request or by its
// own report.
func (a *Assessor) isLeaving(now time.Time, e *route.Endpoint) bool {
	if e.Leaving() {
		return true
	}
	for _, c := range a.endpoint(now, e.ID()).checkers {
		if a.fresh(now, c) && c.last.Leaving {
			return true
		}
	}
	return false
}

func (a *Assessor) fresh(now time.Time, c *checker) bool { return now.Sub(c.at) <= a.config.MaxAge }

// isDown reports whether more than half of the checkers with a fresh report mark an
// endpoint down. Without fresh reports it counts as up.
func (a *Assessor) isDown(now time.Time, id uint32) bool {
	fresh, down := 0, 0
	for _, c := range a.endpoint(now, id).checkers {
		if !a.fresh(now, c) {
			continue
		}
		fresh++
		if c.down {
			down++
		}
	}
	return down*2 > fresh
}

// load returns the highest number of connections in fresh reports of an endpoint,
// and whether there is any.
func (a *Assessor) load(now time.Time, id uint32) (connections float64, known bool) {
	for _, c := range a.endpoint(now, id).checkers {
		if a.fresh(now, c) {
			connections = max(connections, float64(c.last.Connections))
			known = true
		}
	}
	return connections, known
}

// medianLoad returns the median of the endpoints' connections, on which a single
// false report has little effect.
func (a *Assessor) medianLoad(now time.Time, endpoints []*route.Endpoint) float64 {
	var loads []float64
	for _, e := range endpoints {
		if n, known := a.load(now, e.ID()); known && !a.isLeaving(now, e) {
			loads = append(loads, n)
		}
	}
	return median(loads)
}

// share returns the share of an endpoint before health is taken into account.
// Changes within the hysteresis are ignored.
func (a *Assessor) share(now time.Time, s *route.Service, e *route.Endpoint, medianLoad float64) float64 {
	state := a.endpoint(now, e.ID())
	load, known := a.load(now, e.ID())
	if known && e.Connections() > 0 && load >= float64(e.Connections()) {
		return 0 // full: receives no new flows
	}
	want := a.rampFactor(now, state) * float64(max(e.Connections(), 1)) * a.loadFactor(state, s.Policy().Balance, load, known, medianLoad)
	if math.Abs(want-state.share) > a.config.Hysteresis*state.share {
		state.share = want
	}
	return state.share
}

func (a *Assessor) rampFactor(now time.Time, e *endpoint) float64 {
	age := now.Sub(e.firstSeen)
	if age >= a.config.Ramp {
		return 1
	}
	return a.config.RampStart + (1-a.config.RampStart)*float64(age)/float64(a.config.Ramp)
}

// loadFactor returns the factor by which measured load changes a share. It follows
// the load slowly and is scaled by the balance setting of the service's template.
func (a *Assessor) loadFactor(e *endpoint, balance, load float64, known bool, medianLoad float64) float64 {
	const (
		gain          = 0.02
		minMedianLoad = 50 // below this median, differences are noise
	)
	if known && medianLoad >= minMedianLoad {
		e.loadFactor *= 1 + gain*balance*(1-load/medianLoad)
	}
	maxFactor := 1 + (a.config.MaxLoadFactor-1)*balance
	e.loadFactor = min(max(e.loadFactor, 1/maxFactor), maxFactor)
	return e.loadFactor
}
