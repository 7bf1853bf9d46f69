package instance

import (
	"context"
	"fmt"
	"slices"

	"oxbowsaddle/internal/entry"
	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// Why returns the recorded decisions on a flow or a request, or the recent refusals, of
// this instance and of all others. For a flow, each also returns the decision it would
// make now.
func (s *server) Why(ctx context.Context, r *wire.WhyRequest) (*wire.WhyReply, error) {
	release, err := s.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	reply := &wire.WhyReply{}
	switch r.Matter {
	case "flow":
		s.whyFlow(ctx, r, reply)
	case "request":
		reply.Decisions = s.instance.decisions.Find(maxDecisions, func(d *wire.Decision) bool { return d.Subject == r.Target })
	case "refused":
		reply.Decisions = s.instance.decisions.Find(maxDecisions, isRefusal)
	default:
		return nil, fault.New(fault.Usage, "unknown subject of an explanation %q", r.Matter)
	}
	if !r.Local {
		s.whyOthers(ctx, r, reply)
	}
	slices.SortStableFunc(reply.Decisions, func(a, b *wire.Decision) int { return int(a.UnixNano/1000 - b.UnixNano/1000) })
	return reply, nil
}

func isRefusal(d *wire.Decision) bool {
	return d.Action == "drop" || d.Action == "reset" || d.Action == "refused" || d.Action == "unknown"
}

// whyOthers adds the answers of the other instances.
func (s *server) whyOthers(ctx context.Context, r *wire.WhyRequest, reply *wire.WhyReply) {
	ask := &wire.WhyRequest{Matter: r.Matter, Source: r.Source, Target: r.Target, Protocol: r.Protocol, Local: true}
	same := 0
	for _, other := range s.instance.config.Settings.Instances {
		if other.Name == s.instance.self.Name {
			continue
		}
		client, err := s.instance.dialer.connect(ctx, other.ControlAddr, "operator")
		if err != nil {
			reply.Lines = append(reply.Lines, other.Name+" could not be reached: "+err.Error())
			continue
		}
		got, err := client.Why(ctx, ask)
		if err != nil {
			reply.Lines = append(reply.Lines, other.Name+" did not answer: "+err.Error())
			continue
		}
		for _, d := range got.Decisions {
			if slices.ContainsFunc(reply.Decisions, func(known *wire.Decision) bool { return sameRecomputation(known, d) }) {
				same++
				continue
			}
			reply.Decisions = append(reply.Decisions, d)
		}
	}
	if same > 0 {
		reply.Lines = append(reply.Lines, fmt.Sprintf("%d other entries would make the same decision now", same))
	}
}

// sameRecomputation reports whether two entries would make the same decision now by the
// same configuration, so that one of them can be left out.
func sameRecomputation(a, b *wire.Decision) bool {
	return a.Recomputed && b.Recomputed && a.Subject == b.Subject && a.Action == b.Action && a.Reason == b.Reason &&
		a.Endpoint == b.Endpoint && a.Index == b.Index && a.Active == b.Active && slices.Equal(a.Hops, b.Hops)
}

// whyFlow adds the recorded decisions on a flow and the one this entry would make now.
func (s *server) whyFlow(ctx context.Context, r *wire.WhyRequest, reply *wire.WhyReply) {
	subject := r.Protocol + " " + r.Source + " " + r.Target
	reply.Decisions = s.instance.decisions.Find(maxDecisions, func(d *wire.Decision) bool { return d.Subject == subject })
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
