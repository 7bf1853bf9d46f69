package replica

import (
	"flag"
	"fmt"
	"testing"
)

var (
	firstSeed = flag.Uint64("replica.seed", 1, "first seed of the schedules")
	schedules = flag.Int("replica.runs", 300, "schedules, each with the next seed")
)

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
