// Command tools is oxbowsaddle with additional commands for development: load,
// slopes, experiment and man. They are kept out of the main binary because their
// libraries for plots and manual pages slow down its start.
package main

import (
	"os"

	"oxbowsaddle/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr, cmdLoad(), cmdSlopes(), cmdMan(), cmdExperiment()))
}
