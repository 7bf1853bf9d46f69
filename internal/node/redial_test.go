package node

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// silentHost is a host that answers no attempt that began before the n-th, and
// counts those that were made and how many connections are open.
type silentHost struct {
	mu         sync.Mutex
	n          int
	made, open int
}

// countedConn is a connection of a silentHost.
type countedConn struct {
	net.Conn
	host *silentHost
}

func (c countedConn) Close() error {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	c.host.open--
	return nil
}

func (h *silentHost) dial(ctx context.Context, _ string, timeout time.Duration) (net.Conn, error) {
	h.mu.Lock()
	h.made++
	answered := h.made >= h.n
	h.mu.Unlock()
	if !answered {
		select {
		case <-ctx.Done():
		case <-time.After(timeout):
		}
		return nil, context.DeadlineExceeded
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open++
	return countedConn{host: h}, nil
}

func (h *silentHost) counts() (made, open int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.made, h.open
}

var _ = ginkgo.Describe("attempts at a control instance", func() {
	ginkgo.It("overlap while nobody is linked: one that began before the host was up holds nothing up", func() {
		host := &silentHost{n: 3}
		conn, err := (&redial{}).dial(context.Background(), host.dial, "there", true)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn).NotTo(BeNil())
		made, open := host.counts()
		Expect(made).To(Equal(3))
		Expect(open).To(Equal(1))
	})

	ginkgo.It("end within dialMost where nobody answers, and leave nothing open", func() {
		host := &silentHost{n: 1 << 30}
		_, err := (&redial{}).dial(context.Background(), host.dial, "there", true)
		Expect(err).To(HaveOccurred())
		Expect(host.counts()).To(BeNumerically(">", 2))
	})

	ginkgo.It("end at once where the host is up and refuses", func() {
		refused := errors.New("refused")
		made := 0
		_, err := (&redial{}).dial(context.Background(), func(context.Context, string, time.Duration) (net.Conn, error) {
			made++
			return nil, refused
		}, "there", true)
		Expect(err).To(MatchError(refused))
		Expect(made).To(Equal(1))
	})

	ginkgo.It("close what another one has overtaken", func() {
		closed := 0
		host := &silentHost{open: 2}
		closeLate(3, func() net.Conn {
			closed++
			if closed == 2 {
				return nil // this one failed
			}
			return countedConn{host: host}
		})
		_, open := host.counts()
		Expect(open).To(BeZero())
	})

	ginkgo.It("are made one by one, each for longer, while others are linked", func() {
		var timeouts []time.Duration
		pace := &redial{}
		dial := func(_ context.Context, _ string, timeout time.Duration) (net.Conn, error) {
			timeouts = append(timeouts, timeout)
			return nil, context.DeadlineExceeded
		}
		for range 6 {
			_, _ = pace.dial(context.Background(), dial, "there", false)
		}
		pace.reached()
		_, _ = pace.dial(context.Background(), dial, "there", false)
		Expect(timeouts).To(Equal([]time.Duration{dialEvery, 2 * dialEvery, 4 * dialEvery, 8 * dialEvery, dialMost, dialMost, dialEvery}))
	})

	ginkgo.It("pause longer after each failure while others are linked, and no longer than a bound", func() {
		var r redial
		Expect(r.rest(true)).To(Equal(redialAfter))
		Expect(r.rest(true)).To(Equal(redialAfter), "nothing is told meanwhile")
		last := time.Duration(0)
		for range 3 {
			pause := r.rest(false)
			Expect(pause).To(BeNumerically(">", last))
			last = pause
		}
		for range 9 {
			last = r.rest(false)
		}
		Expect(last).To(Equal(redialMost))
		r.reached()
		Expect(r.rest(false)).To(Equal(redialAfter))
	})
})
