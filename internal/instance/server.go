package instance

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	submitTimeout = 5 * time.Second
	maxDecisions  = 20 // per instance in an answer to Why
)

// server implements the calls on the control address.
type server struct {
	instance *Instance
	slots    chan struct{} // limits concurrent operators' calls
}

// serve serves calls until the context ends.
func (i *Instance) serve(ctx context.Context) error {
	mux := drpcmux.New()
	s := &server{instance: i, slots: make(chan struct{}, i.config.Settings.Limits.MaxOperatorCalls)}
	if err := wire.DRPCRegisterControl(mux, s); err != nil {
		return fault.Wrap(fault.Internal, err)
	}
	return drpcserver.New(mux).Serve(ctx, i.listener)
}

// Beat answers an entry's heartbeat.
func (s *server) Beat(ctx context.Context, r *wire.BeatRequest) (*wire.BeatReply, error) {
	l := s.instance.leader
	if l == nil {
		return &wire.BeatReply{}, nil
	}
	var reply *wire.BeatReply
	err := l.calls.call(ctx, func(now time.Time) { reply = l.handleHeartbeat(now, r) })
	return reply, err
}

// Step processes a message of the replicated log.
func (s *server) Step(ctx context.Context, m *wire.LogMessage) (*wire.StepReply, error) {
	l := s.instance.leader
	if l == nil {
		return &wire.StepReply{}, nil
	}
	err := l.calls.call(ctx, func(now time.Time) { l.replica.Step(now, m) })
	return &wire.StepReply{}, err
}

// acquireSlot waits for a free slot for an operator's call, and returns the function
// that releases it.
func (s *server) acquireSlot(ctx context.Context) (func(), error) {
	select {
	case s.slots <- struct{}{}:
		return func() { <-s.slots }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Submit submits an operator's change to the leader, which may be another instance.
func (s *server) Submit(ctx context.Context, c *wire.Change) (*wire.SubmitReply, error) {
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if answer, err := s.submitLocal(ctx, c); err == nil || c.Forwarded {
		return submitReply(answer, err), nil
	}
	forwarded := &wire.Change{
		Id: c.Id, Author: c.Author, Base: c.Base, Confirmed: c.Confirmed, Objects: c.Objects, Plan: c.Plan, Forwarded: true,
	}
	reply := submitReply(control.Answer{}, fault.New(fault.NoQuorum, "no control instance could decide on the change"))
	s.askOthers(ctx, func(client wire.DRPCControlClient) bool {
		got, err := client.Submit(ctx, forwarded)
		decided := err == nil && got.Kind != fault.NotCurrent.Name()
		if decided {
			reply = got
		}
		return decided
	})
	return reply, nil
}

// askOthers calls ask for the other control instances, the leader first, until it
// returns true.
func (s *server) askOthers(ctx context.Context, ask func(wire.DRPCControlClient) bool) {
	for _, target := range s.controlTargets(ctx) {
		client, err := s.instance.dialer.connect(ctx, target, "operator")
		if err == nil && ask(client) {
			return
		}
	}
}

// controlTargets returns the other control instances, the leader first.
func (s *server) controlTargets(ctx context.Context) []netip.AddrPort {
	leader := ""
	_ = s.instance.control.calls.call(ctx, func(time.Time) { leader = s.instance.control.core.Leader() })
	names := s.instance.config.Settings.Voters()
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case a == leader:
			return -1
		case b == leader:
			return 1
		}
		return 0
	})
	var targets []netip.AddrPort
	for _, name := range names {
		if other, err := s.instance.config.Settings.Instance(name); err == nil && name != s.instance.self.Name {
			targets = append(targets, other.ControlAddr)
		}
	}
	return targets
}

// submitLocal submits a change to this instance and waits for its outcome.
func (s *server) submitLocal(ctx context.Context, c *wire.Change) (control.Answer, error) {
	l := s.instance.leader
	if l == nil {
		return control.Answer{}, fault.New(fault.NotCurrent, "%s is not a control instance", s.instance.self.Name)
	}
	var answer control.Answer
	var wait chan control.Answer
	var err error
	if callErr := l.calls.call(ctx, func(now time.Time) { answer, wait, err = l.submit(now, c) }); callErr != nil {
		return control.Answer{}, fault.Wrap(fault.NoQuorum, callErr)
	}
	if err != nil || wait == nil {
		return answer, err
	}
	select {
	case a, decided := <-wait:
		if !decided {
			return control.Answer{}, fault.New(fault.NoQuorum, "the leader changed before a majority confirmed the change")
		}
		return a, nil
	case <-ctx.Done():
		return control.Answer{}, fault.New(fault.NoQuorum, "no majority confirmed the change in time")
	}
}

func submitReply(a control.Answer, err error) *wire.SubmitReply {
	if err != nil {
		return &wire.SubmitReply{Kind: fault.KindOf(err).Name(), Detail: err.Error()}
	}
	return &wire.SubmitReply{Kind: string(a.Outcome), Revision: a.Revision, Detail: a.Detail, Faults: a.Faults}
}

// Status returns the state of this instance, and the leader's view of the members.
func (s *server) Status(ctx context.Context, r *wire.StatusRequest) (*wire.StatusReply, error) {
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	reply := &wire.StatusReply{Name: s.instance.self.Name, Domain: s.instance.self.Domain, Role: "entry"}
	err = s.instance.control.calls.call(ctx, func(now time.Time) { s.fillEntry(reply, now, r.History) })
	if err != nil {
		return nil, err
	}
	if s.fillFromLeader(ctx, reply) || r.Forwarded {
		return reply, nil
	}
	s.fillFromRemoteLeader(ctx, reply, r.History)
	return reply, nil
}

func (s *server) fillEntry(reply *wire.StatusReply, now time.Time, history bool) {
	core := s.instance.control.core
	state := core.State()
	reply.Term, reply.LeaderName = core.Term(), core.Leader()
	reply.Applied, reply.Active, reply.Revision = state.Index(), core.Active(), state.Revision()
	reply.LeaseLeftNanos = int64(max(core.LeaseUntil().Sub(now), 0))
	if !core.Confirmed().IsZero() {
		reply.ConfirmedAgoNanos = int64(now.Sub(core.Confirmed()))
	}
	reply.Objects = state.Objects()
	if history {
		reply.History = state.History()
	}
	for _, m := range state.Table().Members() {
		reply.Members = append(reply.Members, &wire.MemberStatus{Name: m.Name(), Domain: m.Domain(), Leaving: m.Leaving()})
	}
}

// fillFromLeader adds the leader's view if this instance is the leader, and reports
// whether it is.
func (s *server) fillFromLeader(ctx context.Context, reply *wire.StatusReply) bool {
	l := s.instance.leader
	if l == nil {
		return false
	}
	leads := false
	_ = l.calls.call(ctx, func(now time.Time) {
		reply.Role = l.replica.Role().String()
		reply.Commit = l.replica.Commit()
		if l.ctl == nil || !l.replica.Current(now) {
			return
		}
		leads, reply.ByLeader = true, true
		reply.Revision, reply.Objects = l.state.Revision(), l.state.Objects()
		reply.LeaderName, reply.Term = s.instance.self.Name, l.replica.Term()
		reply.Members = nil
		for _, m := range l.ctl.Status(now) {
			reply.Members = append(reply.Members, &wire.MemberStatus{
				Name: m.Name, Domain: m.Domain, Applied: m.Applied, SilentNanos: int64(m.SinceHeartbeat), Leased: m.Leased,
			})
		}
		reply.Drains = l.drainStatus(now)
	})
	return leads
}

// fillFromRemoteLeader adds the view of the leader, if it is reachable.
func (s *server) fillFromRemoteLeader(ctx context.Context, reply *wire.StatusReply, history bool) {
	leader, err := s.instance.config.Settings.Instance(reply.LeaderName)
	if err != nil {
		return
	}
	client, err := s.instance.dialer.connect(ctx, leader.ControlAddr, "operator")
	if err != nil {
		return
	}
	got, err := client.Status(ctx, &wire.StatusRequest{Forwarded: true, History: history})
	if err != nil {
		return
	}
	reply.Members, reply.Drains, reply.Commit, reply.ByLeader = got.Members, got.Drains, got.Commit, got.ByLeader
	if got.Revision >= reply.Revision {
		reply.Revision, reply.Objects, reply.History = got.Revision, got.Objects, got.History
	}
}

// drainStatus returns the buckets and flows that each leaving endpoint still has.
func (l *leaderLoop) drainStatus(now time.Time) []*wire.DrainStatus {
	table := l.state.Table()
	byEndpoint := map[uint32]*wire.DrainStatus{}
	var order []uint32
	table.Services(func(s *route.Service) {
		for _, e := range table.EndpointsOf(s.ID()) {
			if since, leaving := l.state.LeavingSince(e.ID()); leaving {
				byEndpoint[e.ID()] = &wire.DrainStatus{Service: s.Name(), Endpoint: e.Name(), SinceNanos: int64(now.Sub(since))}
				order = append(order, e.ID())
			}
		}
		for bucket, t := range s.Transitions() {
			if d := byEndpoint[t.Default]; d != nil && !t.Flipped() {
				d.Buckets++
				d.Flows += l.ctl.FlowsElsewhere(s.ID(), bucket)
			} else if d := byEndpoint[t.Previous]; d != nil {
				d.Buckets++
				d.Flows += l.ctl.FlowsElsewhere(s.ID(), bucket)
			}
		}
	})
	var all []*wire.DrainStatus
	for _, id := range order {
		all = append(all, byEndpoint[id])
	}
	return all
}

// Stats returns every counter.
func (s *server) Stats(ctx context.Context, _ *wire.StatsRequest) (*wire.StatsReply, error) {
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	s.instance.refreshGauges()
	reply := &wire.StatsReply{}
	s.instance.counters.Each(func(name string, value int64) {
		reply.Counters = append(reply.Counters, &wire.Counter{Name: name, Value: value})
	})
	slices.SortFunc(reply.Counters, func(a, b *wire.Counter) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return reply, nil
}

// refreshGauges updates the gauges from the last report of the traffic goroutine.
func (i *Instance) refreshGauges() {
	r := i.traffic.report.Load()
	for name, value := range map[string]int{
		"flows_cached": r.flows.Flows, "flows_half_open": r.flows.HalfOpen, "flow_records": r.flows.Records,
		"packets_waiting": r.flows.Waiting, "push_backlog": int(r.flows.PushBacklog), "requests_held": r.work.Requests,
		"requests_queued": r.work.Queued, "request_keys_kept": r.work.StoredKeys, "flow_table_full": int(r.flows.TableFull),
		"push_bytes": int(r.flows.PushBytes), "hold_bytes": int(r.work.HoldBytes),
		"broken_rules": int(r.flows.InvariantViolations + r.work.InvariantViolations), "requests_late_answers": int(r.work.LateAnswers),
		"requests_duplicate": int(r.work.Duplicates), "requests_retried": int(r.work.Retries), "requests_shed": int(r.work.Shed),
	} {
		i.counters.Gauge(name).Update(int64(value))
	}
}
