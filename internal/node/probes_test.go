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

var _ = ginkgo.Describe("questions to endpoints", func() {
	at := netip.MustParseAddrPort("127.0.0.1:1")
	var reached atomic.Bool
	var e *Entry
	ginkgo.BeforeEach(func() {
		reached.Store(false)
		e = NewEntry(EntryConfig{
			Log: log.New(io.Discard), Now: SteadyClock(), Dial: DialTCP,
			Knock: func(context.Context, netip.AddrPort, time.Duration) bool { return reached.Load() },
		})
	})

	ginkgo.It("are asked beside each other, and leave a full queue alone", func() {
		for range maxConcurrentProbes {
			Expect(e.queueProbe(steer.Question{ID: "a", Addr: at})).To(BeTrue())
		}
		Expect(e.queueProbe(steer.Question{ID: "a", Addr: at})).To(BeFalse())
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		reached.Store(true)
		go func() { _ = e.probeLoop(ctx, nil) }()
		Eventually(func() int { return len(e.probeQueue) }, patience).Should(BeZero())
	})

	// clock returns a clock that moves on by a step at each look.
	clock := func(step time.Duration, looks *int) func() time.Time {
		return func() time.Time {
			*looks++
			return time.Unix(5000, 0).Add(time.Duration(*looks) * step)
		}
	}

	ginkgo.It("take their time where a connection is refused at once, so that others can answer meanwhile", func() {
		looks := 0
		e.config.Now = clock(5*time.Millisecond, &looks)
		e.resolveProbe(context.Background(), nil, steer.Question{ID: "a", Addr: at, Within: 50 * time.Millisecond})
		Expect(looks).To(BeNumerically(">=", 10))
		Expect(e.probeOutcomes.byOutcome[steer.Missed].Load()).To(Equal(uint64(1)))
	})

	ginkgo.It("say nothing where this process stood still meanwhile", func() {
		looks := 0
		e.config.Now = clock(20*time.Millisecond, &looks)
		Expect(e.runProbe(context.Background(), steer.Question{ID: "a", Addr: at, Within: 50 * time.Millisecond})).To(Equal(steer.Unsure))
	})

	ginkgo.It("are answered by whoever accepts connections, without a byte", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		addr := listener.Addr().(*net.TCPAddr).AddrPort()
		Expect(KnockTCP(context.Background(), addr, patience)).To(BeTrue())
		Expect(listener.Close()).To(Succeed())
		Expect(KnockTCP(context.Background(), addr, patience)).To(BeFalse())
	})
})
