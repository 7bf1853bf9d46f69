package node

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/steer"
)

var _ = ginkgo.Describe("probes of endpoints", func() {
	addr := netip.MustParseAddrPort("127.0.0.1:1")
	var connectable atomic.Bool
	var e *Entry
	ginkgo.BeforeEach(func() {
		connectable.Store(false)
		e = NewEntry(EntryConfig{
			Log: log.New(io.Discard), Now: MonotonicClock(), Dial: DialTCP,
			Probe: func(context.Context, netip.AddrPort, time.Duration) bool { return connectable.Load() },
		})
	})

	ginkgo.It("run concurrently, and are rejected when the queue is full", func() {
		for range maxConcurrentProbes {
			Expect(e.queueProbe(steer.Probe{ID: "a", Addr: addr})).To(BeTrue())
		}
		Expect(e.queueProbe(steer.Probe{ID: "a", Addr: addr})).To(BeFalse())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		connectable.Store(true)
		go func() { _ = e.probeLoop(ctx, nil) }()
		Eventually(func() int { return len(e.probeQueue) }, settleTimeout).Should(BeZero())
	})

	// steppingClock returns a clock that advances by step and increments reads at each read.
	steppingClock := func(step time.Duration, reads *int) func() time.Time {
		return func() time.Time {
			*reads++
			return time.Unix(5000, 0).Add(time.Duration(*reads) * step)
		}
	}

	ginkgo.It("report a refused connection as missed only after the timeout", func() {
		clockReads := 0
		e.config.Now = steppingClock(5*time.Millisecond, &clockReads)
		e.resolveProbe(context.Background(), nil, steer.Probe{ID: "a", Addr: addr, Timeout: 50 * time.Millisecond})
		Expect(clockReads).To(BeNumerically(">=", 10))
		Expect(e.probeOutcomes.byOutcome[steer.Missed].Load()).To(Equal(uint64(1)))
	})

	ginkgo.It("are inconclusive if this process was paused during the probe", func() {
		clockReads := 0
		e.config.Now = steppingClock(20*time.Millisecond, &clockReads)
		Expect(e.runProbe(context.Background(), steer.Probe{ID: "a", Addr: addr, Timeout: 50 * time.Millisecond})).To(Equal(steer.Inconclusive))
	})

	ginkgo.It("succeed when the connection is accepted, without data", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		Expect(ProbeTCP(context.Background(), addr, settleTimeout)).To(BeTrue())
		Expect(listener.Close()).To(Succeed())
		Expect(ProbeTCP(context.Background(), addr, settleTimeout)).To(BeFalse())
	})
})
