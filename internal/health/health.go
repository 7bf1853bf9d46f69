// Package health weighs what checkers report of endpoints. Reports lag and
// sometimes mislead, so an old one counts less, one report may do little, a
// verdict changes only after several reports of the same kind, and a service
// is never emptied because all its reports are bad. It has no input or output.
package health

import (
	"math"
	"time"

	"oxbowsaddle/internal/placement"
	"oxbowsaddle/internal/route"
)

type (
	// Config bounds what reports may do.
	Config struct {
		FreshFor   time.Duration // a report older than this says nothing
		DownAfter  int           // bad reports in a row of one checker before it counts as bad
		UpAfter    int           // good reports in a row before it counts as good again
		Ramp       time.Duration // a new endpoint reaches its full share after this
		RampFrom   float64       // the share that a new endpoint starts with
		MostTilt   float64       // load changes a share by this factor at most
		Hysteresis float64       // a share changes only by more than this
		MostDown   float64       // above this part of a service down, health is not believed
	}

	// Report is what one checker has seen of one endpoint.
	Report struct {
		Endpoint    uint32
		Healthy     bool
		Leaving     bool
		Shedding    bool
		Connections int
		Running     int
	}

	// checker is what one checker has reported of one endpoint.
	checker struct {
		at     time.Time
		last   Report
		streak int // reports in a row that disagree with down
		down   bool
	}

	endpoint struct {
		firstSeen  time.Time
		checkers   map[string]*checker
		share      float64
		loadFactor float64
	}

	// Assessor holds the reports of a fleet. One goroutine uses it.
	Assessor struct {
		config    Config
		endpoints map[uint32]*endpoint
		started   time.Time
		panicking map[uint32]bool
	}
)

// DefaultConfig returns the bounds that the measurements in
// docs/design/flows.md speak for.
func DefaultConfig() Config {
	return Config{
		FreshFor: 5 * time.Second, DownAfter: 3, UpAfter: 2, Ramp: 8 * time.Second, RampFrom: 0.2,
		MostTilt: 1.25, Hysteresis: 0.04, MostDown: 0.5,
	}
}

// New returns an assessor. Endpoints that it first meets within one ramp of
// the start are not taken for cold: it is the assessor that is new.
func New(c Config, now time.Time) *Assessor {
	return &Assessor{config: c, endpoints: map[uint32]*endpoint{}, started: now, panicking: map[uint32]bool{}}
}

// Take notes a report.
func (a *Assessor) Take(now time.Time, source string, r Report) {
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
	needed := a.config.DownAfter
	if c.down {
		needed = a.config.UpAfter
	}
	if c.streak >= needed {
		c.down, c.streak = !c.down, 0
	}
}

// Forget drops a checker that is no more.
func (a *Assessor) Forget(source string) {
	for _, e := range a.endpoints {
		delete(e.checkers, source)
	}
}

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

// Weights returns the share of each endpoint of a service, in order.
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
	trusted := usable > 0 && float64(down)/float64(usable) <= a.config.MostDown
	a.panicking[s.ID()] = usable > 0 && !trusted
	for i, e := range endpoints {
		if trusted && a.isDown(now, e.ID()) {
			weights[i].Share = 0
		}
	}
	return weights
}

// Disbelieved reports whether so much of a service is reported down that the
// reports are not believed.
func (a *Assessor) Disbelieved(service uint32) bool { return a.panicking[service] }

// isLeaving reports whether an endpoint takes no new work, by the operator's
// word or by its own.
func (a *Assessor) isLeaving(now time.Time, e *route.Endpoint) bool {
	if e.Leaving() {
		return true
	}
	for _, c := range a.endpoint(now, e.ID()).checkers {
		if a.isFresh(now, c) && c.last.Leaving {
			return true
		}
	}
	return false
}

func (a *Assessor) isFresh(now time.Time, c *checker) bool {
	return now.Sub(c.at) <= a.config.FreshFor
}

// isDown reports whether more than half of the fresh checkers find it isDown.
// Without a fresh report nothing is known, and nothing is changed.
func (a *Assessor) isDown(now time.Time, id uint32) bool {
	fresh, down := 0, 0
	for _, c := range a.endpoint(now, id).checkers {
		if !a.isFresh(now, c) {
			continue
		}
		fresh++
		if c.down {
			down++
		}
	}
	return down*2 > fresh
}

// load returns the connections of an endpoint by its least fresh reports: the
// highest of them, discounted by age.
func (a *Assessor) load(now time.Time, id uint32) (connections float64, known bool) {
	for _, c := range a.endpoint(now, id).checkers {
		if a.isFresh(now, c) {
			connections = max(connections, float64(c.last.Connections))
			known = true
		}
	}
	return connections, known
}

// medianLoad is the median of the endpoints' connections: one that lies moves
// it little.
func (a *Assessor) medianLoad(now time.Time, endpoints []*route.Endpoint) float64 {
	var loads []float64
	for _, e := range endpoints {
		if n, known := a.load(now, e.ID()); known && !a.isLeaving(now, e) {
			loads = append(loads, n)
		}
	}
	return median(loads)
}

func (a *Assessor) share(now time.Time, s *route.Service, e *route.Endpoint, medianLoad float64) float64 {
	state := a.endpoint(now, e.ID())
	load, known := a.load(now, e.ID())
	if known && e.Connections() > 0 && load >= float64(e.Connections()) {
		return 0 // full: no new flow
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
	return a.config.RampFrom + (1-a.config.RampFrom)*float64(age)/float64(a.config.Ramp)
}

// loadFactor is the factor by which measured load changes a share. It follows the
// load slowly, and the balance of the template scales it.
func (a *Assessor) loadFactor(e *endpoint, balance, load float64, known bool, medianLoad float64) float64 {
	const (
		gain          = 0.02
		minMedianLoad = 50 // below this the difference is noise
	)
	if known && medianLoad >= minMedianLoad {
		e.loadFactor *= 1 + gain*balance*(1-load/medianLoad)
	}
	maxFactor := 1 + (a.config.MostTilt-1)*balance
	e.loadFactor = min(max(e.loadFactor, 1/maxFactor), maxFactor)
	return e.loadFactor
}
