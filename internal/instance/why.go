package instance

import (
	"context"
	"slices"

	"oxbowsaddle/internal/entry"
	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// Why explains. The asked entry asks the others too, and works out again what
// none of them has kept.
func (s *server) Why(ctx context.Context, r *wire.WhyRequest) (*wire.WhyReply, error) {
	leave, err := s.enter(ctx)
	if err != nil {
		return nil, err
	}
	defer leave()
	reply := &wire.WhyReply{}
	switch r.Matter {
	case "flow":
		s.whyFlow(ctx, r, reply)
	case "request":
		reply.Decisions = s.instance.ring.Find(mostDecisions, func(d *wire.Decision) bool { return d.Subject == r.Target })
	case "refused":
		reply.Decisions = s.instance.ring.Find(mostDecisions, refused)
	default:
		return nil, fault.New(fault.Usage, "unknown matter %q", r.Matter)
	}
	if !r.Local {
		s.whyElsewhere(ctx, r, reply)
	}
	slices.SortStableFunc(reply.Decisions, func(a, b *wire.Decision) int { return int(a.UnixNano/1000 - b.UnixNano/1000) })
	return reply, nil
}

func refused(d *wire.Decision) bool {
	return d.Action == "drop" || d.Action == "reset" || d.Action == "refused" || d.Action == "unknown"
}

func (s *server) whyElsewhere(ctx context.Context, r *wire.WhyRequest, reply *wire.WhyReply) {
	ask := &wire.WhyRequest{Matter: r.Matter, Source: r.Source, Target: r.Target, Protocol: r.Protocol, Local: true}
	for _, other := range s.instance.config.Settings.Instances {
		if other.Name == s.instance.self.Name {
			continue
		}
		client, err := s.instance.dialer.clientOf(ctx, other.Control, "operator")
		if err != nil {
			reply.Lines = append(reply.Lines, other.Name+" could not be asked: "+err.Error())
			continue
		}
		got, err := client.Why(ctx, ask)
		if err != nil {
			reply.Lines = append(reply.Lines, other.Name+" did not answer: "+err.Error())
			continue
		}
		reply.Decisions = append(reply.Decisions, got.Decisions...)
	}
}

// whyFlow adds the kept decisions on a flow and, on the asked entry, what it
// would decide now.
func (s *server) whyFlow(ctx context.Context, r *wire.WhyRequest, reply *wire.WhyReply) {
	subject := r.Protocol + " " + r.Source + " " + r.Target
	reply.Decisions = s.instance.ring.Find(mostDecisions, func(d *wire.Decision) bool { return d.Subject == subject })
	answer := make(chan *wire.Decision, 1)
	query := func(core *entry.Core) {
		answer <- explain.Recompute(s.instance.now(), s.instance.self.Name, core.Flow(), r)
	}
	select {
	case s.instance.traffic.queries <- query:
	case <-ctx.Done():
		return
	}
	select {
	case d := <-answer:
		if d != nil {
			reply.Decisions = append(reply.Decisions, d)
		}
	case <-ctx.Done():
	}
}
