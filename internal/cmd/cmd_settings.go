package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"oxbowsaddle/internal/settings"
)

// cmdSettings groups the commands on settings files.
func cmdSettings() *cobra.Command {
	check := &cobra.Command{
		Use: "check FILE", Short: "check a settings file and list every error with its line", Args: exactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := settings.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %d instances, control instances %v\n", args[0], len(s.Instances), s.Voters())
			return nil
		},
	}
	c := &cobra.Command{Use: "settings", Short: "work on settings files"}
	c.AddCommand(check)
	return c
}
