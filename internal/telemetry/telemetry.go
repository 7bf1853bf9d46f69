// Package telemetry provides the logs, metrics and traces of an instance: logfmt lines,
// counters and gauges of go-metrics, and OpenTelemetry spans.
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

// NewLogger returns a logger that writes logfmt lines with the instance's name.
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

// Counters is a registry of counters and gauges. It is safe for concurrent use.
type Counters struct {
	registry metrics.Registry
}

// NewCounters returns an empty registry.
func NewCounters() *Counters { return &Counters{metrics.NewRegistry()} }

// Counter returns the counter with a name, creating it on first use. The packet path
// keeps the result, to avoid lookups by name.
func (c *Counters) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, c.registry)
}

// Gauge returns the gauge with a name, creating it on first use.
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

// Tracer writes a span for each hop of a sampled flow or request. The zero value
// writes nothing.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     io.Closer
}

// NewTracer returns a tracer that writes to the configured file.
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
		return nil, fmt.Errorf("create span exporter: %w", err)
	}
	p := sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))
	return &Tracer{tracer: p.Tracer("oxbowsaddle"), provider: p, file: closer}, nil
}

// RecordHop writes the span of one hop. Its trace ID, high and low, is the ID of the flow
// or request, so that the spans of all entries join one trace without propagation
// between them.
func (t *Tracer) RecordHop(now time.Time, high, low uint64, name string, attributes ...attribute.KeyValue) {
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

// Close writes buffered spans and closes the file.
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
