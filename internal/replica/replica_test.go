package replica

import (
	"flag"
	"fmt"
	"testing"
)

var (
	firstSeed = flag.Uint64("replica.seed", 1, "seed of the first schedule")
	schedules = flag.Int("replica.runs", 300, "number of schedules, each with the next seed")
)

// TestSchedules guards against lost commits and concurrent leaders under
// random faults.
func TestSchedules(t *testing.T) {
	for i := range uint64(*schedules) {
		t.Run(fmt.Sprint(*firstSeed+i), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, *firstSeed+i, 3+2*int(i%2))
			c.run(1500)
			c.checkConvergence()
			if len(c.committed) < 3 {
				t.Fatalf("seed %d: nothing was committed", *firstSeed+i)
			}
		})
	}
}
