// Package load is an open-loop load generator for running entries. It runs stand-ins
// for the fabric and the backend servers at the configured addresses, and reports what
// clients and backend servers observed.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/standin"
)

type (
	// Config configures a run.
	Config struct {
		Settings       settings.Settings
		Objects        []intent.Object    // configuration with the services
		Flows          float64            // new flows per second, over all flow classes
		FlowDuration   time.Duration      // duration of a flow
		PacketInterval time.Duration      // interval between the packets of a flow
		Requests       float64            // requests per second, over all work classes
		Mix            map[string]float64 // relative load by class name; empty for equal shares
		Deadline       time.Duration      // of a request
		ServiceTime    time.Duration      // of a request at a backend server
		Duration       time.Duration      // of the run
		Seed           uint64             // of the fabric
		Progress       io.Writer          // receives a line per second
		Now            func() time.Time
	}

	// Latency summarizes latencies in milliseconds.
	Latency struct {
		Count int64   `json:"count"`
		P50   float64 `json:"p50_ms"`
		P99   float64 `json:"p99_ms"`
		P999  float64 `json:"p999_ms"`
		Max   float64 `json:"max_ms"`
	}

	// Report is the result of a run. Imbalance is, by service, the highest number of
	// flows of an endpoint divided by the mean.
	Report struct {
		Seconds   float64            `json:"seconds"`
		Counts    standin.Counts     `json:"counts"`
		Latencies map[string]Latency `json:"latencies"`
		Imbalance map[string]float64 `json:"imbalance"`
		Samples   []Sample           `json:"held"`
		Reasons   map[string]int     `json:"reasons,omitempty"`
	}

	// Sample holds the open flows and the answers so far at one time of a run.
	Sample struct {
		Second   float64 `json:"second"`
		Flows    int     `json:"flows"`
		Answered int     `json:"answered"`
	}

	generator struct {
		config   Config
		ledger   *standin.Recorder
		fabric   *standin.Fabric
		clients  *standin.Clients
		backends map[string][]*standin.Backend
		classes  []intent.Class
		group    sync.WaitGroup
	}
)

// Run generates load for the configured time and waits for the last flows and
// requests to end.
func Run(ctx context.Context, c Config) (Report, error) {
	g, err := newGenerator(c)
	if g != nil {
		defer func() { _ = g.close() }()
	}
	if err != nil {
		return Report{}, err
	}
	return g.run(ctx)
}

func newGenerator(c Config) (*generator, error) {
	g := &generator{config: c, ledger: standin.NewRecorder(c.Now), backends: map[string][]*standin.Backend{}}
	var err error
	if g.fabric, err = standin.NewFabric(c.Settings.Fabric, c.Seed); err != nil {
		return nil, err
	}
	for _, i := range c.Settings.Instances {
		g.fabric.AddEntry(i.Name, i.PacketAddr)
	}
	g.clients = standin.NewClients(g.fabric, g.ledger, c.Now)
	for _, o := range c.Objects {
		if o.Kind != intent.KindService {
			continue
		}
		if err := g.addService(o); err != nil {
			return g, err
		}
	}
	return g, nil
}

func (g *generator) addService(o intent.Object) error {
	var s intent.Service
	if err := json.Unmarshal(o.Body, &s); err != nil {
		return fmt.Errorf("service %s: %w", o.Name, err)
	}
	var addresses []netip.AddrPort
	for _, c := range s.Classes {
		addresses = append(addresses, c.Address)
	}
	g.classes = append(g.classes, s.Classes...)
	for _, e := range s.Endpoints {
		b, err := standin.NewBackend(standin.BackendConfig{
			Name: e.Name, Service: o.Name, Addr: e.Address, HealthAddr: e.Health, Addresses: addresses, Slots: e.Slots,
			Connections: e.Connections, ServiceTime: g.config.ServiceTime, Pick: g.fabric.Pick, Recorder: g.ledger, Now: g.config.Now,
		})
		if err != nil {
			return err
		}
		g.backends[o.Name] = append(g.backends[o.Name], b)
	}
	return nil
}

func (g *generator) close() error {
	errs := []error{g.fabric.Close()}
	for _, list := range g.backends {
		for _, b := range list {
			errs = append(errs, b.Close())
		}
	}
	return errors.Join(errs...)
}

func (g *generator) run(ctx context.Context) (Report, error) {
	loadCtx, stop := context.WithTimeout(ctx, g.config.Duration)
	defer stop()
	for _, class := range g.classes {
		share := g.share(class)
		if class.Kind == intent.ClassWork {
			g.group.Go(func() { g.generate(loadCtx, g.config.Requests*share, func() { g.sendRequest(ctx, class) }) })
		} else {
			g.group.Go(func() { g.generate(loadCtx, g.config.Flows*share, func() { g.startFlow(ctx, class) }) })
		}
	}
	report := Report{Seconds: g.config.Duration.Seconds(), Latencies: map[string]Latency{}}
	start := g.config.Now()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for loadCtx.Err() == nil {
		select {
		case <-loadCtx.Done():
		case <-ticker.C:
			counts := g.ledger.Counts()
			second := g.config.Now().Sub(start).Seconds()
			report.Samples = append(report.Samples, Sample{second, counts.FlowsOpen, counts.Answered})
			fmt.Fprintf(g.config.Progress, "%4.0fs  flows held %d of %d  broken %d  requests %d answered %d not run %d unknown %d\n", second,
				counts.FlowsOpen, counts.Flows, counts.BrokenPlanned+counts.BrokenUnplanned, counts.Requests, counts.Answered, counts.NotRun, counts.Unknown)
			report.Imbalance = g.imbalance()
		}
	}
	g.group.Wait()
	report.Counts, report.Reasons = g.ledger.Counts(), g.ledger.Reasons()
	for _, class := range g.classes {
		if h := g.ledger.Latency(class.Name); h != nil {
			report.Latencies[class.Name] = Summarize(h)
		}
	}
	return report, ctx.Err()
}

// share returns the class's share of the load of its kind.
func (g *generator) share(class intent.Class) float64 {
	sum := 0.0
	for _, c := range g.classes {
		if c.Kind == class.Kind {
			sum += g.weight(c)
		}
	}
	if sum == 0 {
		return 0
	}
	return g.weight(class) / sum
}

// weight returns the weight of a class in the mix, or 1 without a mix.
func (g *generator) weight(c intent.Class) float64 {
	if len(g.config.Mix) == 0 {
		return 1
	}
	return g.config.Mix[c.Name]
}

// generate calls start at the given rate, each time in a new goroutine.
func (g *generator) generate(ctx context.Context, perSecond float64, start func()) {
	if perSecond <= 0 {
		return
	}
	limit := rate.NewLimiter(rate.Limit(perSecond), 1)
	for limit.Wait(ctx) == nil {
		g.group.Go(start)
	}
}

func (g *generator) startFlow(ctx context.Context, class intent.Class) {
	g.clients.Flow(ctx, standin.FlowConfig{To: class.Address, Interval: g.config.PacketInterval, Duration: g.config.FlowDuration})
}

func (g *generator) sendRequest(ctx context.Context, class intent.Class) {
	g.clients.Request(ctx, standin.RequestConfig{Class: class.Name, To: class.Address, NonRepeatable: !class.Repeatable, Deadline: g.config.Deadline})
}

// imbalance returns, by service, the highest number of flows of an endpoint divided by
// the mean.
func (g *generator) imbalance() map[string]float64 {
	ratios := map[string]float64{}
	for service, backends := range g.backends {
		highest, sum := 0, 0
		for _, b := range backends {
			flows := b.Flows()
			highest, sum = max(highest, flows), sum+flows
		}
		if sum > 0 {
			ratios[service] = float64(highest) * float64(len(backends)) / float64(sum)
		}
	}
	return ratios
}

// Summarize converts a histogram of microseconds to percentiles in milliseconds.
func Summarize(h *hdrhistogram.Histogram) Latency {
	const perMillisecond = 1000.0
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / perMillisecond }
	return Latency{Count: h.TotalCount(), P50: at(50), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / perMillisecond}
}

// Plot writes a PNG file with the open flows and the answers per second over time.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "load", "second", "count"
	var flows, answered plotter.XYs
	last := 0
	for _, s := range r.Samples {
		flows = append(flows, plotter.XY{X: s.Second, Y: float64(s.Flows)})
		answered = append(answered, plotter.XY{X: s.Second, Y: float64(s.Answered - last)})
		last = s.Answered
	}
	if err := plotutil.AddLines(p, "flows held", flows, "answers a second", answered); err != nil {
		return fmt.Errorf("plot load: %w", err)
	}
	return p.Save(6*vg.Inch, 4*vg.Inch, path)
}
