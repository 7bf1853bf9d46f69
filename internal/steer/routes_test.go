package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
)

var _ = Describe("the routes of a Steerer", func() {
	var s *Steerer
	BeforeEach(func() { s = testSteerer() })

	It("reset flows of a dropped route, and accept them once it is restored", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		s.SetDocument(start, testDocument(2, routeTo(documentsAddr, "documents")))
		e := s.Decide(start, flowPacket(1000, d.Tag, 8, 55, 10))
		Expect(e.Reason).To(Equal(RouteDropped))
		Expect(e.Action).To(Equal(Reset))
		Expect(e.Seq).To(Equal(uint32(55)), "what the client expects next")
		s.SetDocument(start, testDocument(3, routeTo(bookingAddr, "booking")))
		Expect(s.Decide(start, synPacket(1001, 7, 0)).Reason).To(Equal(Placed))
	})

	It("are remembered as dropped for the maximum age of a flow", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		s.SetDocument(start, testDocument(2, routeTo(documentsAddr, "documents")))
		Expect(s.Decide(start.Add(time.Minute-time.Second), flowPacket(1000, d.Tag, 8, 55, 10)).Reason).To(Equal(RouteDropped))
		s.Decide(start.Add(time.Minute), flowPacket(1000, d.Tag, 8, 55, 10))
		Expect(s.dropped).To(BeEmpty())
	})

	It("ignore documents that are not newer", func() {
		Expect(s.SetDocument(start, testDocument(1))).To(BeFalse())
		Expect(s.SetDocument(start, testDocument(0))).To(BeFalse())
		Expect(s.Version()).To(Equal(uint64(1)))
	})

	It("split new flows by weight", func() {
		r := routeTo(bookingAddr, "booking")
		r.Shares = []document.Share{{Service: "booking", Weight: 90}, {Service: "documents", Weight: 10}}
		s.SetDocument(start, testDocument(2, r))
		booking := 0
		for port := range uint16(1000) {
			if s.Decide(start, synPacket(1000+port, 7, 0)).ID != "documents-3" {
				booking++
			}
		}
		Expect(booking).To(BeNumerically("~", 900, 40))
	})
})
