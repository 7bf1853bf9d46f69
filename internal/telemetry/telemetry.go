// Package telemetry sets up what an instance tells about itself: logs of one
// key=value line an event, counters by go-metrics, and a span for each hop.
package telemetry

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"
	metrics "github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"oxbowsaddle/internal/settings"
)

// NewLogger returns a logger of key=value lines.
func NewLogger(w io.Writer, level, instance string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	l := log.NewWithOptions(w, log.Options{
		Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano, Formatter: log.LogfmtFormatter,
	})
	return l.With("instance", instance), nil
}

// Counters is a registry of counters that are found again without a lookup by
// name in the packet path.
type Counters struct {
	registry metrics.Registry
}

// NewCounters returns an empty registry.
func NewCounters() *Counters { return &Counters{metrics.NewRegistry()} }

// Counter returns the counter of a name, made at its first use.
func (c *Counters) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.registry)
}

// Gauge returns the gauge of a name, made at its first use.
func (c *Counters) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, c.registry)
}

// Each calls f for every counter and gauge.
func (c *Counters) Each(f func(name string, value int64)) {
	c.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			f(name, m.Count())
		case metrics.Gauge:
			f(name, m.Value())
		}
	})
}

// Tracer writes a span for each hop of a sampled packet or request. The zero
// Tracer writes nothing.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// NewTracer returns a tracer that writes to the file of the settings, to
// standard output for "-", or nowhere.
func NewTracer(t settings.Trace) (*Tracer, error) {
	var out io.Writer
	var closer io.Closer
	switch t.File {
	case "":
		return &Tracer{}, nil
	case "-":
		out = os.Stdout
	default:
		f, err := os.Create(t.File)
		if err != nil {
			return nil, fmt.Errorf("open trace file: %w", err)
		}
		out, closer = f, f
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, fmt.Errorf("make span exporter: %w", err)
	}
	p := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &Tracer{tracer: p.Tracer("oxbowsaddle"), provider: p, file: closer}, nil
}

// Hop writes the span of one hop. The trace id is the flow's or request's, so
// that the hops of all entries join without a word between them.
func (t *Tracer) Hop(now time.Time, high, low uint64, name string, attributes ...attribute.KeyValue) {
	if t.tracer == nil {
		return
	}
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:8], high)
	binary.BigEndian.PutUint64(id[8:], low)
	parent := trace.NewSpanContext(trace.SpanContextConfig{TraceID: id, SpanID: trace.SpanID(id[:8]), TraceFlags: trace.FlagsSampled, Remote: true})
	_, span := t.tracer.Start(trace.ContextWithRemoteSpanContext(context.Background(), parent), name,
		trace.WithTimestamp(now), trace.WithAttributes(attributes...))
	span.End(trace.WithTimestamp(now))
}

// Close writes what is left.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(ctx)
	if t.file != nil {
		if closeErr := t.file.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}
