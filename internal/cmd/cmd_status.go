package cmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// cmdStatus shows the state of an instance and which instances lag behind.
func cmdStatus() *cobra.Command {
	var conn connectionFlags
	c := &cobra.Command{
		Use: "status", Short: "show role, revision, leases, draining endpoints, and which instances lag", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return conn.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				s, err := waitUntilInUse(ctx, client, conn.extraTime, time.Now)
				if err != nil {
					return err
				}
				if conn.output == "json" {
					return PrintJSON(c.OutOrStdout(), s)
				}
				printStatus(c.OutOrStdout(), s)
				printLoadedPools(ctx, c.OutOrStdout(), client)
				return nil
			})
		},
	}
	conn.addFlags(c)
	c.Flags().DurationVar(&conn.extraTime, "wait", 0, "how long to wait for the last revision to be in use on every instance")
	return c
}

// waitUntilInUse polls until the last revision is in use: every instance has
// applied it, or its lease has expired. A wait of 0 returns the first status.
func waitUntilInUse(ctx context.Context, client wire.DRPCControlClient, wait time.Duration, now func() time.Time) (*wire.StatusReply, error) {
	const pollInterval = 100 * time.Millisecond
	end := now().Add(wait)
	for {
		s, err := getStatus(ctx, client, false)
		if err != nil {
			return nil, err
		}
		if wait == 0 || s.Active >= s.Revision && s.Revision > 0 {
			return s, nil
		}
		if now().After(end) {
			return nil, fault.New(fault.NotCurrent, "revision %d is not yet in use everywhere: %s", s.Revision, describeLag(s))
		}
		time.Sleep(pollInterval)
	}
}

// describeLag lists the members that have not applied the last revision.
func describeLag(s *wire.StatusReply) string {
	text := ""
	for _, m := range s.Members {
		if m.Applied < s.Revision {
			text += fmt.Sprintf("%s at %d, silent for %s; ", m.Name, m.Applied, time.Duration(m.SilentNanos).Round(time.Millisecond))
		}
	}
	if text == "" {
		return "all known members have applied it, but this instance has not been notified yet"
	}
	return text
}

func printStatus(w io.Writer, s *wire.StatusReply) {
	fmt.Fprintf(w, "%s in %s, %s, leader %s, term %d\n", s.Name, s.Domain, s.Role, s.LeaderName, s.Term)
	fmt.Fprintf(w, "revision %d, applied %d, in use %d, lease left %s, confirmed %s ago\n", s.Revision, s.Applied, s.Active,
		time.Duration(s.LeaseLeftNanos).Round(time.Millisecond), time.Duration(s.ConfirmedAgoNanos).Round(time.Millisecond))
	if !s.ByLeader {
		fmt.Fprintln(w, "  the leader is unreachable: leases and lag are unknown")
	}
	if s.Evacuations > 0 {
		fmt.Fprintf(w, "  evacuated: %s, by revision %d\n", evacuatedDomains(s), s.Evacuations)
	}
	for _, m := range s.Members {
		fmt.Fprintf(w, "  entry %-16s %-12s applied %d, silent %s, leased %v, leaving %v\n", m.Name, m.Domain, m.Applied,
			time.Duration(m.SilentNanos).Round(time.Millisecond), m.Leased, m.Leaving)
	}
	for _, d := range s.Drains {
		fmt.Fprintf(w, "  leaving %s/%s for %s: waiting for %s\n", d.Service, d.Endpoint,
			time.Duration(d.SinceNanos).Round(time.Second), remainingWork(d))
	}
	for _, o := range s.Objects {
		fmt.Fprintf(w, "  %s %s, revision %d by %s, change %s\n", o.Object.Kind, o.Object.Name, o.Revision, o.Author, o.ChangeId)
	}
}

// printLoadedPools prints how many pools a control instance allocates. It prints nothing without
// admission control, nor if the instance does not answer: the status was printed before.
func printLoadedPools(ctx context.Context, w io.Writer, client wire.DRPCControlClient) {
	u, err := client.Utilisation(ctx, &wire.UtilisationRequest{})
	if err != nil || !u.Enabled || len(u.Pools) == 0 {
		return
	}
	loaded := 0
	for _, p := range u.Pools {
		if p.Entries > 0 {
			loaded++
		}
	}
	fmt.Fprintf(w, "  loaded pools: %d; see `oxbowsaddle utilisation`\n", loaded)
}

// evacuatedDomains lists the evacuated failure domains.
func evacuatedDomains(s *wire.StatusReply) string {
	if len(s.Evacuated) == 0 {
		return "none"
	}
	return strings.Join(s.Evacuated, ", ")
}

// remainingWork describes the flows that a draining endpoint still serves. It
// includes buckets only where packets carry no tag that identifies their endpoint.
func remainingWork(d *wire.DrainStatus) string {
	if d.Buckets == 0 {
		return fmt.Sprintf("%d flows", d.Flows)
	}
	return fmt.Sprintf("%d flows in %d buckets", d.Flows, d.Buckets)
}
