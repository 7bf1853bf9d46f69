// Package instance runs one instance: it puts sockets, files, timers and
// calls round the decision cores. One goroutine owns the entry's control
// state, another its traffic; where the settings name a data folder, a third
// owns the replicated log and the leader's decisions.
package instance

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/telemetry"
	"oxbowsaddle/internal/wire"
)

type (
	// Config is what an Instance is made from.
	Config struct {
		Settings settings.Settings
		Name     string
		Log      *log.Logger
		Now      func() time.Time
		// Placement names the baseline to run instead of the project's own
		// placement; empty in every real use.
		Placement string
		// Blocked tells addresses that cannot be reached now, as the demo cuts
		// failure domains off from each other; nil in every real use.
		Blocked func(netip.AddrPort) bool
	}

	// Instance is one entry instance.
	Instance struct {
		config    Config
		self      settings.Instance
		log       *log.Logger
		now       func() time.Time
		counters  *telemetry.Counters
		tracer    *telemetry.Tracer
		decisions *explain.Ring[*wire.Decision]
		view      atomic.Pointer[flow.View]
		traffic   *traffic
		control   *controlLoop
		leader    *leaderLoop // nil without a data folder
		dialer    *dialer
		checker   *checker
		listener  net.Listener
		budget    *budget
		stop      context.CancelFunc
		done      chan struct{}
		stopped   atomic.Bool
	}
)

// New opens sockets and files. Nothing is decided before Run.
func New(c Config) (*Instance, error) {
	self, err := c.Settings.Instance(c.Name)
	if err != nil {
		return nil, err
	}
	if c.Blocked == nil {
		c.Blocked = func(netip.AddrPort) bool { return false }
	}
	i := &Instance{
		config: c, self: self, log: c.Log, now: c.Now, counters: telemetry.NewCounters(),
		decisions: explain.NewRing[*wire.Decision](c.Settings.Limits.Decisions), done: make(chan struct{}),
	}
	i.view.Store(&flow.View{Table: emptyTable})
	i.budget = newBudget(c.Settings.Limits, i.counters)
	if i.tracer, err = telemetry.NewTracer(c.Settings.Trace); err != nil {
		return nil, fault.Wrap(fault.DataFolder, err)
	}
	if i.dialer, err = newDialer(c.Settings, c.Blocked); err != nil {
		return nil, err
	}
	if i.traffic, err = newTraffic(i); err != nil {
		return nil, err
	}
	if i.listener, err = i.dialer.listen(self.Control); err != nil {
		return nil, errors.Join(err, i.traffic.close())
	}
	incarnation := uint64(c.Now().UnixNano())
	i.traffic.buildCore(incarnation)
	i.control = newControlLoop(i, incarnation)
	i.checker = newChecker(i)
	if self.Data != "" {
		if i.leader, err = newLeaderLoop(i); err != nil {
			return nil, errors.Join(err, i.traffic.close(), i.listener.Close())
		}
	}
	return i, nil
}

// Counters returns the counters, for tests and reports.
func (i *Instance) Counters() *telemetry.Counters { return i.counters }

// Ready reports whether the instance may decide: it knows the table and holds
// a lease. A fabric should hand packets to it only then.
func (i *Instance) Ready() bool {
	v := i.view.Load()
	return v.Table.Index() > 0 && i.now().Before(v.LeaseUntil)
}

// Run serves until the context ends or a part fails.
func (i *Instance) Run(ctx context.Context) error {
	ctx, i.stop = context.WithCancel(ctx)
	defer close(i.done)
	defer i.stop()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return i.traffic.run(ctx) })
	group.Go(func() error { return i.control.run(ctx) })
	group.Go(func() error { return i.serve(ctx) })
	group.Go(func() error { return i.checker.run(ctx) })
	group.Go(func() error { return i.control.runPlatform(ctx) })
	if i.leader != nil {
		group.Go(func() error { return i.leader.run(ctx) })
	}
	i.log.Info("started", "domain", i.self.Domain, "packets", i.self.Packets, "control", i.self.Control, "control_instance", i.leader != nil)
	err := group.Wait()
	err = errors.Join(ignoreShutdown(err), i.closeAll())
	i.log.Info("ended", "error", err)
	return err
}

func ignoreShutdown(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (i *Instance) closeAll() error {
	const timeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := errors.Join(ignoreShutdown(i.traffic.close()), ignoreShutdown(i.listener.Close()), i.tracer.Close(ctx))
	i.dialer.close()
	if i.leader != nil {
		err = errors.Join(err, i.leader.close())
	}
	return err
}

// Kill ends the instance without a word, as a crash does.
func (i *Instance) Kill() {
	i.stop()
	<-i.done
}

// Stop ends the instance as planned: it announces the stop, hands over what
// it holds, and then ends. It gives up waiting at the context's end, with the
// kind fault.HandoverUnfinished.
func (i *Instance) Stop(ctx context.Context) error {
	if i.stopped.Swap(true) {
		return nil
	}
	i.control.stop()
	var err error
	select {
	case <-i.control.handedOver:
	case <-i.done:
	case <-ctx.Done():
		err = fault.New(fault.HandoverUnfinished, "handover not finished: %w", ctx.Err())
	}
	i.Kill()
	return err
}

// PlacementModulo names the baseline that reports compare with.
const PlacementModulo = "modulo"
