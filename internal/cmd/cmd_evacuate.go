package cmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// maxRedirects bounds how often an order is sent on: from an entry to a control
// instance, from there to the leader, and once more where that has changed.
const maxRedirects = 3

// cmdEvacuate has nothing further sent to the endpoints of a failure domain.
func cmdEvacuate() *cobra.Command {
	var conn connection
	var undo bool
	c := &cobra.Command{
		Use: "evacuate DOMAIN", Short: "have nothing further sent to the endpoints of a failure domain, or end that",
		Long: "New flows go to the other failure domains; flows that are open stay where they are. Accepted means that a\n" +
			"majority of the control instances holds the order on disk; see `oxbowsaddle status` for who has it in force.\n" +
			"While every failure domain with endpoints of a service is evacuated, its new flows are reset at once.\n" +
			"The order may be sent again; the last one that was accepted stands.",
		Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := conn.evacuate(c.Context(), &wire.EvacuateRequest{Domain: args[0], Undo: undo}); err != nil {
				return err
			}
			if conn.output == "json" {
				return PrintJSON(c.OutOrStdout(), map[string]any{"domain": args[0], "evacuated": !undo, "answer": "accepted"})
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: accepted\n", args[0])
			return nil
		},
	}
	conn.addFlags(c)
	c.Flags().BoolVar(&undo, "undo", false, "end the evacuation: new flows may go there again")
	return c
}

// evacuate sends the order, and sends it on to whoever is named instead.
func (conn *connection) evacuate(ctx context.Context, r *wire.EvacuateRequest) error {
	next := *conn
	var reply *wire.EvacuateReply
	for range maxRedirects {
		err := next.call(ctx, func(ctx context.Context, client wire.DRPCControlClient) (err error) {
			reply, err = client.Evacuate(ctx, r)
			return fault.Wrap(fault.Unreachable, err)
		})
		if err != nil {
			return err
		}
		if reply.Kind == "accepted" {
			return nil
		}
		if reply.Elsewhere == "" || reply.Kind != fault.NotCurrent.Name() {
			break
		}
		next.addr = reply.Elsewhere
	}
	return replyError(reply.Kind, reply.Detail)
}
