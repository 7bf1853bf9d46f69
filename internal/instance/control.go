package instance

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/member"
	"oxbowsaddle/internal/peer"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/wire"
)

const (
	controlTick  = 20 * time.Millisecond
	beatTimeout  = 600 * time.Millisecond
	stopLogBeats = 5 // beats between two lines on what a stop waits for
	quietBeats   = 4 // with a short budget, counts go along with one beat of so many
)

type (
	// beatResult is the answer to a beat on its way to the control goroutine.
	beatResult struct {
		sent  time.Time
		reply *wire.BeatReply
		err   error
	}

	// controlLoop owns the entry's control state.
	controlLoop struct {
		instance    *Instance
		core        *member.Core
		incarnation uint64
		calls       callQueue
		results     chan beatResult
		loads       chan []*wire.EndpointLoad
		gone        chan []string
		waiting     bool // for the answer to a beat
		nextBeat    time.Time
		nextProbe   time.Time
		asked       int // which control instance is asked next
		beats       int
		load        []*wire.EndpointLoad
		stopping    bool
		handedOver  chan struct{}
		lastLeased  bool
		heapAt      time.Time
		heapBytes   uint64
	}
)

func newControlLoop(i *Instance, incarnation uint64) *controlLoop {
	const queue = 64
	t := i.config.Settings.Times
	return &controlLoop{
		instance: i, incarnation: incarnation,
		core: member.New(member.Config{
			Name: i.self.Name, Domain: i.self.Domain, Incarnation: incarnation,
			Peers: peer.Config{Self: i.self.Name, Domain: i.self.Domain, HeardFor: t.HeardFor.Std(), IslandAfter: t.IslandAfter.Std()},
		}),
		calls: make(callQueue, queue), results: make(chan beatResult, 1),
		loads: make(chan []*wire.EndpointLoad, 1), gone: make(chan []string, 1), handedOver: make(chan struct{}),
	}
}

// run does what is due until the context ends.
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
			c.takeReply(r)
		case l := <-c.loads:
			c.load = l
		case names := <-c.gone:
			c.core.Peers().SetGone(names)
		case p := <-c.instance.traffic.probes:
			c.core.Peers().Heard(c.instance.now(), p.from, p.leased)
		case <-ticker.C:
		}
		began := c.instance.now()
		c.tick(ctx, began)
		c.instance.budget.busy(c.instance.now().Sub(began))
		c.instance.budget.judge(began, c.heap(began))
	}
}

// heap returns the memory in use, read once a window.
func (c *controlLoop) heap(now time.Time) uint64 {
	if now.Sub(c.heapAt) >= busyWindow {
		c.heapAt, c.heapBytes = now, heapBytes()
	}
	return c.heapBytes
}

func (c *controlLoop) stop() {
	c.calls <- func(time.Time) {
		c.core.AnnounceStop()
		c.stopping = true
		c.nextBeat = time.Time{}
	}
}

func (c *controlLoop) tick(ctx context.Context, now time.Time) {
	times := c.instance.config.Settings.Times
	view := c.core.View(now)
	c.instance.view.Store(view)
	leased := now.Before(view.LeaseUntil)
	if leased != c.lastLeased {
		c.lastLeased = leased
		c.instance.log.Info("lease", "held", leased, "index", view.Table.Index(), "active", view.Active, "island", view.Isolated)
		c.nextProbe = time.Time{}
	}
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(times.Probe.Std())
		c.sendProbes(now, leased)
	}
	c.endStop(view)
	if !c.waiting && !now.Before(c.nextBeat) {
		c.nextBeat = now.Add(times.Beat.Std())
		c.beat(ctx, now)
	}
}

// sendProbes is slowed when the budget is short: a peer is taken for silent
// only after several probes are missing.
func (c *controlLoop) sendProbes(now time.Time, leased bool) {
	const probeBytes = 70
	if c.instance.budget.may(now, probeBytes*len(c.instance.traffic.byName)) {
		c.instance.traffic.sendProbes(leased, c.incarnation)
	}
}

// endStop says the last word of a planned stop once everything is handed over.
func (c *controlLoop) endStop(view *flow.View) {
	r := c.instance.traffic.report.Load()
	if c.stopping && c.beats%stopLogBeats == 0 {
		c.instance.log.Info("stopping", "leaving", c.core.Leaving(), "counted", r.count.Index, "index", view.Table.Index(),
			"records_left", r.backlog, "work_left", r.handing, "owns", r.owns, "leader", c.core.Leader())
		c.beats++
	}
	if c.stopping && c.core.MayStop(r.count, r.backlog) && !r.handing && len(view.Table.Members()) > 0 {
		c.stopping = false
		c.core.AnnounceStopped()
		c.nextBeat = time.Time{}
		c.instance.log.Info("handed over", "index", view.Table.Index())
	}
}

// beat asks the leading control instance for a lease and for what is new.
func (c *controlLoop) beat(ctx context.Context, now time.Time) {
	r := c.core.NextHeartbeat(flow.SweepResult{}, nil)
	c.beats++
	size := proto.Size(r) + 2*perCall
	count := c.instance.traffic.report.Load().count
	full := c.core.NextHeartbeat(count, c.load)
	if c.beats%quietBeats == 0 || c.instance.budget.may(now, proto.Size(full)-proto.Size(r)) {
		r = full
	}
	c.instance.budget.must(now, size)
	target := c.target()
	c.waiting = true
	go c.runBeat(ctx, target, r, now)
}

// target returns the control instance to ask: the leader that was heard of,
// else one after the other.
func (c *controlLoop) target() settings.Instance {
	s := c.instance.config.Settings
	if leader, err := s.Instance(c.core.Leader()); err == nil && c.asked == 0 {
		return leader
	}
	voters := s.Voters()
	target, err := s.Instance(voters[c.asked%len(voters)])
	if err != nil {
		return c.instance.self
	}
	return target
}

// runBeat makes the call, so that the control goroutine does not wait for it.
func (c *controlLoop) runBeat(ctx context.Context, target settings.Instance, r *wire.BeatRequest, sent time.Time) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var reply *wire.BeatReply
	client, err := c.instance.dialer.clientOf(ctx, target.Control, "beat")
	if err == nil {
		reply, err = client.Beat(ctx, r)
	}
	select {
	case c.results <- beatResult{sent, reply, err}:
	case <-ctx.Done():
		c.results <- beatResult{sent, nil, ctx.Err()}
	}
}

func (c *controlLoop) takeReply(r beatResult) {
	now := c.instance.now()
	c.waiting = false
	if r.err != nil || !r.reply.Leader {
		c.asked++
		if r.err == nil && r.reply.LeaderName != "" {
			c.asked = 0
			_, _ = c.core.HandleReply(r.sent, r.reply)
		}
		return
	}
	c.asked = 0
	c.instance.budget.must(now, proto.Size(r.reply))
	more, err := c.core.HandleReply(r.sent, r.reply)
	if err != nil {
		c.instance.log.Error("cannot apply", "error", err, "index", c.core.State().Index())
		return
	}
	if more {
		c.nextBeat = time.Time{}
	}
	if c.core.HasStopped() {
		select {
		case <-c.handedOver:
		default:
			close(c.handedOver)
		}
	}
}

// runPlatform polls the platform's list of instances. It lags and may be
// wrong, so it is a hint and nothing is decided by it alone.
func (c *controlLoop) runPlatform(ctx context.Context) error {
	s := c.instance.config.Settings
	if s.Platform == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(s.Times.PlatformPoll.Std())
	defer ticker.Stop()
	client := &http.Client{Timeout: s.Times.CheckTimeout.Std()}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		names, err := pollPlatform(ctx, client, s.Platform, s.Instances)
		if err != nil {
			c.instance.counters.Counter("platform_failures").Inc(1)
			continue
		}
		select {
		case c.gone <- names:
		case <-ctx.Done():
		}
	}
}

// platformList is the platform's answer.
type platformList struct {
	Instances []struct {
		Name  string `json:"name"`
		State string `json:"state"` // live or leaving
	} `json:"instances"`
}

// pollPlatform returns the instances that the platform does not list.
func pollPlatform(ctx context.Context, client *http.Client, url string, known []settings.Instance) ([]string, error) {
	const mostBytes = 4 << 20
	var list platformList
	if err := getJSON(ctx, client, url, mostBytes, &list); err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	for _, i := range list.Instances {
		listed[i.Name] = true
	}
	var gone []string
	for _, i := range known {
		if !listed[i.Name] {
			gone = append(gone, i.Name)
		}
	}
	return gone, nil
}
