package node

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/wire"
)

var _ = ginkgo.Describe("suspicions of endpoints", func() {
	ginkgo.It("are forwarded by a control instance to other entries, which probe the endpoint themselves", func() {
		fleet := startFleet(33, 3, 3, ginkgo.GinkgoT().TempDir, log.New(io.Discard))
		ginkgo.DeferCleanup(fleet.stop)
		reporter, other := startFleetEntry(fleet, "e1", DialTCP), startFleetEntry(fleet, "e2", DialTCP)
		reports := &wire.Reports{Whole: true, Endpoints: []*wire.EndpointReport{{Id: "i-1", Service: "a", Address: "127.0.0.1:1", Sequence: 1, Slots: 1}}}
		probes := make(chan steer.Probe, 1)
		other.mu.Lock()
		other.steerer = steer.New(steer.Config{MaxFlowAge: settleTimeout, MaxFlows: 9, StartProbe: func(q steer.Probe) bool {
			probes <- q
			return true
		}})
		other.steerer.Learn(other.config.Now(), "c", reports)
		other.steerer.Decide(other.config.Now(), steer.Packet{
			Src: netip.MustParseAddrPort("127.0.0.3:1"), Dst: netip.MustParseAddrPort("127.0.0.4:1"), Flags: steer.ACK, Tag: steer.Tag("i-1"), Len: 1,
		}) // opens a flow on the endpoint, so that it is probed
		other.mu.Unlock()
		for _, r := range fleet {
			Eventually(r.entries.count, settleTimeout).Should(Equal(2))
		}
		Eventually(func() bool {
			reporter.reportUnanswered("i-1")
			select {
			case q := <-probes:
				return q.ID == "i-1" && q.Why == steer.PeerReported
			default:
				return false
			}
		}, settleTimeout).Should(BeTrue())
	})

	ginkgo.It("do not block on an entry whose queue is full", func() {
		l := newEntryList(MonotonicClock())
		slow := newEntryFeed(nil, nil, &wire.Hello{Id: "slow"})
		l.recordReceipt(slow, &wire.Receipt{Version: 1})
		for range 2 * maxQueuedSuspicions {
			l.broadcast(&wire.Frame{})
		}
		Expect(slow.suspicions).To(HaveLen(maxQueuedSuspicions))
	})

	ginkgo.It("are sent in batches, without repeating an endpoint within suspicionRepeatInterval", func() {
		now := time.Unix(1000, 0)
		b := newSuspicionBatcher(func() time.Time { return now })
		flush := func() *wire.Doubts {
			frame := b.flush()
			if frame == nil {
				return nil
			}
			return frame.GetDoubts()
		}
		for _, id := range []string{"i-2", "i-1", "i-2"} {
			b.add(&wire.Doubt{Id: id})
		}
		b.add(&wire.Doubt{Id: "i-3", Hung: true})
		batch := flush()
		Expect(batch.Unanswered).To(Equal([]string{"i-1", "i-2"}))
		Expect(batch.Hung).To(Equal([]string{"i-3"}))
		b.add(&wire.Doubt{Id: "i-1"})
		Expect(flush()).To(BeNil())
		now = now.Add(suspicionRepeatInterval)
		b.add(&wire.Doubt{Id: "i-1"})
		Expect(flush().Unanswered).To(Equal([]string{"i-1"}))
		for n := range 2 * maxPendingSuspicions {
			b.add(&wire.Doubt{Id: fmt.Sprint(n)})
		}
		Expect(b.unanswered).To(HaveLen(maxPendingSuspicions))
	})

	ginkgo.It("reach the entries linked to other control instances", func() {
		fleet := startFleet(34, 3, 3, ginkgo.GinkgoT().TempDir, log.New(io.Discard))
		ginkgo.DeferCleanup(fleet.stop)
		feed := newEntryFeed(fleet[2].Control, nil, &wire.Hello{Id: "e"})
		fleet[2].entries.recordReceipt(feed, &wire.Receipt{})
		n := 0
		Eventually(func() bool {
			n++ // a new endpoint each time, since repeats are suppressed
			fleet[0].handleSuspicion(nil, &wire.Doubt{Id: fmt.Sprint("i-", n)})
			select {
			case <-feed.suspicions:
				return true
			default:
				return false
			}
		}, settleTimeout).Should(BeTrue())
	})
})
