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

// objectDiff is what a change altered in one object.
type objectDiff struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	What string `json:"what"`
}

// cmdHistory lists accepted changes.
func cmdHistory() *cobra.Command {
	return newQueryCommand("history", "list the accepted changes, the oldest first", 0, func(ctx context.Context, a query) error {
		s, err := getStatus(ctx, a.client, true)
		if err != nil {
			return err
		}
		if a.json {
			return PrintJSON(a.out, s.History)
		}
		for _, h := range s.History {
			fmt.Fprintf(a.out, "revision %d, %s, by %s, change %s:", h.Revision, time.Unix(0, h.UnixNano).UTC().Format(time.RFC3339), h.Change.Author, h.Change.Id)
			for _, o := range h.Change.Objects {
				fmt.Fprintf(a.out, " %s %s", o.Kind, o.Name)
			}
			fmt.Fprintln(a.out)
		}
		return nil
	})
}

// findChange returns the accepted change of a revision.
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
	return nil, fault.New(fault.NotFound, "revision %d is no accepted change that is remembered", number)
}

// cmdDiff shows what a change altered.
func cmdDiff() *cobra.Command {
	return newQueryCommand("diff REVISION", "show what an accepted change altered", 1, func(ctx context.Context, a query) error {
		h, err := findChange(ctx, a.client, a.args[0])
		if err != nil {
			return err
		}
		all := objectDiffs(h)
		if a.json {
			return PrintJSON(a.out, all)
		}
		for _, d := range all {
			fmt.Fprintf(a.out, "%s %s: %s\n", d.Kind, d.Name, d.What)
		}
		return nil
	})
}

// objectDiffs returns what a change altered, in the order of its objects.
func objectDiffs(h *wire.HistoryEntry) []objectDiff {
	all := []objectDiff{} // not null for a script
	for n, o := range h.Change.Objects {
		what := "new"
		if before := h.Before[n]; !before.Remove {
			what = intent.Difference(before.Body, o.Body)
		}
		all = append(all, objectDiff{o.Kind, o.Name, what})
	}
	return all
}

// cmdRevert offers what a change altered as it was before, as a new change.
func cmdRevert() *cobra.Command {
	var flags changeFlags
	c := &cobra.Command{
		Use: "revert REVISION", Short: "undo an accepted change by a new one", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var before []*wire.Object
			err := flags.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				h, err := findChange(ctx, client, args[0])
				if err != nil {
					return err
				}
				before = h.Before
				if flags.base == 0 {
					flags.base = h.Revision // a later change of the same object is not overwritten
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
