package steer

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

// irregularFleet returns the reports of a service over five failure domains, whose endpoints
// alternate in runs of irregular length.
func irregularFleet(count int) []*wire.EndpointReport {
	domains := []string{"plateau", "almadies", "diamniadio", "yoff", "pikine"}
	var all []*wire.EndpointReport
	run := 0
	for n := range count {
		if run == 0 {
			run = 1 + (n*n+3*n)%7
			domains = append(domains[1:], domains[0])
		}
		run--
		all = append(all, fleetReport(n, domains[0]))
	}
	return all
}

// fleetReport returns the report of the n-th endpoint of a large fleet.
func fleetReport(n int, domain string) *wire.EndpointReport {
	return report("booking", n, func(m *wire.EndpointReport) {
		m.Domain, m.Address = domain, fmt.Sprintf("10.%d.%d.%d:80", n>>16, n>>8&255, n&255)
	})
}

func fleetSteerer(endpoints []*wire.EndpointReport) *Steerer {
	s := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 10_000})
	s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
	s.Learn(start, "c1", reports(endpoints...))
	return s
}

// fleetSYNPacket returns the SYN of the n-th of many flows.
func fleetSYNPacket(n int) Packet {
	client := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(1000+n&255))
	return Packet{Src: client, Dst: bookingAddr, Flags: SYN, Seq: 7}
}

var _ = Describe("placement over a large service", func() {
	// placements places flows that end at once, so that all loads stay equal, and counts them
	// by endpoint.
	placements := func(s *Steerer, flows int) map[string]int {
		counts := map[string]int{}
		for n := range flows {
			p := fleetSYNPacket(n)
			d := s.Decide(start, p)
			ExpectWithOffset(1, d.Reason).To(Equal(Placed))
			counts[d.ID]++
			p.Flags, p.Tag, p.Seq = RST, d.Tag, 8
			s.Decide(start, p)
		}
		return counts
	}
	// localIDs returns the endpoints in the entry's own failure domain.
	localIDs := func(all []*wire.EndpointReport) (ids []string) {
		for _, m := range all {
			if m.Domain == "plateau" {
				ids = append(ids, m.Id)
			}
		}
		return ids
	}

	// The bound of five standard deviations makes a failure by chance negligibly rare.
	DescribeTable("gives endpoints of equal load the same share, whatever their order,", func(count int) {
		fleet := irregularFleet(count)
		equals := localIDs(fleet)
		const each = 200
		counts := placements(fleetSteerer(fleet), each*len(equals))
		Expect(counts).To(HaveLen(len(equals)), "all endpoints of the own failure domain, and no other")
		bound := 5 * math.Sqrt(each*(1-1/float64(len(equals))))
		for _, id := range equals {
			Expect(counts[id]).To(BeNumerically("~", each, bound), id)
		}
	},
		Entry("in a full scan", 70),
		Entry("in a sample", 480),
	)

	It("prefers idle endpoints, even if only a sample is considered", func() {
		s := fleetSteerer(irregularFleet(480))
		busy, idle := 0, 0
		for n := range 60 { // of about 96 in the own failure domain
			d := s.Decide(start, fleetSYNPacket(n))
			if s.byID[d.ID].flows > 1 {
				busy++
			} else {
				idle++
			}
		}
		Expect(busy).To(BeNumerically("<=", 1))
		Expect(idle).To(BeNumerically(">=", 59))
	})

	It("finds an endpoint that is not suspect while nine in ten of the failure domain are", func() {
		fleet := irregularFleet(480)
		s := fleetSteerer(fleet)
		silent := map[string]bool{}
		for i, id := range localIDs(fleet) {
			if i%10 != 0 {
				silent[id] = true
				s.byID[id].silent = true
			}
		}
		for n := range 500 {
			d := s.Decide(start, fleetSYNPacket(n))
			Expect(silent[d.ID]).To(BeFalse())
		}
	})

	It("goes to another failure domain while the entry's own has no endpoint left, and back", func() {
		fleet := irregularFleet(480)
		s := fleetSteerer(fleet)
		for _, id := range localIDs(fleet) {
			s.byID[id].silent, s.byID[id].silentAt = true, start
		}
		d := s.Decide(start, fleetSYNPacket(1))
		Expect(s.byID[d.ID].Domain).NotTo(Equal("plateau"))
		for _, id := range localIDs(fleet) {
			s.byID[id].silent = false
		}
		d = s.Decide(start, fleetSYNPacket(2))
		Expect(s.byID[d.ID].Domain).To(Equal("plateau"))
	})

	It("never uses an endpoint that is leaving, has ended, or changed its service", func() {
		s := fleetSteerer(irregularFleet(480))
		for n := range 480 {
			m := fleetReport(n, "plateau")
			m.Sequence = 2
			switch n % 4 {
			case 0:
				m.Leaving = true
			case 1:
				m.Gone = true
			case 2:
				m.Service = "documents"
			}
			s.Learn(start, "c1", reports(m))
		}
		Expect(s.pools["booking"][localTier]).To(HaveLen(120))
		Expect(s.pools["booking"][remoteTier]).To(BeEmpty())
		Expect(s.pools["documents"][localTier]).To(HaveLen(120))
		for n := range 500 {
			b := s.byID[s.Decide(start, fleetSYNPacket(n)).ID]
			Expect(b.acceptsFlows()).To(BeTrue())
			Expect(b.Service).To(Equal("booking"))
		}
	})

	It("is the same at entries with the same endpoint records, and so for all retransmissions of a SYN", func() {
		fleet := irregularFleet(480)
		one, other := fleetSteerer(fleet), fleetSteerer(fleet)
		for n := range 50 {
			first, second := one.Decide(start, fleetSYNPacket(n)), other.Decide(start, fleetSYNPacket(n))
			Expect(first.ID).To(Equal(second.ID))
			for _, s := range []*Steerer{one, other} {
				p := fleetSYNPacket(n)
				p.Flags, p.Tag, p.Seq = RST, first.Tag, 8
				s.Decide(start, p)
			}
		}
	})

	It("matches its explanation, which says which endpoints were not looked at", func() {
		s := fleetSteerer(irregularFleet(480))
		p := fleetSYNPacket(5)
		p.Seq = 0 // as Explain assumes
		d := s.Explain(start, p.Src, p.Dst)
		Expect(s.Decide(start, p).ID).To(Equal(d.Endpoint))
		skipped := 0
		for _, c := range d.Candidates {
			if strings.HasPrefix(c.Verdict, "not looked at") {
				skipped++
			}
		}
		Expect(d.Candidates).To(HaveLen(480))
		Expect(skipped).To(BeNumerically(">=", 480-sampleSize))
	})

	It("does not allocate", func() {
		s := fleetSteerer(irregularFleet(480))
		r, p := s.routes[bookingAddr], fleetSYNPacket(1)
		Expect(averageAllocs(func() { s.choose(start, r, p, nil, nil) })).To(BeZero())
	})
})
