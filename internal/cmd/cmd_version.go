package cmd

import (
	"fmt"
	"runtime"

	"github.com/spf13/cobra"
)

// Version is the release version; a build can set it with -ldflags -X.
var Version = "0.1.0"

// cmdVersion prints the version, the Go version and the platform.
func cmdVersion() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "print the version", Args: exactArgs(0),
		Run: func(c *cobra.Command, _ []string) {
			fmt.Fprintf(c.OutOrStdout(), "oxbowsaddle %s %s %s/%s\n", Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
		},
	}
}
