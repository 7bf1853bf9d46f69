package instance

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/telemetry"
)

func newTestBudget() (*budget, *telemetry.Counters) {
	c := telemetry.NewCounters()
	return newBudget(settings.Limits{ControlBytesPerSecond: 1000, CoreThousandths: 13, MemoryMegabytes: 64}, c), c
}

func TestHeartbeatsIgnoreByteBudget(t *testing.T) {
	g := gomega.NewWithT(t)
	b, counters := newTestBudget()
	now := time.Unix(100, 0)
	for range 100 {
		b.charge(now, 400)
	}
	g.Expect(counters.Counter("control_bytes").Count()).To(gomega.Equal(int64(40_000)), "heartbeats are counted")
	g.Expect(b.tryCharge(now, 10)).To(gomega.BeFalse(), "counts and probes wait")
	g.Expect(b.tryCharge(now.Add(time.Minute), 10)).To(gomega.BeTrue())
}

func TestChecksSlowDownAboveCoreLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	b, counters := newTestBudget()
	now := time.Unix(100, 0)
	b.evaluate(now, 0)
	for range 6 {
		now = now.Add(budgetWindow)
		b.addBusy(budgetWindow / 10)
		b.evaluate(now, 0)
	}
	g.Expect(b.checkSlowdown()).To(gomega.BeEquivalentTo(maxCheckSlowdown))
	for range 6 {
		now = now.Add(budgetWindow)
		b.evaluate(now, 128<<20)
	}
	g.Expect(b.checkSlowdown()).To(gomega.BeEquivalentTo(1))
	g.Expect(counters.Counter("budget_exceeded").Count()).To(gomega.BeNumerically(">=", 12), "memory above the limit is counted too")
}
