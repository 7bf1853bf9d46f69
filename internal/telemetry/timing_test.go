package telemetry

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a Timing", func() {
	write := func(t *Timing) []string {
		var b strings.Builder
		t.WriteText(&b)
		return strings.Split(strings.TrimSuffix(b.String(), "\n"), "\n")
	}

	It("writes quantiles, sum and count in seconds, one per line", func() {
		t := NewTiming("order_seconds")
		for n := range 100 {
			t.Observe(time.Duration(n+1) * time.Millisecond)
		}
		Expect(write(t)).To(Equal([]string{
			`order_seconds{quantile="0.5"} 0.050500000`,
			`order_seconds{quantile="0.95"} 0.095950000`,
			`order_seconds{quantile="0.99"} 0.099990000`,
			`order_seconds_sum 5.050000000`,
			`order_seconds_count 100`,
		}))
	})

	It("writes zeros before the first duration", func() {
		Expect(write(NewTiming("x_seconds"))).To(ContainElements(`x_seconds{quantile="0.99"} 0.000000000`, "x_seconds_sum 0.000000000", "x_seconds_count 0"))
	})

	It("keeps a bounded sample", func() {
		t := NewTiming("x_seconds")
		for range 10 * sampleSize {
			t.Observe(time.Millisecond)
		}
		Expect(t.histogram.Sample().Size()).To(Equal(sampleSize))
		Expect(write(t)).To(ContainElement("x_seconds_count 5120"))
	})
})
