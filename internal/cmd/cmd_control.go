package cmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// cmdControl lists, adds and removes control instances.
func cmdControl() *cobra.Command {
	c := &cobra.Command{
		Use: "control", Short: "list control instances, or add or remove one",
		Long: "To replace a lost control instance, start the new one with an empty data folder, add it, and remove the lost one.",
	}
	c.AddCommand(
		newVotersCommand("list", "list the control instances", 0, func([]string) *wire.VotersRequest { return &wire.VotersRequest{} }),
		newVotersCommand("add NAME", "add a control instance; it must have a data folder in the settings", 1, func(args []string) *wire.VotersRequest {
			return &wire.VotersRequest{Add: args[0]}
		}),
		newVotersCommand("remove NAME", "remove a control instance", 1, func(args []string) *wire.VotersRequest {
			return &wire.VotersRequest{Remove: args[0]}
		}),
	)
	return c
}

func newVotersCommand(use, short string, argCount int, request func([]string) *wire.VotersRequest) *cobra.Command {
	return newQueryCommand(use, short, argCount, func(ctx context.Context, q query) error {
		r, err := q.client.Voters(ctx, request(q.args))
		if err != nil {
			return fault.Wrap(fault.Unreachable, err)
		}
		if r.Kind != "accepted" {
			return replyError(r.Kind, r.Detail)
		}
		if q.json {
			return PrintJSON(q.out, r.Voters)
		}
		fmt.Fprintln(q.out, r.Voters)
		return nil
	})
}
