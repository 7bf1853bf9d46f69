package steer

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/wire"
)

var _ = Describe("cold endpoints of a service with a cold rate limit", func() {
	const coldFor = 2 * time.Second
	setColdRate := func(s *Steerer, version uint64, rate float64) {
		d, faults := document.New(document.Config{
			Version: version, Routes: []document.Route{routeTo(bookingAddr, "booking")},
			Services: []document.Service{{Name: "booking", ColdRate: rate}},
		})
		Expect(faults).To(BeEmpty())
		s.SetDocument(start, d)
	}
	// coldReport returns the report of an endpoint that has just started in a failure domain.
	coldReport := func(n int, domain string) *wire.EndpointReport {
		m := fleetReport(n, domain)
		m.WarmNanos = int64(coldFor)
		return m
	}
	fleet := func(rate float64) *Steerer {
		s := fleetSteerer(threeDomains(40))
		setColdRate(s, 2, rate)
		for n := 200; n < 240; n++ {
			s.Learn(start, "c1", reports(coldReport(n, "plateau")))
		}
		return s
	}

	It("get no new flow from any entry until they are warm, under three times the usual load", func() {
		const entries, flows = 30, 50 // flows at each entry
		placed := map[string]int{}
		for range entries {
			s := fleet(4)
			for n := range flows {
				at := start.Add(time.Duration(rand.New(rand.NewPCG(uint64(n), 1)).Int64N(int64(coldFor))))
				d := s.Decide(at, fleetSYNPacket(n))
				Expect(d.Action).To(Equal(Forward))
				placed[d.ID]++
			}
		}
		for n := 200; n < 240; n++ {
			Expect(placed).NotTo(HaveKey(fleetReport(n, "").Id))
		}
	})

	It("get new flows once they are warm, or if there is no limit", func() {
		for _, s := range []*Steerer{fleet(4), fleet(0)} {
			at := start
			if s.coldRates["booking"] > 0 {
				at = start.Add(coldFor)
			}
			placed := 0
			for n := range 4000 {
				if d := s.Decide(at, fleetSYNPacket(n)); d.Number >= 200 {
					placed++
				}
			}
			Expect(placed).To(BeNumerically(">", 0))
		}
	})

	It("leave new flows to another failure domain, and have them reset if no endpoint is warm", func() {
		s := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 10_000})
		setColdRate(s, 1, 4)
		s.Learn(start, "c1", reports(coldReport(1, "plateau"), coldReport(2, "plateau"), fleetReport(3, "almadies")))
		d := s.Decide(start, fleetSYNPacket(1))
		Expect(d.Number).To(Equal(uint64(3)))
		s.Learn(start, "c1", reports(func() *wire.EndpointReport {
			m := fleetReport(3, "almadies")
			m.Sequence, m.Leaving = 2, true
			return m
		}()))
		d = s.Decide(start, fleetSYNPacket(2))
		Expect(d.Action).To(Equal(Reset))
		Expect(d.Reason).To(Equal(Cold))
		Expect(s.Explain(start, fleetSYNPacket(2).Src, bookingAddr).Candidates[0].Verdict).To(ContainSubstring("warm in 2s"))
	})

	It("get no retransmission of a SYN that was sent before they became cold again", func() {
		s := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 10_000})
		setColdRate(s, 1, 4)
		s.Learn(start, "c1", reports(fleetReport(1, "plateau")))
		p := fleetSYNPacket(1)
		Expect(s.Decide(start, p).Number).To(Equal(uint64(1)))
		again := coldReport(1, "plateau")
		again.Sequence = 2
		s.Learn(start, "c1", reports(again))
		p.Retransmission = 1
		Expect(s.Decide(start.Add(200*time.Millisecond), p).Action).To(Equal(Drop), "not reset: the flow may be established")
		Expect(s.Decide(start.Add(coldFor), p).Number).To(Equal(uint64(1)))
	})
})
