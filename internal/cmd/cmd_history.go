package cmd

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/wire"
)

// cmdHistory lists accepted changes.
func cmdHistory() *cobra.Command {
	var t target
	c := &cobra.Command{
		Use: "history", Short: "list the accepted changes, the oldest first", Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			return t.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				s, err := client.Status(ctx, &wire.StatusRequest{History: true})
				if err != nil {
					return fault.Wrap(fault.Unreachable, err)
				}
				if t.output == "json" {
					return printJSON(c.OutOrStdout(), s.History)
				}
				for _, h := range s.History {
					fmt.Fprintf(c.OutOrStdout(), "revision %d, %s, by %s, change %s:", h.Revision, time.Unix(0, h.UnixNano).UTC().Format(time.RFC3339), h.Change.Author, h.Change.Id)
					for _, o := range h.Change.Objects {
						fmt.Fprintf(c.OutOrStdout(), " %s %s", o.Kind, o.Name)
					}
					fmt.Fprintln(c.OutOrStdout())
				}
				return nil
			})
		},
	}
	t.flags(c)
	return c
}

// findChange returns the accepted change of a revision.
func findChange(ctx context.Context, client wire.DRPCControlClient, revision string) (*wire.HistoryEntry, error) {
	number, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return nil, usageError{fmt.Errorf("revision %q is not a number", revision)}
	}
	s, err := client.Status(ctx, &wire.StatusRequest{History: true})
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err)
	}
	for _, h := range s.History {
		if h.Revision == number {
			return h, nil
		}
	}
	return nil, fault.New(fault.NotFound, "revision %d is no accepted change that is remembered", number)
}

// cmdDiff shows what a change altered.
func cmdDiff() *cobra.Command {
	var t target
	c := &cobra.Command{
		Use: "diff REVISION", Short: "show what an accepted change altered", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return t.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				h, err := findChange(ctx, client, args[0])
				if err != nil {
					return err
				}
				for n, o := range h.Change.Objects {
					what := "new"
					if before := h.Before[n]; !before.Remove {
						what = intent.Difference(before.Body, o.Body)
					}
					fmt.Fprintf(c.OutOrStdout(), "%s %s: %s\n", o.Kind, o.Name, what)
				}
				return nil
			})
		},
	}
	t.flags(c)
	return c
}

// cmdRevert offers what a change altered as it was before, as a new change.
func cmdRevert() *cobra.Command {
	var a change
	c := &cobra.Command{
		Use: "revert REVISION", Short: "undo an accepted change by a new one", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var before []*wire.Object
			err := a.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				h, err := findChange(ctx, client, args[0])
				if err != nil {
					return err
				}
				before = h.Before
				if a.base == 0 {
					a.base = h.Revision // a later change of the same object is not overwritten
				}
				return nil
			})
			if err != nil {
				return err
			}
			return a.offer(c.Context(), c.OutOrStdout(), before)
		},
	}
	a.flags(c)
	return c
}
