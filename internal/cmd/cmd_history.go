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

// objectDiff describes how a change altered one object.
type objectDiff struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	What string `json:"what"`
}

// cmdHistory lists accepted changes.
func cmdHistory() *cobra.Command {
	return newQueryCommand("history", "list the accepted changes, the oldest first", 0, func(ctx context.Context, q query) error {
		s, err := getStatus(ctx, q.client, true)
		if err != nil {
			return err
		}
		if q.json {
			return PrintJSON(q.out, s.History)
		}
		for _, h := range s.History {
			fmt.Fprintf(q.out, "revision %d, %s, by %s, change %s:", h.Revision, time.Unix(0, h.UnixNano).UTC().Format(time.RFC3339), h.Change.Author, h.Change.Id)
			for _, o := range h.Change.Objects {
				fmt.Fprintf(q.out, " %s %s", o.Kind, o.Name)
			}
			fmt.Fprintln(q.out)
		}
		return nil
	})
}

// findChange returns the accepted change that created a revision.
func findChange(ctx context.Context, client wire.DRPCControlClient, revision string) (*wire.HistoryEntry, error) {
	number, err := strconv.ParseUint(revision, 10, 64)
	if err != nil {
		return nil, UsageError{fmt.Errorf("revision %q is not a number", revision)}
	}
	s, err := getStatus(ctx, client, true)
	if err != nil {
		return nil, err
	}
	for _, h := range s.History {
		if h.Revision == number {
			return h, nil
		}
	}
	return nil, fault.New(fault.NotFound, "no change of revision %d in the stored history", number)
}

// cmdDiff shows what a change altered.
func cmdDiff() *cobra.Command {
	return newQueryCommand("diff REVISION", "show what an accepted change altered", 1, func(ctx context.Context, q query) error {
		h, err := findChange(ctx, q.client, q.args[0])
		if err != nil {
			return err
		}
		all := objectDiffs(h)
		if q.json {
			return PrintJSON(q.out, all)
		}
		for _, d := range all {
			fmt.Fprintf(q.out, "%s %s: %s\n", d.Kind, d.Name, d.What)
		}
		return nil
	})
}

// objectDiffs describes how a change altered each of its objects, in their order.
func objectDiffs(h *wire.HistoryEntry) []objectDiff {
	all := []objectDiff{} // encoded as [] rather than null if empty
	for n, o := range h.Change.Objects {
		what := "new"
		if before := h.Before[n]; !before.Remove {
			what = intent.Difference(before.Body, o.Body)
		}
		all = append(all, objectDiff{o.Kind, o.Name, what})
	}
	return all
}

// cmdRevert submits a new change that restores the objects as they were before
// an accepted change.
func cmdRevert() *cobra.Command {
	var flags changeFlags
	c := &cobra.Command{
		Use: "revert REVISION", Short: "undo an accepted change by submitting a new one", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var before []*wire.Object
			err := flags.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				change, err := findChange(ctx, client, args[0])
				if err != nil {
					return err
				}
				before = change.Before
				if flags.base == 0 {
					flags.base = change.Revision // conflict if a later change has altered one of the objects
				}
				return nil
			})
			if err != nil {
				return err
			}
			return flags.submit(c.Context(), c.OutOrStdout(), before)
		},
	}
	flags.addFlags(c)
	return c
}
