package telemetry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the log lines that wait for a slow reader.
	maxQueuedLines = 1024
	// flushTimeout bounds how long a process that ends waits for its reader.
	flushTimeout = 200 * time.Millisecond
)

// LineWriter takes log lines without ever waiting for whoever reads them.
// Lines that find the queue full are left out, and the log says how many.
type LineWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
}

// NewLineWriter returns a writer whose lines Run passes on to out.
func NewLineWriter(out io.Writer) *LineWriter {
	return &LineWriter{out: out, queue: make(chan []byte, maxQueuedLines)}
}

// Write queues one line; it never waits and never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out since the last were written.
func (w *LineWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, then what is still queued, as far
// as the reader takes it within flushMost.
func (w *LineWriter) Run(ctx context.Context) {
	done := make(chan struct{})
	go w.writeLoop(ctx, done)
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// writeLoop writes lines until the context ends, then what is still queued, and
// closes done.
func (w *LineWriter) writeLoop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case line := <-w.queue:
			w.writeBatch(line)
		case <-ctx.Done():
			for len(w.queue) > 0 {
				w.writeBatch(<-w.queue)
			}
			return
		}
	}
}

// writeBatch passes a line on together with what is queued behind it.
func (w *LineWriter) writeBatch(line []byte) {
	for range len(w.queue) {
		line = append(line, <-w.queue...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "level=warn msg=\"log lines left out\" lines=%d\n", n)
	}
	_, _ = w.out.Write(line) // there is nowhere to tell of a log that fails
}
