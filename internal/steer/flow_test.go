package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

var _ = Describe("the flow table", func() {
	var s *Steerer
	BeforeEach(func() { s = testSteerer() })

	It("moves a pending request when the flow turns out to be on another endpoint", func() {
		s.Learn(start, "c1", reports(report("booking", 2, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true })))
		Expect(s.Decide(start, synPacket(1000, 7, 0)).ID).To(Equal("booking-1"))
		tag := Tag("booking-5") // known to another entry, not yet to this one
		Expect(s.Decide(start, flowPacket(1000, tag, 8, 1, 10)).Reason).To(Equal(UnknownTag))
		s.Learn(start, "c1", reports(report("booking", 5, nil)))
		Expect(s.Decide(start, flowPacket(1000, tag, 8, 1, 10)).Reason).To(Equal(Steered))
		Expect(s.byID["booking-1"].pendingRequests).To(BeZero())
		Expect(s.byID["booking-5"].pendingRequests).To(Equal(1))
		s.Decide(start, flowPacket(1000, tag, 18, 99, 0))
		Expect(s.byID["booking-5"].pendingRequests).To(BeZero())
	})

	It("is bounded, and drops flows that ended or idled out", func() {
		for port := range uint16(150) {
			s.Decide(start, synPacket(1000+port, 7, 0))
		}
		Expect(s.Counts(start).Flows).To(Equal(100))
		s.Decide(start.Add(defaultIdleTimeout+time.Second), synPacket(9000, 7, 0))
		Expect(s.Counts(start).Flows).To(Equal(1))
		p := flowPacket(9000, Tag("booking-1"), 8, 1, 0)
		p.Flags |= FIN
		s.Decide(start.Add(defaultIdleTimeout+time.Second), p)
		Expect(s.Counts(start).Flows).To(BeZero())
		for _, b := range s.byID {
			Expect(b.flows).To(BeZero())
			Expect(b.pendingRequests).To(BeZero())
		}
	})
})
