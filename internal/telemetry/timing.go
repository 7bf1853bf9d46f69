package telemetry

import (
	"fmt"
	"io"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// sampleSize is the number of durations from which quantiles are estimated. A larger
// sample takes more memory and gives more accurate quantiles.
const sampleSize = 512

// quantiles lists the exported quantiles.
var quantiles = []float64{0.5, 0.95, 0.99}

// Timing is a metric of durations. It is safe for concurrent use.
type Timing struct {
	name      string
	histogram metrics.Histogram // nanoseconds
}

// NewTiming returns a Timing without durations. Its name must end in "_seconds".
func NewTiming(name string) *Timing {
	return &Timing{name, metrics.NewHistogram(metrics.NewUniformSample(sampleSize))}
}

// Observe adds a duration.
func (t *Timing) Observe(d time.Duration) { t.histogram.Update(int64(d)) }

// WriteText writes quantiles, sum and count in the Prometheus text format. Quantiles are
// estimated from a sample of all durations since the start.
func (t *Timing) WriteText(w io.Writer) {
	h := t.histogram.Snapshot()
	for i, value := range h.Percentiles(quantiles) {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %.9f\n", t.name, quantiles[i], value/float64(time.Second))
	}
	// The sum is estimated from the mean of the sample, since the library keeps no total.
	sum := h.Mean() * float64(h.Count()) / float64(time.Second)
	fmt.Fprintf(w, "%s_sum %.9f\n%s_count %d\n", t.name, sum, t.name, h.Count())
}
