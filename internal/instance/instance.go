// Package instance runs one entry instance. It connects the packages that make the
// decisions to sockets, files, timers and remote calls. One goroutine owns the entry's
// control state and another its traffic. On control instances, which have a data folder,
// a third one owns the replicated log and the controller.
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
	// Config configures an Instance.
	Config struct {
		Settings settings.Settings
		Name     string
		Log      *log.Logger
		Now      func() time.Time
		// Placement is PlacementModulo to run a baseline for comparison, and otherwise
		// empty.
		Placement string
		// Blocked reports whether an address must not be reached, to simulate network
		// partitions. It may be nil.
		Blocked func(netip.AddrPort) bool
	}

	// Instance runs one entry and, on a control instance, a replica of the log.
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
		stopped   atomic.Bool // Stop was called
	}
)

// New opens the sockets and files of an instance. Run starts it.
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
		decisions: explain.NewRing[*wire.Decision](c.Settings.Limits.MaxDecisions), done: make(chan struct{}),
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
	if i.listener, err = i.dialer.listen(self.ControlAddr); err != nil {
		return nil, errors.Join(err, i.traffic.close())
	}
	incarnation := uint64(c.Now().UnixNano())
	i.traffic.buildCore(incarnation)
	i.control = newControlLoop(i, incarnation)
	i.checker = newChecker(i)
	if self.DataFolder != "" {
		if i.leader, err = newLeaderLoop(i); err != nil {
			return nil, errors.Join(err, i.traffic.close(), i.listener.Close())
		}
	}
	return i, nil
}

// Counters returns the instance's counters.
func (i *Instance) Counters() *telemetry.Counters { return i.counters }

// Ready reports whether the instance has a table and a lease, and can process packets.
func (i *Instance) Ready() bool {
	v := i.view.Load()
	return v.Table.Index() > 0 && i.now().Before(v.LeaseUntil)
}

// Run runs the instance until the context ends or one of its goroutines fails.
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
	i.log.Info("started", "domain", i.self.Domain, "packets", i.self.PacketAddr, "control", i.self.ControlAddr, "control_instance", i.leader != nil)
	err := group.Wait()
	err = errors.Join(ignoreShutdown(err), i.closeAll())
	i.log.Info("ended", "error", err)
	return err
}

// ignoreShutdown returns nil for errors that are expected at the end of Run.
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

// Kill ends the instance at once, without a handover.
func (i *Instance) Kill() {
	i.stop()
	<-i.done
}

// Stop announces a planned stop, waits until flows and requests are handed over, and
// ends the instance. If the context ends first, it ends the instance anyway and returns
// an error of kind fault.HandoverUnfinished.
func (i *Instance) Stop(ctx context.Context) error {
	if i.stopped.Swap(true) {
		return nil
	}
	i.control.stop(ctx)
	var err error
	select {
	case <-i.control.handedOver:
	case <-i.done:
	case <-ctx.Done():
		r := i.traffic.report.Load()
		err = fault.New(fault.HandoverUnfinished, "handover not finished, records_left=%d work_left=%t owns=%q: %w", r.backlog, r.handoverPending, r.ownerships, ctx.Err())
	}
	i.Kill()
	return err
}

// PlacementModulo is the Config.Placement of the baseline that hashes flows modulo the
// number of endpoints.
const PlacementModulo = "modulo"
