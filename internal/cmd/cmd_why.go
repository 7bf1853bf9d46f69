package cmd

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// lagReport is the JSON output of `why lag`.
type lagReport struct {
	ByLeader bool                 `json:"by_leader"` // if false, the state of the members is unknown
	Revision uint64               `json:"revision"`
	Members  []*wire.MemberStatus `json:"members"`
}

// cmdWhy explains decisions, lag and drains.
func cmdWhy() *cobra.Command {
	c := &cobra.Command{Use: "why", Short: "explain where a flow or request went, recent refusals, lag, or a drain"}
	c.AddCommand(
		cmdWhyFlow(),
		newExplainCommand("request TOKEN", "explain a request, given its token in hexadecimal", 1, "request"),
		newExplainCommand("refused", "explain the most recent refused or lost requests and flows", 0, "refused"),
		cmdWhyLag(),
		cmdWhyDrain(),
	)
	return c
}

func cmdWhyFlow() *cobra.Command {
	var conn connectionFlags
	var protocol string
	c := &cobra.Command{
		Use: "flow SRC DST", Short: "explain why a flow went to its endpoint; SRC and DST are IP:PORT", Args: exactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return conn.explain(c, &wire.WhyRequest{Matter: "flow", Source: args[0], Target: args[1], Protocol: protocol})
		},
	}
	conn.addFlags(c)
	c.Flags().StringVar(&protocol, "protocol", "tcp", "tcp or udp")
	return c
}

func newExplainCommand(use, short string, argCount int, subject string) *cobra.Command {
	var conn connectionFlags
	c := &cobra.Command{
		Use: use, Short: short, Args: exactArgs(argCount),
		RunE: func(c *cobra.Command, args []string) error {
			r := &wire.WhyRequest{Matter: subject}
			if argCount > 0 {
				r.Target = args[0]
			}
			return conn.explain(c, r)
		},
	}
	conn.addFlags(c)
	return c
}

func (f *connectionFlags) explain(c *cobra.Command, request *wire.WhyRequest) error {
	return f.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
		reply, err := client.Why(ctx, request)
		if err != nil {
			return fault.Wrap(fault.Unreachable, err)
		}
		if f.output == "json" {
			return PrintJSON(c.OutOrStdout(), reply)
		}
		for _, d := range reply.Decisions {
			printDecision(c.OutOrStdout(), d)
		}
		for _, line := range reply.Lines {
			fmt.Fprintln(c.OutOrStdout(), line)
		}
		if len(reply.Decisions) == 0 {
			return fault.New(fault.NotFound, "no instance has recorded a decision on this, and it cannot be recomputed")
		}
		return nil
	})
}

func printDecision(w io.Writer, d *wire.Decision) {
	origin := ""
	if d.Recomputed {
		origin = " (worked out now)" // recomputed now, because no record of it was kept
	}
	fmt.Fprintf(w, "%s %s: %s: %s%s, because %s, by index %d, in use %d\n", time.Unix(0, d.UnixNano).UTC().Format(time.RFC3339Nano),
		d.Entry, d.Subject, d.Action, origin, d.Reason, d.Index, d.Active)
	if d.Endpoint != "" {
		fmt.Fprintln(w, "  endpoint:", d.Endpoint)
	}
	if d.Parameter != "" {
		fmt.Fprintln(w, "  parameter:", d.Parameter)
	}
	for _, hop := range d.Hops {
		fmt.Fprintln(w, "  hop:", hop)
	}
	for _, candidate := range d.Candidates {
		fmt.Fprintf(w, "  candidate %s: %s\n", candidate.Endpoint, candidate.Verdict)
	}
	fmt.Fprintln(w, "  next:", d.NextStep)
}

func cmdWhyLag() *cobra.Command {
	return newQueryCommand("lag", "show which instances lag behind, and for how long", 0, func(ctx context.Context, q query) error {
		s, err := getStatus(ctx, q.client, false)
		if err != nil {
			return err
		}
		if q.json {
			return PrintJSON(q.out, lagReport{ByLeader: s.ByLeader, Revision: s.Commit, Members: laggingMembers(s)})
		}
		return printLag(q.out, s)
	})
}

// laggingMembers returns the members that have no lease, or have not applied the
// last revision or the last evacuation order.
func laggingMembers(s *wire.StatusReply) []*wire.MemberStatus {
	all := append([]*wire.MemberStatus{}, s.Members...) // a copy; encoded as [] rather than null if empty
	return slices.DeleteFunc(all, func(m *wire.MemberStatus) bool {
		return m.Leased && m.Applied >= s.Commit && m.Evacuations >= s.Evacuations
	})
}

// printLag lists the members that lag and what each of them delays.
func printLag(w io.Writer, s *wire.StatusReply) error {
	if !s.ByLeader {
		return fault.New(fault.NotCurrent, "%s reaches no leader; it was last confirmed %s ago and serves by index %d", s.Name,
			time.Duration(s.ConfirmedAgoNanos).Round(time.Millisecond), s.Applied)
	}
	lagging := laggingMembers(s)
	for _, member := range lagging {
		printMemberLag(w, member, s)
	}
	if len(lagging) == 0 {
		fmt.Fprintf(w, "no entry lags: all %d have applied %d, in use is %d\n", len(s.Members), s.Commit, s.Active)
	}
	return nil
}

// printMemberLag describes what one member has not applied yet.
func printMemberLag(w io.Writer, m *wire.MemberStatus, s *wire.StatusReply) {
	sinceHeartbeat := time.Duration(m.SilentNanos).Round(time.Millisecond)
	if !m.Leased {
		fmt.Fprintf(w, "%s in %s holds no lease, silent for %s; it decides nothing new. Check its network and its log.\n", m.Name, m.Domain, sinceHeartbeat)
		return
	}
	if m.Evacuations < s.Evacuations {
		fmt.Fprintf(w, "%s in %s has evacuations by revision %d of %d in force, silent for %s; until then it may send new flows to: %s.\n",
			m.Name, m.Domain, m.Evacuations, s.Evacuations, sinceHeartbeat, evacuatedDomains(s))
	}
	if m.Applied < s.Commit {
		fmt.Fprintf(w, "%s in %s has applied %d of %d, silent for %s; later changes wait for it until its lease runs out.\n",
			m.Name, m.Domain, m.Applied, s.Commit, sinceHeartbeat)
	}
}

func cmdWhyDrain() *cobra.Command {
	return newQueryCommand("drain ENDPOINT", "show what still keeps a leaving endpoint from being removed", 1, func(ctx context.Context, q query) error {
		s, err := getStatus(ctx, q.client, false)
		if err != nil {
			return err
		}
		for _, d := range s.Drains {
			if d.Endpoint == q.args[0] {
				if q.json {
					return PrintJSON(q.out, d)
				}
				printDrain(q.out, d)
				return nil
			}
		}
		return fault.New(fault.NotFound, "no endpoint %q is leaving", q.args[0])
	})
}

func printDrain(w io.Writer, d *wire.DrainStatus) {
	if d.Buckets == 0 && d.Flows == 0 {
		fmt.Fprintf(w, "%s waits for nothing: it can be taken away\n", d.Endpoint)
		return
	}
	fmt.Fprintf(w, "%s has been leaving for %s and gets no new work; up to %s still use it or are not counted yet\n"+
		"next: wait, or lower drain_deadline of the team to end them sooner\n", d.Endpoint, time.Duration(d.SinceNanos).Round(time.Second), remainingWork(d))
}
