package cmd

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/wire"
)

// cmdTeam groups the commands on teams; plan submits a change as a dry run.
func cmdTeam() *cobra.Command {
	var flags changeFlags
	plan := &cobra.Command{
		Use: "plan FILE", Short: "show what accepting a file would change and what the answer would be", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			objects, err := readObjects(args[0])
			if err != nil {
				return err
			}
			return flags.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				s, err := getStatus(ctx, client, false)
				if err != nil {
					return err
				}
				printPlan(c, s, objects)
				reply, err := client.Submit(ctx, &wire.Change{Id: "plan", Base: s.Revision, Objects: objects, Plan: true, Confirmed: flags.confirm})
				if err != nil {
					return fault.Wrap(fault.NoQuorum, err)
				}
				flags.id = "(plan only)"
				return flags.printReply(c.OutOrStdout(), reply)
			})
		},
	}
	flags.addFlags(plan)
	c := &cobra.Command{Use: "team", Short: "work on teams"}
	c.AddCommand(plan)
	return c
}

// printPlan compares each object of a change with its accepted version.
func printPlan(c *cobra.Command, s *wire.StatusReply, objects []*wire.Object) {
	current := map[string][]byte{}
	for _, o := range s.Objects {
		current[o.Object.Kind+" "+o.Object.Name] = o.Object.Body
	}
	for _, o := range objects {
		body, known := current[o.Kind+" "+o.Name]
		if !known {
			fmt.Fprintf(c.OutOrStdout(), "%s %s: new\n", o.Kind, o.Name)
			continue
		}
		fmt.Fprintf(c.OutOrStdout(), "%s %s: %s\n", o.Kind, o.Name, intent.Difference(body, o.Body))
	}
}
