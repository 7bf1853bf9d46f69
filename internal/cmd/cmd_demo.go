package cmd

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/demo"
	"oxbowsaddle/internal/instance"
)

// cmdDemo runs a whole fleet with simulated traffic and failures.
func cmdDemo() *cobra.Command {
	var config demo.Config
	var compare, verbose bool
	var folder string
	c := &cobra.Command{
		Use: "demo", Short: "run 8 entry instances with simulated clients and backend servers on loopback",
		Long: "Runs everything in one process and reports what the clients and backend servers have counted. The last line\n" +
			"is JSON. The exit code is not 0 if a guarantee was violated.",
		Args: exactArgs(0),
		RunE: func(c *cobra.Command, _ []string) error {
			if slices.Contains(config.Events, "all") {
				config.Events = demo.EventNames()
			}
			for _, e := range config.Events {
				if !slices.Contains(demo.EventNames(), e) {
					return UsageError{fmt.Errorf("--events: %q is none of %v", e, demo.EventNames())}
				}
			}
			if config.Placement != "" && config.Placement != instance.PlacementModulo {
				return UsageError{fmt.Errorf("--placement is empty or %s", instance.PlacementModulo)}
			}
			config.Now, config.Progress, config.Log, config.LogLevel = time.Now, c.OutOrStdout(), io.Discard, "error"
			if verbose {
				config.Log, config.LogLevel = c.ErrOrStderr(), "debug"
			}
			runs := []string{config.Placement}
			if compare {
				runs = []string{"", instance.PlacementModulo}
			}
			return runDemos(c, config, folder, runs)
		},
	}
	c.Flags().StringVar(&config.Example, "template", "visa", "example configuration to run: visa or qasr")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the random choices of the fabric and the events")
	c.Flags().DurationVar(&config.Duration, "for", 18*time.Second, "how long traffic flows")
	c.Flags().StringSliceVar(&config.Events, "events", []string{"drain", "join", "kill"}, "events to run, in the given order: drain, join, kill, restart, cut; or all")
	c.Flags().StringVar(&config.Placement, "placement", "", "baseline placement to run instead of the project's own: modulo")
	c.Flags().BoolVar(&compare, "compare", false, "run the project's own placement and then the modulo baseline")
	c.Flags().BoolVar(&verbose, "verbose", false, "print the debug logs of the instances to standard error")
	c.Flags().StringVar(&folder, "data", "", "folder for the instances' data folders; a temporary one if empty")
	return c
}

// runDemos runs the demo once for each placement and prints the reports. The
// modulo baseline may violate guarantees.
func runDemos(c *cobra.Command, config demo.Config, folder string, placements []string) error {
	var reports []demo.Report
	for _, placement := range placements {
		config.Placement, config.DataDir = placement, folder
		if folder == "" {
			temporary, err := os.MkdirTemp("", "oxbowsaddle-demo-")
			if err != nil {
				return err
			}
			defer func() { _ = os.RemoveAll(temporary) }()
			config.DataDir = temporary
		}
		report, err := demo.Run(c.Context(), config)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	var violations error
	for _, r := range reports {
		r.WriteTable(c.OutOrStdout())
		if r.Placement != instance.PlacementModulo {
			violations = errors.Join(violations, r.Err())
		}
	}
	for _, r := range reports {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), string(line))
	}
	return violations
}
