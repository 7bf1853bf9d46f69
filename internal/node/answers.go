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
	// kindAccepted is the kind of an answer that grants what was asked.
	kindAccepted = "accepted"
	// What operators may ask an entry about.
	matterFlow    = "flow"
	matterRefused = "refused"
)

type (
	// controlAPI answers the commands of operators at a control instance.
	// Indexes and revisions are versions of the document here.
	controlAPI struct {
		wire.DRPCControlUnimplementedServer
		control *Control
	}

	// entryAPI answers them at an entry.
	entryAPI struct {
		wire.DRPCControlUnimplementedServer
		entry *Entry
	}
)

// Status tells what the instance believes, and which version each entry that is
// linked to it has in force.
func (a *controlAPI) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	s := a.control.Status()
	reply := &wire.StatusReply{
		Name: s.Self, Domain: a.control.config.Domain, Role: s.Role, Term: s.Term, LeaderName: s.Leader,
		Commit: s.Version, Applied: s.Version, Active: s.Version, Revision: s.Version,
		Members: a.control.entries.members(), ByLeader: s.Leader != "",
		Evacuated: s.Evacuations.Domains(), Evacuations: s.Evacuations.Revision(),
	}
	for _, m := range reply.Members {
		reply.Active = min(reply.Active, m.Applied)
	}
	return reply, nil
}

// Voters lists the voters; they are not changed by hand in this fabric.
func (a *controlAPI) Voters(_ context.Context, r *wire.VotersRequest) (*wire.VotersReply, error) {
	if r.Add != "" || r.Remove != "" {
		return &wire.VotersReply{
			Kind: fault.Usage.Name(), Detail: "control instances of this fabric find and replace each other by themselves",
		}, nil
	}
	return &wire.VotersReply{Kind: kindAccepted, Voters: a.control.Status().Voters}, nil
}

// Evacuate takes an order about a failure domain, or names the instance that does.
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

// Why says whom to ask: what operators ask about is decided at entries.
func (a *controlAPI) Why(_ context.Context, r *wire.WhyRequest) (*wire.WhyReply, error) {
	return &wire.WhyReply{Lines: []string{"a control instance carries no packets: ask an entry about a " + r.Matter}}, nil
}

// Stats returns the instance's figures.
func (a *controlAPI) Stats(context.Context, *wire.StatsRequest) (*wire.StatsReply, error) {
	return statsReply(a.control.metrics()), nil
}

// Status tells which version is in force at the entry, and what drains wait for.
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

// Evacuate names a control instance, which takes such orders.
func (a *entryAPI) Evacuate(context.Context, *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	return &wire.EvacuateReply{
		Kind: fault.NotCurrent.Name(), Detail: "an entry takes no orders itself", Elsewhere: a.entry.primaryAddress(),
	}, nil
}

// Why tells the kept decisions on a flow and where it is now, or the last packets
// that were refused.
func (a *entryAPI) Why(_ context.Context, r *wire.WhyRequest) (*wire.WhyReply, error) {
	if r.Matter == matterRefused {
		return &wire.WhyReply{Decisions: a.withEntryName(a.entry.decisions.refused())}, nil
	}
	if r.Matter != matterFlow {
		return &wire.WhyReply{Lines: []string{"an entry of this fabric explains flows; look for what was " + r.Matter + " in its log lines"}}, nil
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

// explain returns the kept decisions on the flow between two addresses, and then
// where it is now.
func (a *entryAPI) explain(src, dst netip.AddrPort) []*wire.Decision {
	e := a.entry
	now := e.config.Now()
	e.mu.Lock()
	d := e.steerer.Explain(now, src, dst)
	e.mu.Unlock()
	d.UnixNano = time.Now().UnixNano() // the steady clock tells no time of day
	return append(e.decisions.forFlow(src, dst), d)
}

// withEntryName names this entry in its decisions.
func (a *entryAPI) withEntryName(decisions []*wire.Decision) []*wire.Decision {
	for _, d := range decisions {
		d.Entry = a.entry.config.Name
	}
	return decisions
}

// Stats returns the entry's figures.
func (a *entryAPI) Stats(context.Context, *wire.StatsRequest) (*wire.StatsReply, error) {
	return statsReply(a.entry.metrics()), nil
}

// statsReply returns figures as they travel.
func statsReply(metrics []metric) *wire.StatsReply {
	reply := &wire.StatsReply{}
	for _, f := range metrics {
		reply.Counters = append(reply.Counters, &wire.Counter{Name: f.name, Value: int64(f.value)})
	}
	return reply
}
