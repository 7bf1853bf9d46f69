package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/cmd"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/load"
	"oxbowsaddle/internal/settings"
)

// cmdLoad generates load on running entries.
func cmdLoad() *cobra.Command {
	var config load.Config
	var settingsFile, intentFile, plotFile, output string
	var mix map[string]string
	c := &cobra.Command{
		Use:   "load --settings FILE --intent FILE",
		Short: "generate open-loop load on running entries, with a simulated fabric and backend servers",
		Long: "Binds the fabric's address and every endpoint's address in the files, so nothing else may use them.\n" +
			"The fleet must have accepted the configuration before.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var err error
			if config.Settings, err = settings.Load(settingsFile); err != nil {
				return err
			}
			data, err := os.ReadFile(intentFile)
			if err != nil {
				return fault.Wrap(fault.InvalidChange, err)
			}
			if config.Objects, err = intent.ParseFile(data); err != nil {
				return fault.Wrap(fault.InvalidChange, err)
			}
			if config.Mix, err = readMix(mix); err != nil {
				return err
			}
			config.Now, config.Progress = time.Now, c.ErrOrStderr()
			report, err := load.Run(c.Context(), config)
			if err != nil {
				return err
			}
			if plotFile != "" {
				if err := report.Plot(plotFile); err != nil {
					return err
				}
			}
			if output == "json" {
				return cmd.PrintJSON(c.OutOrStdout(), report)
			}
			printLoad(c, report)
			return nil
		},
	}
	c.Flags().StringVar(&settingsFile, "settings", "", "settings file of the fleet")
	c.Flags().StringVar(&intentFile, "intent", "", "configuration file with the services")
	c.Flags().Float64Var(&config.Flows, "flows", 100, "new flows a second")
	c.Flags().DurationVar(&config.FlowDuration, "flow-lasts", 5*time.Second, "duration of a flow; the number of open flows is this times --flows")
	c.Flags().DurationVar(&config.PacketInterval, "flow-every", 200*time.Millisecond, "mean time between packets of a flow")
	c.Flags().Float64Var(&config.Requests, "requests", 100, "requests a second")
	c.Flags().StringToStringVar(&mix, "mix", nil, "weights of classes, as class=weight; a class without a weight gets no load")
	c.Flags().DurationVar(&config.Deadline, "deadline", 2*time.Second, "deadline of a request")
	c.Flags().DurationVar(&config.ServiceTime, "service-time", 40*time.Millisecond, "time that a backend server takes for a request")
	c.Flags().DurationVar(&config.Duration, "for", 10*time.Second, "duration of the load")
	c.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the simulated fabric")
	c.Flags().StringVar(&plotFile, "plot", "", "write a plot to this PNG file")
	c.Flags().StringVar(&output, "output", "text", "output format: text or json")
	_ = c.MarkFlagRequired("settings")
	_ = c.MarkFlagRequired("intent")
	return c
}

func readMix(text map[string]string) (map[string]float64, error) {
	mix := map[string]float64{}
	for class, weight := range text {
		w, err := strconv.ParseFloat(weight, 64)
		if err != nil || w < 0 {
			return nil, cmd.UsageError{Err: fmt.Errorf("--mix %s=%s: the weight must be a number of at least 0", class, weight)}
		}
		mix[class] = w
	}
	return mix, nil
}

func printLoad(c *cobra.Command, r load.Report) {
	w := c.OutOrStdout()
	fmt.Fprintf(w, "flows %d, held %d at the end, broken %d, not opened %d, misdelivered %d\n", r.Counts.Flows, r.Counts.FlowsOpen,
		r.Counts.BrokenPlanned+r.Counts.BrokenUnplanned, r.Counts.NotOpened, r.Counts.Misdelivered)
	fmt.Fprintf(w, "requests %d, answered %d, not run %d, unknown %d, no answer %d, ran twice %d, false not run %d\n", r.Counts.Requests,
		r.Counts.Answered, r.Counts.NotRun, r.Counts.Unknown, r.Counts.NoAnswer, r.Counts.RanTwice, r.Counts.FalseNotRun)
	var classes []string
	for class := range r.Latencies {
		classes = append(classes, class)
	}
	slices.Sort(classes)
	for _, class := range classes {
		l := r.Latencies[class]
		fmt.Fprintf(w, "%-16s %7d answers, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n", class, l.Count, l.P50, l.P99, l.P999)
	}
	for service, ratio := range r.Imbalance {
		fmt.Fprintf(w, "imbalance of %s: %.3f\n", service, ratio)
	}
}
