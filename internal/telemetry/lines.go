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
	// linesQueued bounds the log lines that wait for a slow reader.
	linesQueued = 1024
	// flushMost bounds how long a process that ends waits for its reader.
	flushMost = 200 * time.Millisecond
)

// LineWriter takes log lines without ever waiting for whoever reads them.
// Lines that find the queue full are left out, and the log says how many.
type LineWriter struct {
	out     io.Writer
	lines   chan []byte
	leftOut atomic.Uint64
}

// NewLineWriter returns a writer whose lines Run passes on to out.
func NewLineWriter(out io.Writer) *LineWriter {
	return &LineWriter{out: out, lines: make(chan []byte, linesQueued)}
}

// Write queues one line; it never waits and never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.leftOut.Add(1)
	}
	return len(line), nil
}

// LeftOut returns how many lines were left out since the last were written.
func (w *LineWriter) LeftOut() uint64 { return w.leftOut.Load() }

// Run writes lines until the context ends, then what is still queued, as far
// as the reader takes it within flushMost.
func (w *LineWriter) Run(ctx context.Context) {
	done := make(chan struct{})
	go w.loop(ctx, done)
	<-ctx.Done()
	select {
	case <-done:
	case <-time.After(flushMost):
	}
}

// loop writes lines until the context ends, then what is still queued, and
// closes done.
func (w *LineWriter) loop(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			for len(w.lines) > 0 {
				w.write(<-w.lines)
			}
			return
		}
	}
}

// write passes a line on together with what is queued behind it.
func (w *LineWriter) write(line []byte) {
	for range len(w.lines) {
		line = append(line, <-w.lines...)
	}
	if n := w.leftOut.Swap(0); n > 0 {
		line = fmt.Appendf(line, "level=warn msg=\"log lines left out\" lines=%d\n", n)
	}
	_, _ = w.out.Write(line) // there is nowhere to tell of a log that fails
}
