// Package proptest gives property tests a fixed seed, so that each run checks
// the same cases. The flag -rapid.seed sets another seed.
package proptest

import (
	"flag"
	"testing"
)

const seedFlag = "rapid.seed"

// Main runs the tests of a package with a fixed seed and returns the exit code.
// Packages that use rapid call it from TestMain.
func Main(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup(seedFlag); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set(seedFlag, "20261202"); err != nil {
			return 2
		}
	}
	return m.Run()
}
