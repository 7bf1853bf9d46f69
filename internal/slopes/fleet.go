package slopes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/instance"
	"oxbowsaddle/internal/member"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/standin"
	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/internal/wire"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	fleetTimeout      = 30 * time.Second
	pollInterval      = 5 * time.Millisecond
)

// fleet runs three real control instances and any number of light instances in
// one process.
type fleet struct {
	settings         settings.Settings
	cancel           context.CancelFunc
	goroutines       sync.WaitGroup
	dataFolder       string
	lightInstances   []*lightInstance
	controlInstances []*instance.Instance
	target           int // index of the control instance that call connects to
	now              func() time.Time
}

// lightInstance sends heartbeats and applies the replicated log as an entry
// does, but carries no traffic.
type lightInstance struct {
	name         string
	domain       string
	appliedIndex atomic.Uint64 // last index of the log that was applied
	activeIndex  atomic.Uint64 // index up to which changes are in effect
}

// fleetConfig configures startFleet.
type fleetConfig struct {
	lightCount int // number of light instances
	now        func() time.Time
	freeAddr   func(network string) (netip.AddrPort, error) // returns an unused loopback address
}

// startFleet starts a fleet. It may return a fleet together with an error; the
// caller must close it then too.
func startFleet(c fleetConfig) (*fleet, error) {
	folder, err := os.MkdirTemp("", "oxbowsaddle-slopes-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{dataFolder: folder, now: c.now, settings: settings.Default(), cancel: cancel}
	f.settings.HashKey = "000102030405060708090a0b0c0d0e0f"
	f.settings.Fabric = netip.MustParseAddrPort("127.0.0.1:9")
	for n := range 3 {
		control, err := c.freeAddr("tcp")
		if err != nil {
			return f, err
		}
		f.settings.Instances = append(f.settings.Instances, settings.Instance{
			Name: fmt.Sprint("control", n), Domain: fmt.Sprint("d", n), ControlAddr: control,
			PacketAddr: netip.MustParseAddrPort("127.0.0.1:0"), DataFolder: filepath.Join(folder, fmt.Sprint(n)),
		})
	}
	for _, i := range f.settings.Instances {
		logger, err := telemetry.NewLogger(io.Discard, "error", i.Name)
		if err != nil {
			return f, err
		}
		controlInstance, err := instance.New(instance.Config{Settings: f.settings, Name: i.Name, Log: logger, Now: c.now})
		if err != nil {
			return f, err
		}
		f.controlInstances = append(f.controlInstances, controlInstance)
		f.goroutines.Go(func() { _ = controlInstance.Run(ctx) })
	}
	for n := range c.lightCount {
		l := &lightInstance{name: fmt.Sprint("light", n), domain: fmt.Sprint("d", n%16)}
		f.lightInstances = append(f.lightInstances, l)
		f.goroutines.Go(func() { l.run(ctx, f.settings, c.now) })
	}
	return f, nil
}

// close stops all instances and removes their data.
func (f *fleet) close() error {
	f.cancel()
	f.goroutines.Wait()
	return os.RemoveAll(f.dataFolder)
}

// run sends heartbeats until the context ends. It tries control instances until
// it has a connection to the leader.
func (l *lightInstance) run(ctx context.Context, s settings.Settings, now func() time.Time) {
	core := member.New(member.Config{Name: l.name, Domain: l.domain, Incarnation: 1})
	var client wire.DRPCControlClient
	var closeConn func() error
	attempts := 0
	for ctx.Err() == nil {
		if client == nil {
			target := s.Instances[attempts%len(s.Instances)]
			if leader, err := s.Instance(core.Leader()); err == nil && attempts%2 == 0 {
				target = leader
			}
			attempts++
			var err error
			if client, closeConn, err = instance.Dial(ctx, target.ControlAddr, s.TLS); err != nil {
				client = nil
			}
		}
		more := false
		if client != nil {
			sent := now()
			reply, err := client.Beat(ctx, core.NextHeartbeat(flow.SweepResult{Index: core.State().Index()}, nil))
			if err == nil {
				more, err = core.HandleReply(sent, reply)
			}
			if err != nil || !reply.Leader {
				_ = closeConn()
				client = nil
			}
			l.appliedIndex.Store(core.State().Index())
			l.activeIndex.Store(core.Active())
		}
		if !more {
			select {
			case <-time.After(heartbeatInterval):
			case <-ctx.Done():
			}
		}
	}
}

// awaitReady waits until all instances are listed as members and every change is
// active.
func (f *fleet) awaitReady(ctx context.Context) error {
	deadline := f.now().Add(fleetTimeout)
	for f.now().Before(deadline) {
		s, err := f.status(ctx)
		if err == nil && len(s.Members) == len(f.lightInstances)+len(f.settings.Instances) && s.Active == s.Commit {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("not all instances were listed and up to date in time")
}

// call makes a request to the target control instance on a new connection.
func (f *fleet) call(ctx context.Context, request func(wire.DRPCControlClient) error) error {
	client, closeConn, err := instance.Dial(ctx, f.settings.Instances[f.target].ControlAddr, f.settings.TLS)
	if err != nil {
		return err
	}
	defer func() { _ = closeConn() }()
	return request(client)
}

// status returns the status that the target control instance reports.
func (f *fleet) status(ctx context.Context) (s *wire.StatusReply, err error) {
	err = f.call(ctx, func(client wire.DRPCControlClient) error {
		s, err = client.Status(ctx, &wire.StatusRequest{})
		return err
	})
	return s, err
}

// submit submits a change and returns its revision. The base is higher than any
// revision, so that the change never conflicts.
func (f *fleet) submit(ctx context.Context, id string, objects ...*wire.Object) (revision uint64, err error) {
	err = f.call(ctx, func(client wire.DRPCControlClient) error {
		reply, err := client.Submit(ctx, &wire.Change{Id: id, Author: "slopes", Base: 1 << 60, Objects: objects})
		if err != nil {
			return err
		}
		if reply.Kind != "accepted" {
			return fmt.Errorf("%s %s %v", reply.Kind, reply.Detail, reply.Faults)
		}
		revision = reply.Revision
		return nil
	})
	return revision, err
}

// activationTime measures the milliseconds from the submission of a change until
// every light instance knows that it is active, as the mean of several changes.
func activationTime(m *meter, lightCount int) (float64, error) {
	const changes = 5
	f, err := startFleet(fleetConfig{lightCount: lightCount, now: m.now, freeAddr: standin.FreeAddr})
	if f != nil {
		defer func() { _ = f.close() }()
	}
	if err != nil {
		return 0, err
	}
	ctx := context.Background()
	if err := f.awaitReady(ctx); err != nil {
		return 0, err
	}
	template := &wire.Object{Kind: "template", Name: "t", Body: []byte(`{"parameters":{}}`)}
	total := 0.0
	for n := range changes {
		sent := m.now()
		revision, err := f.submit(ctx, fmt.Sprint("c", n), template)
		if err != nil {
			return 0, err
		}
		if err := f.awaitActive(revision); err != nil {
			return 0, err
		}
		total += float64(m.now().Sub(sent).Milliseconds())
	}
	return total / changes, nil
}

// awaitActive waits until every light instance knows that a revision is active.
func (f *fleet) awaitActive(revision uint64) error {
	deadline := f.now().Add(fleetTimeout)
	for f.now().Before(deadline) {
		behind := 0
		for _, l := range f.lightInstances {
			if l.activeIndex.Load() < revision {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("revision %d did not become active on all light instances in time", revision)
}

// leaderCPU measures the CPU usage of an idle fleet, in thousandths of a core. The
// process runs all instances, so the result is an upper bound for the leader.
func leaderCPU(m *meter, lightCount int) (float64, error) {
	const window = 3 * time.Second
	f, err := startFleet(fleetConfig{lightCount: lightCount, now: m.now, freeAddr: standin.FreeAddr})
	if f != nil {
		defer func() { _ = f.close() }()
	}
	if err != nil {
		return 0, err
	}
	if err := f.awaitReady(context.Background()); err != nil {
		return 0, err
	}
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	time.Sleep(window)
	after, err := cpuTime()
	return float64(after-before) / float64(window) * 1000, err
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
