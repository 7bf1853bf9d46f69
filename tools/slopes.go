package main

import (
	"time"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/slopes"
)

// cmdSlopes measures what docs/CAPACITY.md stands on.
func cmdSlopes() *cobra.Command {
	var config slopes.Config
	c := &cobra.Command{
		Use: "slopes", Short: "measure what costs grow with, for the capacity page", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config.Now, config.Progress = time.Now, c.OutOrStdout()
			_, err := slopes.Run(config)
			return err
		},
	}
	c.Flags().StringVar(&config.Out, "out", "", "folder for the table and the plots")
	c.Flags().StringVar(&config.Only, "only", "", "measure one slope by name")
	return c
}
