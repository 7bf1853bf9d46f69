// Package proptest fixes the seed of property tests, so that every run of the
// tests gives the same verdict. Another seed is set by -rapid.seed.
package proptest

import (
	"flag"
	"testing"
)

const seedFlag = "rapid.seed"

// Main runs the tests of a package with a fixed seed; a package that uses
// rapid calls it from TestMain.
func Main(m *testing.M) int {
	flag.Parse()
	if f := flag.Lookup(seedFlag); f != nil && f.Value.String() == f.DefValue {
		if err := flag.Set(seedFlag, "20261202"); err != nil {
			return 2
		}
	}
	return m.Run()
}
