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

// irregularFleet is a service over five failure domains whose endpoints stand in
// runs of irregular length, as they come to be known.
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

// fleetReport is a report of one of thousands of endpoints.
func fleetReport(n int, domain string) *wire.EndpointReport {
	return report("booking", n, func(m *wire.EndpointReport) {
		m.Domain, m.Address = domain, fmt.Sprintf("10.%d.%d.%d:80", n>>16, n>>8&255, n&255)
	})
}

func fleetSteerer(endpoints []*wire.EndpointReport) *Steerer {
	s := New(Config{Domain: "plateau", MaxFlow: time.Minute, MaxFlows: 10_000})
	s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
	s.Learn(start, "c1", reports(endpoints...))
	return s
}

// fleetSynPacket is the opening packet of the n-th of many flows.
func fleetSynPacket(n int) Packet {
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(1000+n&255))
	return Packet{Src: caller, Dst: bookingAddr, Flags: Syn, Seq: 7}
}

var _ = Describe("placing over a large service", func() {
	// shares places flows that end at once, so that all endpoints stay equal, and
	// returns how many each was given.
	shares := func(s *Steerer, flows int) map[string]int {
		given := map[string]int{}
		for n := range flows {
			p := fleetSynPacket(n)
			d := s.Decide(start, p)
			ExpectWithOffset(1, d.Reason).To(Equal(Placed))
			given[d.ID]++
			p.Flags, p.Tag, p.Seq = Rst, d.Tag, 8
			s.Decide(start, p)
		}
		return given
	}
	// near returns the endpoints of the entry's own failure domain.
	near := func(all []*wire.EndpointReport) (ids []string) {
		for _, m := range all {
			if m.Domain == "plateau" {
				ids = append(ids, m.Id)
			}
		}
		return ids
	}

	// With n draws of probability p a count lies within five standard deviations
	// of its mean, but for a millionth.
	DescribeTable("gives each of equal endpoints the same share, whatever stands before it", func(count int) {
		fleet := irregularFleet(count)
		equals := near(fleet)
		const each = 200
		given := shares(fleetSteerer(fleet), each*len(equals))
		Expect(given).To(HaveLen(len(equals)), "each of the own failure domain, and no other")
		bound := 5 * math.Sqrt(each*(1-1/float64(len(equals))))
		for _, id := range equals {
			Expect(given[id]).To(BeNumerically("~", each, bound), id)
		}
	},
		Entry("all of which are looked at", 70),
		Entry("of which some are drawn", 480),
	)

	It("prefers an endpoint that takes nothing to those that do, though only some are drawn", func() {
		s := fleetSteerer(irregularFleet(480))
		busy, idle := 0, 0
		for n := range 60 { // of about 96 in the own failure domain
			d := s.Decide(start, fleetSynPacket(n))
			if s.byID[d.ID].flows > 1 {
				busy++
			} else {
				idle++
			}
		}
		Expect(busy).To(BeNumerically("<=", 1))
		Expect(idle).To(BeNumerically(">=", 59))
	})

	It("finds one that is not under suspicion while nine in ten of the own failure domain are", func() {
		fleet := irregularFleet(480)
		s := fleetSteerer(fleet)
		silent := map[string]bool{}
		for i, id := range near(fleet) {
			if i%10 != 0 {
				silent[id] = true
				s.byID[id].silent = true
			}
		}
		for n := range 500 {
			d := s.Decide(start, fleetSynPacket(n))
			Expect(silent[d.ID]).To(BeFalse())
		}
	})

	It("goes to another failure domain once none is left in its own, and back", func() {
		fleet := irregularFleet(480)
		s := fleetSteerer(fleet)
		for _, id := range near(fleet) {
			s.byID[id].silent, s.byID[id].silentAt = true, start
		}
		d := s.Decide(start, fleetSynPacket(1))
		Expect(s.byID[d.ID].Domain).NotTo(Equal("plateau"))
		for _, id := range near(fleet) {
			s.byID[id].silent = false
		}
		d = s.Decide(start, fleetSynPacket(2))
		Expect(s.byID[d.ID].Domain).To(Equal("plateau"))
	})

	It("never places on an endpoint that leaves, has ended, or serves another service by now", func() {
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
			b := s.byID[s.Decide(start, fleetSynPacket(n)).ID]
			Expect(b.acceptsFlows()).To(BeTrue())
			Expect(b.Service).To(Equal("booking"))
		}
	})

	It("decides alike at entries that know the same, and so alike for the copies of an opening packet", func() {
		fleet := irregularFleet(480)
		one, other := fleetSteerer(fleet), fleetSteerer(fleet)
		for n := range 50 {
			first, second := one.Decide(start, fleetSynPacket(n)), other.Decide(start, fleetSynPacket(n))
			Expect(first.ID).To(Equal(second.ID))
			for _, s := range []*Steerer{one, other} {
				p := fleetSynPacket(n)
				p.Flags, p.Tag, p.Seq = Rst, first.Tag, 8
				s.Decide(start, p)
			}
		}
	})

	It("is explained as it is done, and says which endpoints were not looked at", func() {
		s := fleetSteerer(irregularFleet(480))
		p := fleetSynPacket(5)
		p.Seq = 0 // as Explain takes it
		d := s.Explain(start, p.Src, p.Dst)
		Expect(s.Decide(start, p).ID).To(Equal(d.Endpoint))
		passed := 0
		for _, c := range d.Candidates {
			if strings.HasPrefix(c.Verdict, "not looked at") {
				passed++
			}
		}
		Expect(d.Candidates).To(HaveLen(480))
		Expect(passed).To(BeNumerically(">=", 480-sampleSize))
	})

	It("allocates nothing to choose", func() {
		s := fleetSteerer(irregularFleet(480))
		r, p := s.routes[bookingAddr], fleetSynPacket(1)
		Expect(testingAllocs(func() { s.choose(start, r, p, nil, nil) })).To(BeZero())
	})
})
