package telemetry

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTelemetry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "telemetry")
}

// syncBuffer is a text buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (t *syncBuffer) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.b.Write(p)
}

func (t *syncBuffer) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.b.String()
}

// writtenLines returns how many lines of the test were written.
func (t *syncBuffer) writtenLines() uint64 {
	return uint64(strings.Count(t.String(), "line "))
}

// droppedLines returns how many dropped lines the log reports.
func (t *syncBuffer) droppedLines() uint64 {
	sum := uint64(0)
	for _, line := range strings.Split(t.String(), "\n") {
		var n uint64
		if _, err := fmt.Sscanf(line, `level=warn msg="log lines left out" lines=%d`, &n); err == nil {
			sum += n
		}
	}
	return sum
}

var _ = Describe("a LineWriter", func() {
	It("does not block on a reader that stalls, and reports how many lines were dropped", func() {
		reader, out := io.Pipe() // a write blocks until it is read
		w := NewLineWriter(out)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.Run(ctx)
		const total = 3 * maxQueuedLines
		for i := range total {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
		}

		var got syncBuffer
		go func() { _, _ = io.Copy(&got, reader) }()
		Eventually(func() uint64 { return got.writtenLines() + got.droppedLines() + w.Dropped() }).Should(BeEquivalentTo(total))
		// Not dropped are a full queue, the batch taken from the queue before, and the
		// line whose write blocked.
		Expect(got.droppedLines() + w.Dropped()).To(BeNumerically(">=", total-2*maxQueuedLines-1))
		Expect(got.String()).To(HavePrefix("line 0\n"))
	})

	It("writes queued lines before the process ends", func() {
		var got syncBuffer
		w := NewLineWriter(&got)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _ = w.Write([]byte("last\n"))
		w.Run(ctx)
		Expect(got.String()).To(Equal("last\n"))
	})
})
