// Oxbowsaddle is a layer-4 load balancer. See README.md.
package main

import (
	"os"

	"oxbowsaddle/internal/cmd"
)

func main() { os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr)) }
