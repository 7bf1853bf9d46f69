package steer

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

var _ = Describe("an explanation", func() {
	var s *Steerer
	BeforeEach(func() {
		s = New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 100})
		s.SetDocument(start, testDocument(4, routeTo(bookingAddr, "booking")))
		s.Learn(start, "c1", reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil)))
	})
	explain := func(now time.Time, port uint16) *wire.Decision {
		p := synPacket(port, 7, 0)
		return s.Explain(now, p.Src, p.Dst)
	}
	verdict := func(d *wire.Decision, id string) string {
		for _, c := range d.Candidates {
			if c.Endpoint == id {
				return c.Verdict
			}
		}
		return ""
	}

	It("describes a tracked flow without changing any state", func() {
		placed := s.Decide(start, synPacket(1000, 7, 0))
		s.Decide(start, flowPacket(1000, placed.Tag, 8, 1, 10))
		before := s.Counts(start)
		d := explain(start.Add(time.Second), 1000)
		Expect(s.Counts(start)).To(Equal(before))
		Expect(d.Endpoint).To(Equal(placed.ID))
		Expect(d.Reason).To(Equal(Steered.String()))
		Expect(d.Recomputed).To(BeFalse())
		Expect(d.Index).To(Equal(uint64(4)))
		Expect(d.Hops).To(ConsistOf("placed or moved 1s ago, last packet 1s ago, a request waits for its answer"))
		Expect(verdict(d, placed.ID)).To(Equal("chosen; load 0.51: 1 flows and 1 waiting requests on 2 slots"))
		Expect(d.Candidates).To(HaveLen(2), "the endpoints of the route's service")
	})

	It("computes the decision for an untracked flow", func() {
		d := explain(start, 1000)
		Expect(d.Recomputed).To(BeTrue())
		Expect(d.Reason).To(Equal(Placed.String()))
		Expect(d.Parameter).To(ContainSubstring("booking 1"))
		Expect(s.Counts(start).Flows).To(BeZero())
		Expect(s.Decide(start, synPacket(1000, 0, 0)).ID).To(Equal(d.Endpoint))
	})

	It("says why each endpoint is passed over", func() {
		s.Learn(start, "c1", reports(
			report("booking", 1, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true }),
			report("booking", 2, func(m *wire.EndpointReport) { m.Silent = true }),
			report("booking", 4, func(m *wire.EndpointReport) { m.Domain, m.WarmNanos = "almadies", int64(time.Second) }),
			report("booking", 5, func(m *wire.EndpointReport) { m.Gone = true }),
		))
		d := explain(start, 1000)
		Expect(d.Endpoint).To(Equal("booking-4"))
		Expect(verdict(d, "booking-1")).To(Equal("is leaving and takes no new flow"))
		Expect(verdict(d, "booking-2")).To(HaveSuffix("avoided: no control instance receives its heartbeats"))
		Expect(verdict(d, "booking-4")).To(HaveSuffix(", in failure domain almadies, still warming up"))
		Expect(verdict(d, "booking-5")).To(HavePrefix("has ended"))
		Expect(s.Drains(start.Add(time.Second))).To(ConsistOf(&wire.DrainStatus{Service: "booking", Endpoint: "booking-1", SinceNanos: int64(time.Second)}))
	})

	It("says what is missing", func() {
		d := s.Explain(start, synPacket(1000, 7, 0).Src, netip.MustParseAddrPort("198.18.0.9:1"))
		Expect(d.Reason).To(Equal(NoRoute.String()))
		Expect(d.Action).To(Equal(Reset.String()))
		Expect(d.NextStep).NotTo(BeEmpty())
		s.SetDocument(start, testDocument(5))
		Expect(explain(start, 1000).Reason).To(Equal(RouteDropped.String()))
		Expect(New(Config{}).Explain(start, synPacket(1000, 7, 0).Src, bookingAddr).Reason).To(Equal(NoTable.String()))
	})
})
