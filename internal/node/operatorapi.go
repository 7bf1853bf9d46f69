package node

import (
	"context"
	"net/netip"
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// kindAccepted is the kind of a reply to a successful request.
	kindAccepted = "accepted"
	// Matters that operators may ask an entry about.
	matterFlow    = "flow"
	matterRefused = "refused"
)

type (
	// controlAPI answers operators' commands at a control instance. The log indexes and
	// revisions in its replies are versions of the document.
	controlAPI struct {
		wire.DRPCControlUnimplementedServer
		control *Control
	}

	// entryAPI answers operators' commands at an entry.
	entryAPI struct {
		wire.DRPCControlUnimplementedServer
		entry *Entry
	}
)

// Status returns the state of the replicated log, and the status of each linked entry.
func (a *controlAPI) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	s := a.control.Status()
	reply := &wire.StatusReply{
		Name: s.Self, Domain: a.control.config.Domain, Role: s.Role, Term: s.Term, LeaderName: s.Leader,
		Commit: s.Version, Applied: s.Version, Active: s.Version, Revision: s.Version,
		Members: a.control.entries.memberStatuses(), ByLeader: s.Leader != "",
		Evacuated: s.Evacuations.Domains(), Evacuations: s.Evacuations.Revision(),
	}
	for _, m := range reply.Members {
		reply.Active = min(reply.Active, m.Applied)
	}
	return reply, nil
}

// Voters lists the voters. It rejects requests to change them, since control instances choose
// the voters themselves.
func (a *controlAPI) Voters(_ context.Context, r *wire.VotersRequest) (*wire.VotersReply, error) {
	if r.Add != "" || r.Remove != "" {
		return &wire.VotersReply{
			Kind: fault.Usage.Name(), Detail: "control instances choose the voters automatically",
		}, nil
	}
	return &wire.VotersReply{Kind: kindAccepted, Voters: a.control.Status().Voters}, nil
}

// Evacuate orders the evacuation of a failure domain, or its end. If another instance leads,
// the reply contains the address of that instance.
func (a *controlAPI) Evacuate(ctx context.Context, r *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	_, err := a.control.Evacuate(ctx, evacuation.Order{Domain: r.Domain, Undo: r.Undo})
	if err == nil {
		return &wire.EvacuateReply{Kind: kindAccepted}, nil
	}
	reply := &wire.EvacuateReply{Kind: fault.KindOf(err).Name(), Detail: err.Error()}
	if s := a.control.Status(); s.Leader != "" && s.Leader != s.Self {
		reply.Elsewhere = directory.AddressOf(s.Leader)
	}
	return reply, nil
}

// Why refers operators to the entries, since control instances make no decisions on packets.
func (a *controlAPI) Why(_ context.Context, r *wire.WhyRequest) (*wire.WhyReply, error) {
	return &wire.WhyReply{Lines: []string{"a control instance forwards no packets: ask an entry about a " + r.Matter}}, nil
}

// Stats returns the metrics of the control instance.
func (a *controlAPI) Stats(context.Context, *wire.StatsRequest) (*wire.StatsReply, error) {
	return statsReply(a.control.metrics()), nil
}

// Status returns the document version and evacuations in force at the entry, and its drains in
// progress.
func (a *entryAPI) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	e := a.entry
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	version := e.steerer.Version()
	reply := &wire.StatusReply{
		Name: e.config.Name, Domain: e.config.Domain, Role: "entry", Applied: version, Active: version,
		Drains:    e.steerer.Drains(now),
		Evacuated: e.steerer.Evacuations().Domains(), Evacuations: e.steerer.Evacuations().Revision(),
	}
	if e.latest != nil {
		reply.Revision, reply.Commit = e.latest.Version(), e.latest.Version()
	}
	return reply, nil
}

// Evacuate refers to a control instance, since entries do not accept orders.
func (a *entryAPI) Evacuate(context.Context, *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	return &wire.EvacuateReply{
		Kind: fault.NotCurrent.Name(), Detail: "entries do not accept orders", Elsewhere: a.entry.primaryAddress(),
	}, nil
}

// Why returns the recorded decisions on a flow and its present state, or the last decisions to
// refuse a packet.
func (a *entryAPI) Why(_ context.Context, r *wire.WhyRequest) (*wire.WhyReply, error) {
	if r.Matter == matterRefused {
		return &wire.WhyReply{Decisions: a.withEntryName(a.entry.decisions.refused())}, nil
	}
	if r.Matter != matterFlow {
		return &wire.WhyReply{Lines: []string{"this entry explains only flows and refused packets; look for the " + r.Matter + " in its log"}}, nil
	}
	src, err := netip.ParseAddrPort(r.Source)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err)
	}
	dst, err := netip.ParseAddrPort(r.Target)
	if err != nil {
		return nil, fault.Wrap(fault.Usage, err)
	}
	return &wire.WhyReply{Decisions: a.withEntryName(a.explain(src, dst))}, nil
}

// explain returns the recorded decisions on the flow between two addresses, followed by its
// current state, or the decision that its SYN would get now.
func (a *entryAPI) explain(src, dst netip.AddrPort) []*wire.Decision {
	e := a.entry
	now := e.config.Now()
	e.mu.Lock()
	d := e.steerer.Explain(now, src, dst)
	e.mu.Unlock()
	d.UnixNano = time.Now().UnixNano() // the clock of the config is not the wall clock
	return append(e.decisions.forFlow(src, dst), d)
}

// withEntryName sets the entry name in decisions.
func (a *entryAPI) withEntryName(decisions []*wire.Decision) []*wire.Decision {
	for _, d := range decisions {
		d.Entry = a.entry.config.Name
	}
	return decisions
}

// Stats returns the metrics of the entry.
func (a *entryAPI) Stats(context.Context, *wire.StatsRequest) (*wire.StatsReply, error) {
	return statsReply(a.entry.metrics()), nil
}

// statsReply encodes metrics for the wire.
func statsReply(metrics []metric) *wire.StatsReply {
	reply := &wire.StatsReply{}
	for _, m := range metrics {
		reply.Counters = append(reply.Counters, &wire.Counter{Name: m.name, Value: int64(m.value)})
	}
	return reply
}
