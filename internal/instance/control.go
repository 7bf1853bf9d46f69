package instance

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/member"
	"oxbowsaddle/internal/peer"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/wire"
)

const (
	controlTick       = 20 * time.Millisecond
	callTimeout       = 600 * time.Millisecond // of heartbeats and log messages
	stopLogInterval   = 5                      // heartbeats between log lines during a planned stop
	maxReportInterval = 4                      // heartbeats after which counts are sent regardless of the budget
)

type (
	// heartbeatResult is the outcome of a heartbeat call.
	heartbeatResult struct {
		sent  time.Time
		reply *wire.BeatReply
		err   error
	}

	// controlLoop owns the entry's control state. Its methods, except stop, runHeartbeat
	// and runPlatform, run on the control goroutine.
	controlLoop struct {
		instance       *Instance
		core           *member.Core
		incarnation    uint64
		calls          callQueue
		results        chan heartbeatResult
		loads          chan []*wire.EndpointLoad
		unlisted       chan []string // names of instances that the platform doesn't list
		inFlight       bool          // a heartbeat call is in flight
		nextHeartbeat  time.Time
		nextProbe      time.Time
		failedAttempts int // heartbeats since the last reply of a leader; selects the next control instance
		heartbeats     int // sent so far
		lastLoads      []*wire.EndpointLoad
		stopping       bool          // a planned stop is in progress
		handedOver     chan struct{} // closed at the end of a planned stop
		wasLeased      bool
		heapReadAt     time.Time
		heapBytes      uint64
	}
)

func newControlLoop(i *Instance, incarnation uint64) *controlLoop {
	const queue = 64
	t := i.config.Settings.Times
	return &controlLoop{
		instance: i, incarnation: incarnation,
		core: member.New(member.Config{
			Name: i.self.Name, Domain: i.self.Domain, Incarnation: incarnation,
			Peers: peer.Config{Self: i.self.Name, Domain: i.self.Domain, ProbeTimeout: t.PeerTimeout.Std(), IsolationDelay: t.IsolationDelay.Std()},
		}),
		calls: make(callQueue, queue), results: make(chan heartbeatResult, 1),
		loads: make(chan []*wire.EndpointLoad, 1), unlisted: make(chan []string, 1), handedOver: make(chan struct{}),
	}
}

// run processes events and timers until the context ends.
func (c *controlLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-c.calls:
			call(c.instance.now())
		case r := <-c.results:
			c.handleReply(r)
		case l := <-c.loads:
			c.lastLoads = l
		case names := <-c.unlisted:
			c.core.Peers().SetUnlisted(names)
		case p := <-c.instance.traffic.probes:
			c.core.Peers().RecordProbe(c.instance.now(), p.from, p.leased)
		case <-ticker.C:
		}
		start := c.instance.now()
		c.tick(ctx, start)
		c.instance.budget.addBusy(c.instance.now().Sub(start))
		c.instance.budget.evaluate(start, c.heap(start))
	}
}

// heap returns the heap size, read once per budgetWindow.
func (c *controlLoop) heap(now time.Time) uint64 {
	if now.Sub(c.heapReadAt) >= budgetWindow {
		c.heapReadAt, c.heapBytes = now, heapBytes()
	}
	return c.heapBytes
}

// stop begins a planned stop, unless the context or the instance ends first: then nothing may
// take from the queue of calls.
func (c *controlLoop) stop(ctx context.Context) {
	begin := func(now time.Time) {
		c.core.AnnounceStop(stopTime(ctx, now))
		c.stopping = true
		c.nextHeartbeat = time.Time{}
	}
	select {
	case c.calls <- begin:
	case <-ctx.Done():
	case <-c.instance.done:
	}
}

// awaitRemoval ends a planned stop once the entry is no longer listed, and repeats the last
// heartbeat until then.
func (c *controlLoop) awaitRemoval(now time.Time) {
	if !c.core.HasLeft() {
		c.nextHeartbeat = now.Add(controlTick)
		return
	}
	select {
	case <-c.handedOver:
	default:
		close(c.handedOver)
	}
}

// stopTime returns the end of the context by the instance's clock, or zero if it has none.
func stopTime(ctx context.Context, now time.Time) time.Time {
	deadline, ok := ctx.Deadline()
	if !ok {
		return time.Time{}
	}
	return now.Add(time.Until(deadline))
}

// tick publishes the view and sends probes and heartbeats when they are due.
func (c *controlLoop) tick(ctx context.Context, now time.Time) {
	times := c.instance.config.Settings.Times
	view := c.core.View(now)
	c.instance.view.Store(view)
	leased := now.Before(view.LeaseUntil)
	if leased != c.wasLeased {
		c.wasLeased = leased
		c.instance.log.Info("lease", "held", leased, "index", view.Table.Index(), "active", view.Active, "island", view.Isolated)
		c.nextProbe = time.Time{}
	}
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(times.ProbeInterval.Std())
		c.sendProbes(now, leased)
	}
	c.finishStop(view)
	if !c.inFlight && !now.Before(c.nextHeartbeat) {
		c.nextHeartbeat = now.Add(times.HeartbeatInterval.Std())
		c.sendHeartbeat(ctx, now)
	}
}

// sendProbes sends probes to the peers if the byte budget allows it. Peers tolerate
// several missing probes.
func (c *controlLoop) sendProbes(now time.Time, leased bool) {
	const probeBytes = 70
	if c.instance.budget.tryCharge(now, probeBytes*len(c.instance.traffic.peerAddrs)) {
		c.instance.traffic.sendProbes(leased, c.incarnation)
	}
}

// finishStop announces the end of a planned stop once everything is handed over, and
// logs what is left until then. Finished requests that no new owner asked for are left behind.
func (c *controlLoop) finishStop(view *flow.View) {
	r := c.instance.traffic.report.Load()
	if c.stopping && c.heartbeats%stopLogInterval == 0 {
		c.instance.log.Info("stopping", "leaving", c.core.Leaving(), "counted", r.sweep.Index, "index", view.Table.Index(),
			"records_left", r.backlog, "work_left", r.handoverPending, "owns", r.ownerships, "leader", c.core.Leader())
		c.heartbeats++
	}
	if c.stopping && c.core.MayStop(r.sweep, r.backlog) && !r.handoverPending && len(view.Table.Members()) > 0 {
		c.stopping = false
		c.core.AnnounceStopped()
		c.nextHeartbeat = time.Time{}
		c.instance.log.Info("handed over", "index", view.Table.Index(), "unfetched", r.ownerships)
	}
}

// sendHeartbeat sends a heartbeat to the leader, which renews the lease and returns new
// log entries. Flow counts and endpoint loads are included if the byte budget allows it.
func (c *controlLoop) sendHeartbeat(ctx context.Context, now time.Time) {
	r := c.core.NextHeartbeat(flow.SweepResult{}, nil)
	c.heartbeats++
	size := proto.Size(r) + 2*callOverheadBytes
	count := c.instance.traffic.report.Load().sweep
	full := c.core.NextHeartbeat(count, c.lastLoads)
	if c.heartbeats%maxReportInterval == 0 || c.instance.budget.tryCharge(now, proto.Size(full)-proto.Size(r)) {
		r = full
	}
	c.instance.budget.charge(now, size)
	target := c.target()
	c.inFlight = true
	go c.runHeartbeat(ctx, target, r, now)
}

// target returns the control instance to call: the known leader, or after a failed
// call the voters in turn.
func (c *controlLoop) target() settings.Instance {
	s := c.instance.config.Settings
	if leader, err := s.Instance(c.core.Leader()); err == nil && c.failedAttempts == 0 {
		return leader
	}
	voters := s.Voters()
	target, err := s.Instance(voters[c.failedAttempts%len(voters)])
	if err != nil {
		return c.instance.self
	}
	return target
}

// runHeartbeat makes the heartbeat call in a goroutine of its own.
func (c *controlLoop) runHeartbeat(ctx context.Context, target settings.Instance, r *wire.BeatRequest, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply *wire.BeatReply
	client, err := c.instance.dialer.connect(ctx, target.ControlAddr, "beat")
	if err == nil {
		reply, err = client.Beat(ctx, r)
	}
	select {
	case c.results <- heartbeatResult{sent, reply, err}:
	case <-ctx.Done():
		c.results <- heartbeatResult{sent, nil, ctx.Err()}
	}
}

// handleReply applies the reply to a heartbeat. A reply of an instance that isn't the
// leader may name the leader.
func (c *controlLoop) handleReply(r heartbeatResult) {
	now := c.instance.now()
	c.inFlight = false
	if r.err != nil || !r.reply.Leader {
		c.failedAttempts++
		if r.err == nil && r.reply.LeaderName != "" {
			c.failedAttempts = 0
			_, _ = c.core.HandleReply(r.sent, r.reply)
		}
		return
	}
	c.failedAttempts = 0
	c.instance.budget.charge(now, proto.Size(r.reply))
	more, err := c.core.HandleReply(r.sent, r.reply)
	if err != nil {
		c.instance.log.Error("cannot apply heartbeat reply", "error", err, "index", c.core.State().Index())
		return
	}
	if more {
		c.nextHeartbeat = time.Time{}
	}
	if c.core.HasStopped() {
		c.awaitRemoval(now)
	}
}
