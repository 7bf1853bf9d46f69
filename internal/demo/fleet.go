// Package demo runs a whole fleet in one process on loopback sockets, with
// simulated clients, backend servers and network fabric, and reports what
// clients and backend servers have seen.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"oxbowsaddle/examples"
	"oxbowsaddle/internal/instance"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/standin"
	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/internal/wire"
)

type (
	// Config configures a run.
	Config struct {
		Example   string // folder of package examples: visa or qasr
		Seed      uint64
		Duration  time.Duration // of the traffic
		Events    []string      // some of EventNames
		Placement string        // empty, or instance.PlacementModulo
		DataDir   string        // parent of the instances' data folders
		Log       io.Writer
		LogLevel  string
		Progress  io.Writer
		Now       func() time.Time
	}

	// fleet holds the instances of an example, with the simulated clients, backend
	// servers and fabric.
	fleet struct {
		config      Config
		settings    settings.Settings
		services    map[string]map[string]any // decoded JSON of the services, by name
		team        map[string]any
		teamName    string
		fabric      *standin.Fabric
		recorder    *standin.Recorder
		clients     *standin.Clients
		mu          sync.Mutex
		instances   map[string]*instance.Instance
		backends    map[string]map[string]*standin.Backend // by service and name
		group       sync.WaitGroup
		runErrors   []error
		changeCount int
		partitioned atomic.Pointer[string]    // failure domain that is cut off, or nil
		domainOf    map[netip.AddrPort]string // failure domain, by address
		templates   map[string]json.RawMessage
	}
)

// newFleet reads the example, gives its instances free ports, starts them, and
// submits the configuration. On an error, the fleet may be partly started.
func newFleet(ctx context.Context, config Config) (*fleet, error) {
	f := &fleet{config: config, instances: map[string]*instance.Instance{}, backends: map[string]map[string]*standin.Backend{}, services: map[string]map[string]any{}, domainOf: map[netip.AddrPort]string{}}
	f.recorder = standin.NewRecorder(config.Now)
	var err error
	if f.fabric, err = standin.NewFabric(netip.MustParseAddrPort("127.0.0.1:0"), config.Seed); err != nil {
		return nil, err
	}
	f.clients = standin.NewClients(f.fabric, f.recorder, config.Now)
	if err := errors.Join(f.readSettings(), f.readIntent()); err != nil {
		return f, err
	}
	for _, i := range f.settings.Instances {
		if err := f.start(ctx, i.Name); err != nil {
			return f, err
		}
	}
	return f, f.submitAll(ctx)
}

func (f *fleet) readSettings() error {
	data, err := examples.Files.ReadFile(f.config.Example + "/settings.jsonc")
	if err != nil {
		return fmt.Errorf("no example %q: choose visa or qasr", f.config.Example)
	}
	s, faults := settings.Parse(data)
	if len(faults) > 0 {
		return fmt.Errorf("example settings: %v", faults[0])
	}
	s.Fabric = f.fabric.Addr()
	s.Times.Ramp = settings.Duration(3 * time.Second)
	for n := range s.Instances {
		inst := &s.Instances[n]
		if inst.PacketAddr, err = standin.FreeAddr("udp"); err != nil {
			return err
		}
		if inst.ControlAddr, err = standin.FreeAddr("tcp"); err != nil {
			return err
		}
		f.domainOf[inst.PacketAddr], f.domainOf[inst.ControlAddr] = inst.Domain, inst.Domain
		if inst.DataFolder != "" {
			inst.DataFolder = filepath.Join(f.config.DataDir, inst.Name)
		}
	}
	f.settings = s
	return nil
}

// readIntent reads the example's configuration and starts a backend server for
// each endpoint, whose addresses it fills in.
func (f *fleet) readIntent() error {
	data, err := examples.Files.ReadFile(f.config.Example + "/intent.jsonc")
	if err != nil {
		return err
	}
	objects, err := intent.ParseFile(data)
	if err != nil {
		return err
	}
	f.templates = map[string]json.RawMessage{}
	for _, o := range objects {
		switch o.Kind {
		case intent.KindTemplate:
			f.templates[o.Name] = o.Body
		case intent.KindTeam:
			f.teamName = o.Name
			if err := json.Unmarshal(o.Body, &f.team); err != nil {
				return err
			}
		case intent.KindService:
			if err := f.readService(o); err != nil {
				return err
			}
		}
	}
	// Flows of the demo send often, so a short idle timeout doesn't end them. It lets
	// drains complete within the run.
	parameters, _ := f.team["parameters"].(map[string]any)
	if parameters == nil {
		parameters = map[string]any{}
	}
	parameters["idle"] = "2s"
	f.team["parameters"] = parameters
	return nil
}

func (f *fleet) readService(o intent.Object) error {
	var spec intent.Service
	var raw map[string]any
	if err := errors.Join(json.Unmarshal(o.Body, &spec), json.Unmarshal(o.Body, &raw)); err != nil {
		return err
	}
	f.backends[o.Name] = map[string]*standin.Backend{}
	var endpoints []any
	for _, e := range spec.Endpoints {
		entry, err := f.addBackend(o.Name, spec, e, 0)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, entry)
	}
	raw["endpoints"] = endpoints
	f.services[o.Name] = raw
	return nil
}

// addBackend starts a backend server and returns the configuration of its
// endpoint.
func (f *fleet) addBackend(service string, spec intent.Service, endpoint intent.Endpoint, warmup time.Duration) (map[string]any, error) {
	var addresses []netip.AddrPort
	for _, class := range spec.Classes {
		addresses = append(addresses, class.Address)
	}
	const serviceTime, blocks = 40 * time.Millisecond, 4
	server, err := standin.NewBackend(standin.BackendConfig{
		Name: endpoint.Name, Service: service, Addr: netip.MustParseAddrPort("127.0.0.1:0"), HealthAddr: netip.MustParseAddrPort("127.0.0.1:0"),
		Addresses: addresses, Slots: endpoint.Slots, Connections: endpoint.Connections, ServiceTime: serviceTime, Warmup: warmup, Blocks: blocks,
		Pick: func() (netip.AddrPort, bool) { return f.pickEntry(endpoint.Domain) }, Recorder: f.recorder, Now: f.config.Now,
	})
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.backends[service][endpoint.Name] = server
	f.domainOf[server.Addr()] = endpoint.Domain
	f.mu.Unlock()
	return map[string]any{
		"name": endpoint.Name, "address": server.Addr().String(), "health": server.HealthAddr().String(), "domain": endpoint.Domain,
		"slots": endpoint.Slots, "connections": endpoint.Connections,
	}, nil
}

// start starts an instance; the fabric sends to it as soon as it is ready.
func (f *fleet) start(ctx context.Context, name string) error {
	logger, err := telemetry.NewLogger(f.config.Log, f.config.LogLevel, name)
	if err != nil {
		return err
	}
	inst, err := instance.New(instance.Config{Settings: f.settings, Name: name, Log: logger, Now: f.config.Now, Placement: f.config.Placement, Blocked: f.blockFunc(name)})
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.instances[name] = inst
	f.mu.Unlock()
	f.group.Go(func() {
		if err := inst.Run(ctx); err != nil {
			f.mu.Lock()
			f.runErrors = append(f.runErrors, fmt.Errorf("%s: %w", name, err))
			f.mu.Unlock()
		}
	})
	own, err := f.settings.Instance(name)
	if err != nil {
		return err
	}
	f.group.Go(func() { f.announceWhenReady(ctx, inst, name, own.PacketAddr) })
	return nil
}

// announceWhenReady adds an instance to the fabric once it is ready, like a
// fabric that checks the health of its next hops.
func (f *fleet) announceWhenReady(ctx context.Context, inst *instance.Instance, name string, addr netip.AddrPort) {
	const pollInterval = 20 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !inst.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	f.fabric.AddEntry(name, addr)
}

// separated reports whether the current partition separates two failure domains.
func (f *fleet) separated(a, b string) bool {
	partitioned := f.partitioned.Load()
	return partitioned != nil && (a == *partitioned) != (b == *partitioned)
}

// blockFunc returns a function that reports whether an instance currently
// cannot reach an address.
func (f *fleet) blockFunc(name string) func(netip.AddrPort) bool {
	own, err := f.settings.Instance(name)
	return func(to netip.AddrPort) bool {
		if err != nil || f.partitioned.Load() == nil {
			return false
		}
		f.mu.Lock()
		domain, known := f.domainOf[to]
		f.mu.Unlock()
		return known && f.separated(own.Domain, domain)
	}
}

// pickEntry returns a random entry that a backend server in domain can reach.
func (f *fleet) pickEntry(domain string) (netip.AddrPort, bool) {
	return f.fabric.PickAmong(func(name string) bool {
		i, err := f.settings.Instance(name)
		return err == nil && !f.separated(domain, i.Domain)
	})
}

// setPartitioned cuts a failure domain off from the others and from the clients,
// or reconnects it.
func (f *fleet) setPartitioned(domain string, on bool) {
	var names []string
	for _, i := range f.settings.Instances {
		if i.Domain == domain {
			names = append(names, i.Name)
		}
	}
	if on {
		f.partitioned.Store(&domain)
	} else {
		f.partitioned.Store(nil)
	}
	f.fabric.SetHidden(names, on)
}

// submitAll submits the whole example, like `oxbowsaddle accept`.
func (f *fleet) submitAll(ctx context.Context) error {
	var objects []*wire.Object
	for name, body := range f.templates {
		objects = append(objects, &wire.Object{Kind: intent.KindTemplate, Name: name, Body: body})
	}
	for name := range f.services {
		objects = append(objects, f.serviceObject(name))
	}
	team, err := json.Marshal(f.team)
	if err != nil {
		return err
	}
	objects = append(objects, &wire.Object{Kind: intent.KindTeam, Name: f.teamName, Body: team})
	return f.submit(ctx, objects)
}

func (f *fleet) serviceObject(name string) *wire.Object {
	f.mu.Lock()
	defer f.mu.Unlock()
	body, err := json.Marshal(f.services[name])
	if err != nil {
		return nil
	}
	return &wire.Object{Kind: intent.KindService, Name: name, Body: body}
}

// submit sends a change to one instance after the other until it is accepted.
// All attempts carry the same ID, so it is applied once.
func (f *fleet) submit(ctx context.Context, objects []*wire.Object) error {
	const maxAttempts, retryInterval = 40, 250 * time.Millisecond
	f.changeCount++
	change := &wire.Change{Id: fmt.Sprintf("demo-%d", f.changeCount), Author: "demo", Base: 1 << 62, Objects: objects}
	var lastReply string
	for try := range maxAttempts {
		target := f.settings.Instances[try%len(f.settings.Instances)]
		reply, err := submitOnce(ctx, target.ControlAddr, change)
		if err == nil && (reply.Kind == "accepted" || reply.Kind == "already accepted") {
			return nil
		}
		if err == nil {
			lastReply = fmt.Sprint(reply.Kind, " ", reply.Detail, " ", reply.Faults)
			if reply.Kind == "invalid" || reply.Kind == "conflict" || reply.Kind == "needs confirmation" {
				break
			}
		}
		time.Sleep(retryInterval)
	}
	return fmt.Errorf("the configuration was not accepted: %s", lastReply)
}

func submitOnce(ctx context.Context, addr netip.AddrPort, change *wire.Change) (*wire.SubmitReply, error) {
	client, closeConn, err := instance.Dial(ctx, addr, settings.TLS{})
	if err != nil {
		return nil, err
	}
	defer func() { _ = closeConn() }()
	return client.Submit(ctx, change)
}

func (f *fleet) close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	errs := []error{f.fabric.Close()}
	for _, backends := range f.backends {
		for _, b := range backends {
			errs = append(errs, b.Close())
		}
	}
	return errors.Join(errs...)
}
