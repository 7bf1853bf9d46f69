package telemetry

import (
	"fmt"
	"io"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize is how many of the durations are kept to tell quantiles from:
// 4 KB, for an error of some 2% at the 95th percentile.
const sampleSize = 512

// quantiles are told of each Timing.
var quantiles = []float64{0.5, 0.95, 0.99}

// Timing is how long something took, each time. Several goroutines may use it.
type Timing struct {
	name      string
	histogram metrics.Histogram // nanoseconds
}

// NewTiming returns a Timing without durations; its name ends in "_seconds".
func NewTiming(name string) *Timing {
	return &Timing{name, metrics.NewHistogram(metrics.NewUniformSample(sampleSize))}
}

// Observe adds a duration.
func (t *Timing) Observe(d time.Duration) { t.histogram.Update(int64(d)) }

// WriteText writes quantiles, sum and count in the text form that scrapers
// read, a line each. Quantiles are those of a sample over the whole life.
func (t *Timing) WriteText(w io.Writer) {
	h := t.histogram.Snapshot()
	for i, value := range h.Percentiles(quantiles) {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %.9f\n", t.name, quantiles[i], value/float64(time.Second))
	}
	// The mean is that of the sample: the library keeps no sum over all.
	sum := h.Mean() * float64(h.Count()) / float64(time.Second)
	fmt.Fprintf(w, "%s_sum %.9f\n%s_count %d\n", t.name, sum, t.name, h.Count())
}
