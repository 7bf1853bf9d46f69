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
	// maxQueuedLines bounds the log lines that wait to be written.
	maxQueuedLines = 1024
	// flushTimeout bounds how long a process that ends waits for queued lines.
	flushTimeout = 200 * time.Millisecond
)

// LineWriter writes log lines asynchronously, so that a reader that stalls does not
// block the process. Lines are dropped while the queue is full, and a log line reports
// how many. It is safe for concurrent use.
type LineWriter struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
}

// NewLineWriter returns a writer of lines to out, where Run writes them.
func NewLineWriter(out io.Writer) *LineWriter {
	return &LineWriter{out: out, queue: make(chan []byte, maxQueuedLines)}
}

// Write queues one line. It never blocks or fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped and are not reported in the log yet.
func (w *LineWriter) Dropped() uint64 { return w.dropped.Load() }

// Run writes lines until the context ends, and then those that are still queued, for at
// most flushTimeout.
func (w *LineWriter) Run(ctx context.Context) {
	done := make(chan struct{})
	go w.writeLoop(ctx, done)
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}

// writeLoop writes lines until the context ends, and then those that are still queued.
// It closes done when it returns.
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

// writeBatch writes a line together with those queued behind it.
func (w *LineWriter) writeBatch(line []byte) {
	for range len(w.queue) {
		line = append(line, <-w.queue...)
	}
	if n := w.dropped.Swap(0); n > 0 {
		line = fmt.Appendf(line, "level=warn msg=\"log lines left out\" lines=%d\n", n)
	}
	_, _ = w.out.Write(line) // an error of the log can't be logged
}
