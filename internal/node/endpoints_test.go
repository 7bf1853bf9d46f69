package node

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
)

var _ = ginkgo.Describe("the wait until enough control instances know", func() {
	var list *endpointList
	others := []string{"b", "c"}
	ginkgo.BeforeEach(func() {
		list = newEndpointList(ControlConfig{Beat: time.Second, Log: log.New(io.Discard), Now: SteadyClock()})
	})
	change := func() (number uint64) {
		list.update(func(now time.Time, r *registry.Registry) {
			number, _ = r.Hear(now, registry.Endpoint{ID: "i-1", Sequence: 1, Leaving: true})
		})
		return number
	}
	// await returns the outcome once the wait ends.
	await := func(ctx context.Context, number uint64, enough int) <-chan error {
		done := make(chan error, 1)
		go func() { done <- list.await(ctx, number, others, enough) }()
		return done
	}

	ginkgo.It("ends when they have confirmed that change, not an earlier one", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		number := change()
		list.confirm("b", number-1)
		done := await(ctx, number, 1)
		Consistently(done, "50ms").ShouldNot(Receive())
		list.confirm("b", number)
		Eventually(done).Should(Receive(BeNil()))
	})

	ginkgo.It("does not count one whose link has ended, nor one that is not asked", func() {
		number := change()
		list.confirm("b", number)
		list.confirm("b", 0)
		list.confirm("stranger", number)
		ctx, cancel := context.WithCancel(context.Background())
		done := await(ctx, number, 1)
		Consistently(done, "50ms").ShouldNot(Receive())
		cancel()
		var err error
		Eventually(done).Should(Receive(&err))
		Expect(fault.KindOf(err)).To(Equal(fault.NoQuorum))
	})

	ginkgo.It("is none where this instance alone is a majority", func() {
		Expect(list.await(context.Background(), change(), others, 0)).To(Succeed())
	})

	ginkgo.It("wakes those who tell entries only for what they must know", func() {
		changed, cancel := list.changes.subscribe()
		defer cancel()
		change()
		Expect(changed).To(Receive())
		list.update(func(now time.Time, r *registry.Registry) {
			r.Hear(now, registry.Endpoint{ID: "i-1", Sequence: 2, Leaving: true})
		})
		Expect(changed).NotTo(Receive())
	})
})
