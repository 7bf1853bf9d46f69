package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/steer"
)

var _ = ginkgo.Describe("the decision log of an entry", func() {
	at := time.Unix(5000, 0)
	dst := netip.MustParseAddrPort("198.18.0.1:443")
	packet := func(port uint16, retransmissions int) steer.Packet {
		return steer.Packet{Src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Dst: dst, Retransmission: retransmissions}
	}
	placed := steer.Decision{Action: steer.Forward, Reason: steer.Placed, ID: "i-1", Version: 7}

	ginkgo.It("returns the decisions on one flow, oldest first, with the next step for the operator", func() {
		l := newDecisionLog()
		l.add(at, packet(1, 0), placed)
		l.add(at, packet(2, 0), placed)
		l.add(at.Add(time.Second), packet(1, 2), steer.Decision{Action: steer.Forward, Reason: steer.Replaced, ID: "i-2", Version: 8})
		found := l.forFlow(packet(1, 0).Src, dst)
		Expect(found).To(HaveLen(2))
		Expect(found[0].Endpoint).To(Equal("i-1"))
		Expect(found[0].UnixNano).To(Equal(at.UnixNano()))
		Expect(found[0].Subject).To(Equal("100.64.0.7:1 198.18.0.1:443"))
		Expect(found[1].Reason).To(Equal("replaced"))
		Expect(found[1].Index).To(Equal(uint64(8)))
		Expect(found[1].Hops).To(HaveLen(1))
		Expect(found[1].NextStep).To(ContainSubstring("did not answer"))
	})

	ginkgo.It("skips packets of established flows", func() {
		l := newDecisionLog()
		l.add(at, packet(1, 0), steer.Decision{Action: steer.Forward, Reason: steer.Steered})
		Expect(l.forFlow(packet(1, 0).Src, dst)).To(BeEmpty())
	})

	ginkgo.It("returns refused packets, and discards the oldest records when full", func() {
		l := newDecisionLog()
		l.add(at, packet(1, 0), steer.Decision{Action: steer.Reset, Reason: steer.NoRoute})
		l.add(at, packet(2, 0), placed)
		Expect(l.refused()).To(ConsistOf(HaveField("Reason", "no_route")))
		for port := range uint16(maxDecisions) {
			l.add(at, packet(port, 0), placed)
		}
		Expect(l.refused()).To(BeEmpty())
	})

	ginkgo.It("does not allocate when adding a decision", func() {
		l := newDecisionLog()
		Expect(testing.AllocsPerRun(100, func() { l.add(at, packet(1, 0), placed) })).To(BeZero())
	})
})
