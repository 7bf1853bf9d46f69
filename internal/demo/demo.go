package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/wire"
)

const (
	warmUp              = 3 * time.Second         // before the first event
	coolDown            = 1500 * time.Millisecond // between the end of the traffic and that of the run
	fabricDetectionTime = 300 * time.Millisecond  // until the fabric stops sending to a killed entry
	stopTimeout         = 8 * time.Second
	feedInterval        = 400 * time.Millisecond
	feedsPerEndpoint    = 60 // long-lived flows per endpoint of the first service
)

// Report is the result of a run, as counted by clients and backend servers.
// For the counts see standin.Counts.
type Report struct {
	Example          string             `json:"user"`
	Placement        string             `json:"placement"`
	Seconds          float64            `json:"seconds"`
	Flows            int                `json:"flows"`
	BrokenPlanned    int                `json:"broken_planned"`
	BrokenUnplanned  int                `json:"broken_unplanned"`
	Misdelivered     int                `json:"misdelivered"`
	Crossed          int                `json:"crossed"`
	NotOpened        int                `json:"not_opened"`
	Requests         int                `json:"requests"`
	Answered         int                `json:"answered"`
	NotRun           int                `json:"not_run"`
	Unknown          int                `json:"unknown"`
	NoAnswer         int                `json:"no_answer"`
	RanTwice         int                `json:"ran_twice"`
	FalseNotRun      int                `json:"false_not_run"`
	LateNew          int                `json:"late_new"`
	Incomplete       int                `json:"incomplete"`
	Imbalance        map[string]float64 `json:"imbalance"`
	PacketsPerSecond float64            `json:"packets_per_second"`
	RelayedShare     float64            `json:"relayed_share"`
	Reasons          map[string]int     `json:"reasons,omitempty"`
	Events           []string           `json:"events"`
}

// EventNames returns the names of all events, in the order in which "all" runs
// them.
func EventNames() []string { return []string{"drain", "join", "kill", "restart", "cut"} }

// ViolatedGuarantees returns the guarantees that the run violated, each with its
// count.
func (r Report) ViolatedGuarantees() []string {
	var violated []string
	for _, p := range []struct {
		name  string
		count int
	}{
		{"broken_planned", r.BrokenPlanned}, {"misdelivered", r.Misdelivered}, {"crossed", r.Crossed},
		{"ran_twice", r.RanTwice}, {"false_not_run", r.FalseNotRun}, {"late_new", r.LateNew}, {"incomplete", r.Incomplete},
	} {
		if p.count > 0 {
			violated = append(violated, fmt.Sprintf("%s %d", p.name, p.count))
		}
	}
	return violated
}

// Run runs the demo and returns its report.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, config)
	if f != nil {
		defer func() { _ = f.close() }()
	}
	if err != nil {
		return Report{}, err
	}
	time.Sleep(warmUp / 2)
	r := &run{fleet: f, rng: rand.New(rand.NewPCG(config.Seed, 9)), started: config.Now(), imbalanceSamples: map[string][]float64{}}
	report, err := r.run(ctx)
	cancel()
	f.group.Wait()
	return report, errors.Join(err, errors.Join(f.runErrors...))
}

// run is one run of the demo with its traffic and events.
type run struct {
	fleet            *fleet
	rng              *rand.Rand
	started          time.Time
	events           []string             // triggered events, with their times
	imbalanceSamples map[string][]float64 // by service
	drained          string               // name of the draining endpoint, or empty
}

func (r *run) run(ctx context.Context) (Report, error) {
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	var clients sync.WaitGroup
	trafficEnd := r.started.Add(r.fleet.config.Duration)
	r.startTraffic(traffic, &clients, trafficEnd.Add(-coolDown))
	if err := r.runEvents(ctx, trafficEnd); err != nil {
		return Report{}, err
	}
	clientsDone := make(chan struct{})
	go clientWait{&clients, clientsDone}.run()
	const clientTimeout = 12 * time.Second
	select {
	case <-clientsDone:
	case <-time.After(clientTimeout):
		stopTraffic()
		<-clientsDone
	}
	return r.report(), nil
}

// runEvents triggers the events when they are due, and meanwhile prints progress
// and samples the imbalance.
func (r *run) runEvents(ctx context.Context, end time.Time) error {
	events := r.schedule()
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for now := r.fleet.config.Now(); now.Before(end); now = r.fleet.config.Now() {
		for len(events) > 0 && !now.Before(events[0].at) {
			if err := events[0].trigger(ctx); err != nil {
				return fmt.Errorf("event %s: %w", events[0].name, err)
			}
			r.events = append(r.events, fmt.Sprintf("%.1fs %s", now.Sub(r.started).Seconds(), events[0].name))
			events = events[1:]
		}
		r.sampleImbalance()
		r.printProgress(now)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (r *run) printProgress(now time.Time) {
	c := r.fleet.recorder.Counts()
	lastEvent := "steady"
	if len(r.events) > 0 {
		lastEvent = r.events[len(r.events)-1]
	}
	fmt.Fprintf(r.fleet.config.Progress, "%5.1fs  flows open %d of %d  broken %d+%d  requests %d answered %d not run %d unknown %d  last event: %s\n",
		now.Sub(r.started).Seconds(), c.FlowsOpen, c.Flows, c.BrokenPlanned, c.BrokenUnplanned, c.Requests, c.Answered, c.NotRun, c.Unknown, lastEvent)
}

// sampleImbalance records, for each service with enough flows, the ratio of the
// highest to the mean number of flows per endpoint. It ignores a leaving endpoint.
func (r *run) sampleImbalance() {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	for service, backends := range r.fleet.backends {
		highest, sum, n := 0, 0, 0
		for name, b := range backends {
			if name == r.drained {
				continue
			}
			flows := b.Flows()
			highest, sum, n = max(highest, flows), sum+flows, n+1
		}
		if sum >= 20*n {
			r.imbalanceSamples[service] = append(r.imbalanceSamples[service], float64(highest)*float64(n)/float64(sum))
		}
	}
}

type event struct {
	name    string
	at      time.Time
	trigger func(context.Context) error
}

// schedule spreads the events evenly over the run.
func (r *run) schedule() []event {
	handlers := map[string]func(context.Context) error{
		"drain": r.drain, "join": r.join, "kill": r.kill, "restart": r.restartAll, "cut": r.isolateDomain,
	}
	names := r.fleet.config.Events
	interval := (r.fleet.config.Duration - warmUp - 2*coolDown) / time.Duration(len(names)+1)
	var events []event
	for n, name := range names {
		events = append(events, event{name, r.started.Add(warmUp + time.Duration(n)*interval), handlers[name]})
	}
	return events
}

func (r *run) firstService() string {
	services, _ := r.fleet.team["services"].([]any)
	name, _ := services[0].(string)
	return name
}

// drain marks the third endpoint of the first service as leaving.
func (r *run) drain(ctx context.Context) error {
	service := r.firstService()
	endpoints, _ := r.fleet.services[service]["endpoints"].([]any)
	endpoint, _ := endpoints[2].(map[string]any)
	endpoint["leaving"] = true
	r.drained, _ = endpoint["name"].(string)
	r.fleet.recorder.RecordDrain(r.drained)
	return r.fleet.submit(ctx, []*wire.Object{r.fleet.serviceObject(service)})
}

// join adds an endpoint to the first service; it is slow until it has warmed up.
func (r *run) join(ctx context.Context) error {
	service := r.firstService()
	var spec intent.Service
	object := r.fleet.serviceObject(service)
	if err := json.Unmarshal(object.Body, &spec); err != nil {
		return err
	}
	first := spec.Endpoints[0]
	added := intent.Endpoint{Name: service + "-joined", Domain: first.Domain, Slots: first.Slots, Connections: first.Connections}
	const warmup = 2 * time.Second
	entry, err := r.fleet.addBackend(service, spec, added, warmup)
	if err != nil {
		return err
	}
	endpoints, _ := r.fleet.services[service]["endpoints"].([]any)
	r.fleet.services[service]["endpoints"] = append(endpoints, entry)
	return r.fleet.submit(ctx, []*wire.Object{r.fleet.serviceObject(service)})
}

// kill ends a random entry other than the first without a planned stop, and
// restarts it later without its state.
func (r *run) kill(ctx context.Context) error {
	name := r.fleet.settings.Instances[1+r.rng.IntN(len(r.fleet.settings.Instances)-1)].Name
	r.fleet.recorder.RecordUnplannedEvent()
	r.fleet.mu.Lock()
	inst := r.fleet.instances[name]
	r.fleet.mu.Unlock()
	inst.Kill()
	time.Sleep(fabricDetectionTime)
	r.fleet.fabric.RemoveEntry(name)
	go delayedRestart{r.fleet, name}.run(ctx)
	return nil
}

// isolateDomain cuts off the last failure domain for partitionDuration.
func (r *run) isolateDomain(ctx context.Context) error {
	instances := r.fleet.settings.Instances
	domain := instances[len(instances)-1].Domain
	r.fleet.recorder.RecordUnplannedEvent()
	r.fleet.setPartitioned(domain, true)
	go delayedRejoin{r.fleet, domain}.run(ctx)
	return nil
}

// restartAll restarts the entries one after the other, each with a planned stop.
func (r *run) restartAll(ctx context.Context) error {
	for _, settings := range r.fleet.settings.Instances {
		r.fleet.mu.Lock()
		inst := r.fleet.instances[settings.Name]
		r.fleet.mu.Unlock()
		stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		r.fleet.fabric.RemoveEntry(settings.Name)
		err := inst.Stop(stopCtx)
		cancel()
		if err != nil {
			return fmt.Errorf("stop %s: %w", settings.Name, err)
		}
		if err := r.fleet.start(ctx, settings.Name); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
	return nil
}

func (r *run) report() Report {
	c := r.fleet.recorder.Counts()
	report := Report{
		Example: r.fleet.config.Example, Placement: placementName(r.fleet.config.Placement), Seconds: r.fleet.config.Duration.Seconds(),
		Flows: c.Flows, BrokenPlanned: c.BrokenPlanned, BrokenUnplanned: c.BrokenUnplanned, Misdelivered: c.Misdelivered,
		Crossed: c.Crossed, NotOpened: c.NotOpened, Requests: c.Requests, Answered: c.Answered, NotRun: c.NotRun,
		Unknown: c.Unknown, NoAnswer: c.NoAnswer, RanTwice: c.RanTwice, FalseNotRun: c.FalseNotRun, LateNew: c.LateNew,
		Incomplete: c.Incomplete, Imbalance: map[string]float64{}, Reasons: r.fleet.recorder.Reasons(), Events: r.events,
	}
	for service, values := range r.imbalanceSamples {
		slices.Sort(values)
		report.Imbalance[service] = values[len(values)/2]
	}
	var packets, relayed, forwarded int64
	r.fleet.mu.Lock()
	for _, i := range r.fleet.instances {
		packets += i.Counters().Counter("packets_in").Count()
		relayed += i.Counters().Counter("packets_relayed").Count()
		forwarded += i.Counters().Counter("flow_by_cache").Count() + i.Counters().Counter("flow_by_settled").Count()
	}
	r.fleet.mu.Unlock()
	report.PacketsPerSecond = float64(packets) / r.fleet.config.Duration.Seconds()
	if packets > 0 {
		report.RelayedShare = float64(relayed) / float64(packets)
	}
	return report
}

func placementName(placement string) string {
	if placement == "" {
		return "oxbowsaddle"
	}
	return placement
}

// WriteTable writes the report as a table for people to read.
func (r Report) WriteTable(w io.Writer) {
	writeRow := func(name string, value any) { fmt.Fprintf(w, "  %-22s %v\n", name, value) }
	fmt.Fprintf(w, "\n%s, placement %s, %.0f s, events: %s\n", r.Example, r.Placement, r.Seconds, strings.Join(r.Events, ", "))
	writeRow("flows", r.Flows)
	writeRow("broken, planned", r.BrokenPlanned)
	writeRow("broken, unplanned", r.BrokenUnplanned)
	writeRow("misdelivered", r.Misdelivered)
	writeRow("new on leaving", r.LateNew)
	writeRow("requests", r.Requests)
	writeRow("answered", r.Answered)
	writeRow("not run, reported", r.NotRun)
	writeRow("unknown", r.Unknown)
	writeRow("ran twice", r.RanTwice)
	writeRow("false not run", r.FalseNotRun)
	for _, service := range slices.Sorted(mapKeys(r.Imbalance)) {
		writeRow("imbalance "+service, fmt.Sprintf("%.3f", r.Imbalance[service]))
	}
	writeRow("packets per second", fmt.Sprintf("%.0f", r.PacketsPerSecond))
	writeRow("relayed share", fmt.Sprintf("%.4f", r.RelayedShare))
}

func mapKeys(m map[string]float64) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Err returns an error that lists the violated guarantees, or nil.
func (r Report) Err() error {
	if violated := r.ViolatedGuarantees(); len(violated) > 0 {
		return fault.New(fault.PromiseBroken, "%s", strings.Join(violated, ", "))
	}
	return nil
}
