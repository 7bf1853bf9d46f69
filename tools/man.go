package main

import (
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/cobra/doc"
)

// cmdMan writes a manual page for each command.
func cmdMan() *cobra.Command {
	return &cobra.Command{
		Use: "man FOLDER", Short: "write a manual page in Markdown for each command", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			const mode = 0o755
			if err := os.MkdirAll(args[0], mode); err != nil {
				return err
			}
			c.Root().DisableAutoGenTag = true
			return doc.GenMarkdownTree(c.Root(), args[0])
		},
	}
}
