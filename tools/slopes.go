package main

import (
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/slopes"
)

// cmdSlopes measures the slopes that docs/CAPACITY.md is based on.
func cmdSlopes() *cobra.Command {
	var config slopes.Config
	c := &cobra.Command{
		Use: "slopes", Short: "measure how costs grow with the size of a fleet, for the capacity page", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config.Now, config.Progress = time.Now, c.OutOrStdout()
			_, err := slopes.Run(config)
			return err
		},
	}
	c.Flags().StringVar(&config.Out, "out", "", "folder for the table and the plots")
	c.Flags().StringVar(&config.Only, "only", "", "measure only the slope with this name")
	return c
}
