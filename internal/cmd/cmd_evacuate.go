package cmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// maxAttempts bounds the number of instances that a command asks: an entry
// redirects to a control instance, which redirects to the leader.
const maxAttempts = 3

// cmdEvacuate stops new flows to the endpoints of a failure domain, or resumes them.
func cmdEvacuate() *cobra.Command {
	var conn connectionFlags
	var undo bool
	c := &cobra.Command{
		Use: "evacuate DOMAIN", Short: "stop sending new flows to the endpoints of a failure domain, or resume",
		Long: "New flows go to the other failure domains; open flows stay where they are. \"accepted\" means that a majority\n" +
			"of the control instances has stored the order on disk; `oxbowsaddle status` shows which instances apply it.\n" +
			"While all failure domains with endpoints of a service are evacuated, new flows of that service are reset at\n" +
			"once. It is safe to send the order again; the last accepted one is in effect.",
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
	c.Flags().BoolVar(&undo, "undo", false, "end the evacuation, so that new flows go there again")
	return c
}

// evacuate sends the order and follows redirects to the instance that can
// accept it.
func (f *connectionFlags) evacuate(ctx context.Context, r *wire.EvacuateRequest) error {
	next := *f
	var reply *wire.EvacuateReply
	for range maxAttempts {
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
