package node

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
)

var _ = ginkgo.Describe("the endpoint list of a control instance with peers", func() {
	var list *endpointList
	others := []string{"b", "c"}
	ginkgo.BeforeEach(func() {
		list = newEndpointList(ControlConfig{HeartbeatInterval: time.Second, Log: log.New(io.Discard), Now: MonotonicClock()})
	})
	change := func() (number uint64) {
		list.update(func(now time.Time, r *registry.Registry) {
			number, _ = r.Heartbeat(now, registry.Endpoint{ID: "i-1", Sequence: 1, Leaving: true})
		})
		return number
	}
	// await returns a channel that receives the result of the wait.
	await := func(ctx context.Context, number uint64, enough int) <-chan error {
		done := make(chan error, 1)
		go func() { done <- list.awaitAcknowledgements(ctx, number, others, enough) }()
		return done
	}

	ginkgo.It("waits until enough peers have acknowledged a revision, not an earlier one", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		number := change()
		list.acknowledge("b", number-1)
		done := await(ctx, number, 1)
		Consistently(done, "50ms").ShouldNot(Receive())
		list.acknowledge("b", number)
		Eventually(done).Should(Receive(BeNil()))
	})

	ginkgo.It("does not count a peer whose link has ended, nor one at another address", func() {
		number := change()
		list.acknowledge("b", number)
		list.acknowledge("b", 0)
		list.acknowledge("other", number)
		ctx, cancel := context.WithCancel(context.Background())
		done := await(ctx, number, 1)
		Consistently(done, "50ms").ShouldNot(Receive())
		cancel()
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(fault.KindOf(err)).To(Equal(fault.NoQuorum))
	})

	ginkgo.It("does not wait if this instance alone is a majority", func() {
		Expect(list.awaitAcknowledgements(context.Background(), change(), others, 0)).To(Succeed())
	})

	ginkgo.It("notifies subscribers only of changes that matter to entries", func() {
		changed, cancel := list.changes.subscribe()
		defer cancel()
		change()
		Expect(changed).To(Receive())
		list.update(func(now time.Time, r *registry.Registry) {
			r.Heartbeat(now, registry.Endpoint{ID: "i-1", Sequence: 2, Leaving: true})
		})
		Expect(changed).NotTo(Receive())
	})
})

var _ = ginkgo.Describe("the endpoint list", func() {
	ginkgo.It("marks no endpoints as silent because of a pause of the process, only those still silent afterwards", func() {
		const beat = time.Second
		now := time.Unix(1000, 0)
		l := newEndpointList(ControlConfig{HeartbeatInterval: beat, Log: log.New(io.Discard), Now: func() time.Time { return now }})
		for n := range 100 {
			l.heartbeat(benchEndpoint(n))
		}
		silent := func() (n int) {
			for _, m := range l.changesAfter(0).Endpoints {
				if m.Silent {
					n++
				}
			}
			return n
		}
		// advance advances the clock by span with sweeps at the usual interval.
		advance := func(span time.Duration) {
			for end := now.Add(span); now.Before(end); {
				now = now.Add(frameInterval)
				l.sweep(frameInterval)
			}
		}
		advance(beat)
		now = now.Add(3 * time.Second)
		l.sweep(3 * time.Second)
		Expect(silent()).To(BeZero())
		advance(beat)
		Expect(silent()).To(BeZero(), "heartbeats delayed by the pause may still arrive")
		advance(2 * beat)
		Expect(silent()).To(Equal(100))
	})

	ginkgo.It("limits the log lines about endpoints and counts the dropped ones", func() {
		var out bytes.Buffer
		l := newEndpointList(ControlConfig{HeartbeatInterval: time.Second, Log: log.New(&out), Now: MonotonicClock()})
		for n := range 5 * endpointLogBurst {
			l.heartbeat(benchEndpoint(n))
		}
		Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(BeNumerically("<", 2*endpointLogBurst))
		Expect(out.String()).To(ContainSubstring("left_out"))
	})
})
