package cmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// cmdControl shows and changes the control instances.
func cmdControl() *cobra.Command {
	c := &cobra.Command{
		Use: "control", Short: "show or change the control instances, one at a time",
		Long: "To replace a lost one: start the new instance with an empty data folder, add it, and remove the lost one.",
	}
	c.AddCommand(
		newVotersCommand("list", "list the control instances", 0, func([]string) *wire.VotersRequest { return &wire.VotersRequest{} }),
		newVotersCommand("add NAME", "add an instance that the settings name with a data folder", 1, func(args []string) *wire.VotersRequest {
			return &wire.VotersRequest{Add: args[0]}
		}),
		newVotersCommand("remove NAME", "remove a control instance", 1, func(args []string) *wire.VotersRequest {
			return &wire.VotersRequest{Remove: args[0]}
		}),
	)
	return c
}

func newVotersCommand(use, short string, n int, request func([]string) *wire.VotersRequest) *cobra.Command {
	return newQueryCommand(use, short, n, func(ctx context.Context, a query) error {
		r, err := a.client.Voters(ctx, request(a.args))
		if err != nil {
			return fault.Wrap(fault.Unreachable, err)
		}
		if r.Kind != "accepted" {
			return replyError(r.Kind, r.Detail)
		}
		if a.json {
			return PrintJSON(a.out, r.Voters)
		}
		fmt.Fprintln(a.out, r.Voters)
		return nil
	})
}
