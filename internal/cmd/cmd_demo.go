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

// cmdDemo runs the main job: a whole fleet under traffic and events.
func cmdDemo() *cobra.Command {
	var config demo.Config
	var compare, verbose bool
	var folder string
	c := &cobra.Command{
		Use: "demo", Short: "run 8 entry instances with callers and backend servers on loopback, with a drain, a join and a kill",
		Long: "Runs everything in one process and reports what callers and backend servers have counted. The last line is\n" +
			"JSON. The exit code is not 0 where a promise was broken.",
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
	c.Flags().StringVar(&config.Example, "template", "visa", "visa or qasr")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the fabric and of the events")
	c.Flags().DurationVar(&config.Duration, "for", 18*time.Second, "how long traffic flows")
	c.Flags().StringSliceVar(&config.Events, "events", []string{"drain", "join", "kill"}, "drain, join, kill, restart, cut or all")
	c.Flags().StringVar(&config.Placement, "placement", "", "run a baseline instead: modulo")
	c.Flags().BoolVar(&compare, "compare", false, "run the project's own placement and the baseline, one after the other")
	c.Flags().BoolVar(&verbose, "verbose", false, "show the instances' logs")
	c.Flags().StringVar(&folder, "data", "", "keep data folders here; a temporary folder where empty")
	return c
}

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
	var broken error
	for _, r := range reports {
		r.WriteTable(c.OutOrStdout())
		if r.Placement != instance.PlacementModulo {
			broken = errors.Join(broken, r.Err())
		}
	}
	for _, r := range reports {
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), string(line))
	}
	return broken
}
