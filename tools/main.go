// Command tools has the commands of oxbowsaddle and, beside them, those of
// development: load, slopes and manual pages. They draw plots and pages, whose
// libraries cost each start of a process a quarter of its time; the binary
// that serves does without them.
package main

import (
	"os"

	"oxbowsaddle/internal/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr, cmdLoad(), cmdSlopes(), cmdMan(), cmdExperiment()))
}
