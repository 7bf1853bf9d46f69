package node

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// evacuate retries an order until it is acknowledged.
func (f controlFleet) evacuate(o evacuation.Order) {
	f.retryUntilAccepted(func(ctx context.Context, r *runningControl) (string, error) { return r.Evacuate(ctx, o) })
}

var _ = ginkgo.Describe("an evacuation", func() {
	ginkgo.Context("in a fleet", func() {
		var fleet controlFleet
		var entry *Entry
		evacuated := func() []string { return entry.steerer.Evacuations().Domains() }
		inForce := func() []string {
			entry.mu.Lock()
			defer entry.mu.Unlock()
			return evacuated()
		}
		ginkgo.BeforeEach(func() {
			fleet = startFleet(41, 3, 3, ginkgo.GinkgoT().TempDir, log.New(io.Discard))
			ginkgo.DeferCleanup(func() { fleet.stop() })
			fleet.put(1)
			entry = startFleetEntry(fleet, "e1", DialTCP)
		})

		ginkgo.It("applies at entries, including new ones, until it is undone", func() {
			fleet.evacuate(evacuation.Order{Domain: "d1"})
			Eventually(inForce, settleTimeout).Should(Equal([]string{"d1"}))
			newEntry := startFleetEntry(fleet, "e2", DialTCP)
			Eventually(newEntry.Ready, settleTimeout).Should(BeTrue())
			Expect(newEntry.steerer.Evacuations().Domains()).To(Equal([]string{"d1"}), "the entry is ready only with the evacuations")
			fleet.evacuate(evacuation.Order{Domain: "d1", Undo: true})
			Eventually(inForce, settleTimeout).Should(BeEmpty())
		})

		ginkgo.It("survives a restart of every control instance, and the loss of a disk", func() {
			fleet.evacuate(evacuation.Order{Domain: "d2"})
			folder := ginkgo.GinkgoT().TempDir()
			for _, r := range fleet {
				r.stop()
			}
			fleet[0].replaceDisk(folder)
			for _, r := range fleet {
				r.start()
			}
			fleet.put(2)
			leader := fleet.leader()
			Eventually(func() []string { return leader.Status().Evacuations.Domains() }, settleTimeout).Should(Equal([]string{"d2"}))
			newEntry := startFleetEntry(fleet, "e3", DialTCP)
			Eventually(newEntry.Ready, settleTimeout).Should(BeTrue())
			Expect(newEntry.appliedReceipt().Evacuations).NotTo(BeZero())
		})

		ginkgo.It("is rejected for an unknown failure domain", func() {
			for _, r := range fleet {
				r.Control.config.Domains = []string{"d0", "d1", "d2"}
			}
			_, err := fleet[0].Evacuate(context.Background(), evacuation.Order{Domain: "d9"})
			Expect(fault.KindOf(err)).To(Equal(fault.NotFound))
			fleet.evacuate(evacuation.Order{Domain: "d0"})
		})

		// Guards against an order that callers repeat without end, since it cannot be logged.
		ginkgo.It("is rejected for a name that is not UTF-8 while the failure domains are unknown", func() {
			Eventually(fleet.leader, settleTimeout).ShouldNot(BeNil())
			_, err := fleet.leader().Evacuate(context.Background(), evacuation.Order{Domain: "\xe9"})
			Expect(fault.KindOf(err)).To(Equal(fault.NotFound))
		})

		ginkgo.It("is not proposed if the caller disconnects before the loop gets to it", func() {
			Eventually(fleet.leader, settleTimeout).ShouldNot(BeNil())
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			proposed := make(chan bool, 20)
			for range 20 { // whether the loop accepts the call before it is canceled is random
				_, err := fleet.leader().propose(ctx, func(time.Time, *directory.Directory) (uint64, bool, error) {
					proposed <- true
					return 0, true, nil
				})
				Expect(fault.KindOf(err)).To(Equal(fault.NoQuorum))
			}
			Expect(fleet.leader().call(context.Background(), func(time.Time, *directory.Directory) {})).To(Succeed(), "runs after all accepted calls")
			Expect(proposed).To(BeEmpty())
		})

		ginkgo.It("is redirected to the leader by the other instances", func() {
			Eventually(fleet.leader, settleTimeout).ShouldNot(BeNil())
			api := &controlAPI{control: fleet.follower().Control}
			r, err := api.Evacuate(context.Background(), &wire.EvacuateRequest{Domain: "d0"})
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Kind).To(Equal(fault.NotCurrent.Name()))
			Expect(r.Elsewhere).To(Equal(fleet.leader().config.PeerAddr.String()))
			Eventually(entry.primaryAddress, settleTimeout).ShouldNot(BeEmpty())
		})
	})

	ginkgo.Context("that may be outdated", func() {
		var now time.Time
		var control *Control
		ginkgo.BeforeEach(func() {
			now = time.Unix(5000, 0)
			control = NewControl(ControlConfig{Log: log.New(io.Discard), Now: func() time.Time { return now }, HeartbeatInterval: time.Second})
		})

		ginkgo.It("is rejected for a while after a stall", func() {
			control.detectStall(now)
			now = now.Add(stallThreshold)
			control.detectStall(now)
			Expect(control.resumedAt).To(BeZero(), "a slow iteration is not a stall")
			now = now.Add(stallThreshold + time.Millisecond)
			control.detectStall(now)
			Expect(control.resumedAt).To(Equal(now))
		})
	})

	ginkgo.Context("on the link to an entry", func() {
		var entry *Entry
		ginkgo.BeforeEach(func() {
			entry = NewEntry(EntryConfig{Name: "e1", Log: log.New(io.Discard), Now: MonotonicClock()})
		})
		frame := func(version, revision uint64, domains ...string) *wire.DocumentFrame {
			doc, faults := document.New(document.Config{Version: version})
			Expect(faults).To(BeEmpty())
			f := doc.Frame(nil, true)
			f.Evacuations = &wire.Evacuations{Revision: revision, Domains: domains}
			return f
		}

		ginkgo.It("is applied before the document in the same frame", func() {
			entry.handleDocument("c1", frame(7, 4, "d0"))
			Expect(entry.appliedReceipt()).To(HaveField("Evacuations", uint64(4)))
			Expect(entry.steerer.Evacuations().Has("d0")).To(BeTrue())
		})

		ginkgo.It("is not undone by a newer document from an instance with older evacuations", func() {
			entry.handleOffer("c1", &wire.DocumentOffer{Version: 7, Evacuations: &wire.Evacuations{Revision: 9, Domains: []string{"d0"}}})
			entry.handleDocument("c2", frame(8, 3))
			Expect(entry.appliedReceipt()).To(HaveField("Version", uint64(8)))
			Expect(entry.steerer.Evacuations().Has("d0")).To(BeTrue())
		})

		ginkgo.It("is part of the offer and of each document frame", func() {
			doc, _ := document.New(document.Config{Version: 7})
			set := (*evacuation.Set)(nil).With(4, evacuation.Order{Domain: "d0"})
			p := (&publishedState{}).with(doc, nil, true)
			next := p.with(doc, set, true)
			Expect(next).NotTo(BeIdenticalTo(p))
			Expect(next.with(doc, nil, true)).To(BeIdenticalTo(next), "older evacuations change nothing")
			Expect(next.offer().GetOffer().Evacuations.Domains).To(Equal([]string{"d0"}))
			frame, err := decompressFrame(next.frame(0))
			Expect(err).NotTo(HaveOccurred())
			Expect(frame.GetDocument().Evacuations.Revision).To(Equal(uint64(4)))
		})
	})
})
