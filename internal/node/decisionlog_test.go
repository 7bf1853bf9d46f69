package node

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/steer"
)

var _ = ginkgo.Describe("the decisions that an entry keeps", func() {
	at := time.Unix(5000, 0)
	dst := netip.MustParseAddrPort("198.18.0.1:443")
	packet := func(port uint16, copies int) steer.Packet {
		return steer.Packet{Src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Dst: dst, Copy: copies}
	}
	placed := steer.Decision{Action: steer.Forward, Reason: steer.Placed, ID: "i-1", Version: 7}

	ginkgo.It("are those on one flow, the oldest first, with what an operator can do", func() {
		k := newDecisionLog()
		k.add(at, packet(1, 0), placed)
		k.add(at, packet(2, 0), placed)
		k.add(at.Add(time.Second), packet(1, 2), steer.Decision{Action: steer.Forward, Reason: steer.Replaced, ID: "i-2", Version: 8})
		told := k.forFlow(packet(1, 0).Src, dst)
		Expect(told).To(HaveLen(2))
		Expect(told[0].Endpoint).To(Equal("i-1"))
		Expect(told[0].UnixNano).To(Equal(at.UnixNano()))
		Expect(told[0].Subject).To(Equal("100.64.0.7:1 198.18.0.1:443"))
		Expect(told[1].Reason).To(Equal("replaced"))
		Expect(told[1].Index).To(Equal(uint64(8)))
		Expect(told[1].Hops).To(HaveLen(1))
		Expect(told[1].NextStep).To(ContainSubstring("did not answer"))
	})

	ginkgo.It("leave out packets that went where their flow was", func() {
		k := newDecisionLog()
		k.add(at, packet(1, 0), steer.Decision{Action: steer.Forward, Reason: steer.Steered})
		Expect(k.forFlow(packet(1, 0).Src, dst)).To(BeEmpty())
	})

	ginkgo.It("tell what was refused or dropped, and let the oldest go", func() {
		k := newDecisionLog()
		k.add(at, packet(1, 0), steer.Decision{Action: steer.Reset, Reason: steer.NoRoute})
		k.add(at, packet(2, 0), placed)
		Expect(k.refused()).To(ConsistOf(HaveField("Reason", "no_route")))
		for port := range uint16(maxDecisions) {
			k.add(at, packet(port, 0), placed)
		}
		Expect(k.refused()).To(BeEmpty())
	})

	ginkgo.It("cost no allocation", func() {
		k := newDecisionLog()
		Expect(testing.AllocsPerRun(100, func() { k.add(at, packet(1, 0), placed) })).To(BeZero())
	})
})
