package cmd

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// cmdStats prints the counters of an instance.
func cmdStats() *cobra.Command {
	var conn connectionFlags
	var all bool
	c := &cobra.Command{
		Use: "stats [PREFIX]", Short: "print the counters of an instance, or those whose names begin with PREFIX", Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return conn.call(c.Context(), func(ctx context.Context, client wire.DRPCControlClient) error {
				r, err := client.Stats(ctx, &wire.StatsRequest{})
				if err != nil {
					return fault.Wrap(fault.Unreachable, err)
				}
				values := map[string]int64{}
				for _, counter := range r.Counters {
					if len(args) > 0 && !strings.HasPrefix(counter.Name, args[0]) || !all && counter.Value == 0 {
						continue
					}
					values[counter.Name] = counter.Value
					if conn.output == "text" {
						fmt.Fprintf(c.OutOrStdout(), "%-28s %d\n", counter.Name, counter.Value)
					}
				}
				if conn.output == "json" {
					return PrintJSON(c.OutOrStdout(), values)
				}
				return nil
			})
		},
	}
	conn.addFlags(c)
	c.Flags().BoolVar(&all, "all", false, "include counters that are 0")
	return c
}
