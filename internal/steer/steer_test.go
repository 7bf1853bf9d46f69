package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/wire"
)

func TestSteer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "steer")
}

var (
	bookingAddr   = netip.MustParseAddrPort("198.18.0.1:443")
	documentsAddr = netip.MustParseAddrPort("198.18.0.1:80")
	start         = time.Unix(5000, 0)
)

func testDocument(version uint64, routes ...document.Route) *document.Document {
	d, faults := document.New(document.Config{
		Version: version, Routes: routes, Services: []document.Service{{Name: "booking"}, {Name: "documents"}},
	})
	if len(faults) > 0 {
		panic(faults)
	}
	return d
}

func routeTo(addr netip.AddrPort, service string) document.Route {
	return document.Route{
		Name: service, Addr: addr, Timeout: time.Second, Shares: []document.Share{{Service: service, Weight: 1}},
	}
}

// report returns the report of the n-th endpoint of a service.
func report(service string, n int, change func(*wire.EndpointReport)) *wire.EndpointReport {
	m := &wire.EndpointReport{
		Id: fmt.Sprintf("%s-%d", service, n), Number: uint64(n), Service: service, Domain: "plateau", Slots: 2, Sequence: 1,
		Address: fmt.Sprintf("10.0.0.%d:80", n),
	}
	if change != nil {
		change(m)
	}
	return m
}

func reports(endpoints ...*wire.EndpointReport) *wire.Reports {
	return &wire.Reports{Whole: true, Endpoints: endpoints}
}

// testSteerer returns a Steerer with two routes, and three endpoints from one control instance.
func testSteerer() *Steerer {
	s := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 100})
	s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking"), routeTo(documentsAddr, "documents")))
	s.Learn(start, "c1", reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil)))
	return s
}

// synPacket returns the SYN of a flow to booking, or its n-th retransmission.
func synPacket(port uint16, seq uint32, retransmissions int) Packet {
	client := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)
	return Packet{Src: client, Dst: bookingAddr, Flags: SYN, Seq: seq, Retransmission: retransmissions}
}

// flowPacket returns a later packet of the flow that synPacket opens.
func flowPacket(port uint16, tag uint32, seq, ack uint32, length int) Packet {
	p := synPacket(port, seq, 0)
	p.Flags, p.Tag, p.Ack, p.Len = ACK, tag, ack, length
	return p
}

var _ = Describe("a Steerer", func() {
	var s *Steerer
	BeforeEach(func() { s = testSteerer() })

	It("places a flow on an endpoint of the route's service and forwards later packets by tag", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		Expect(d.Action).To(Equal(Forward))
		Expect(d.Reason).To(Equal(Placed))
		Expect(d.ID).To(HavePrefix("booking-"))
		Expect(d.Tag).To(Equal(Tag(d.ID)))

		other := New(Config{Domain: "almadies", MaxFlowAge: time.Minute, MaxFlows: 100})
		other.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
		other.Learn(start, "c1", reports(report("booking", 1, nil), report("booking", 2, nil)))
		e := other.Decide(start, flowPacket(1000, d.Tag, 8, 1, 10))
		Expect(e.Reason).To(Equal(Steered), "an entry that has not seen the flow")
		Expect(e.ID).To(Equal(d.ID))
		Expect(e.Number).To(Equal(d.Number))
	})

	It("sends a retransmitted SYN to the same endpoint", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		e := s.Decide(start.Add(200*time.Millisecond), synPacket(1000, 7, 1))
		Expect(e.Reason).To(Equal(Repeated))
		Expect(e.ID).To(Equal(d.ID))
	})

	It("sends the second retransmission to another endpoint, and stays with the one whose answer the client accepted", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		e := s.Decide(start.Add(600*time.Millisecond), synPacket(1000, 7, 2))
		Expect(e.Reason).To(Equal(Replaced))
		Expect(e.ID).NotTo(Equal(d.ID))

		f := s.Decide(start.Add(610*time.Millisecond), flowPacket(1000, d.Tag, 8, 1, 0))
		Expect(f.ID).To(Equal(d.ID), "the first endpoint answered late")
		g := s.Decide(start.Add(620*time.Millisecond), flowPacket(1000, e.Tag, 8, 1, 10))
		Expect(g.Reason).To(Equal(Corrected), "the packet has the tag of the second endpoint")
		Expect(g.ID).To(Equal(d.ID))
		Expect(g.Tag).To(Equal(d.Tag))
	})

	It("treats the same addresses with another sequence number as a new flow", func() {
		s.Decide(start, synPacket(1000, 7, 0))
		Expect(s.Decide(start, synPacket(1000, 8, 0)).Reason).To(Equal(Placed))
		Expect(s.Counts(start).Flows).To(Equal(1))
	})

	It("drops packets with an unknown tag", func() {
		d := s.Decide(start, flowPacket(1000, 12345, 8, 1, 10))
		Expect(d.Action).To(Equal(Drop))
		Expect(d.Reason).To(Equal(UnknownTag))
	})

	It("resets SYNs to an address without a route, and drops all packets before the first document", func() {
		p := synPacket(1000, 7, 0)
		p.Dst = netip.MustParseAddrPort("198.18.0.9:443")
		Expect(s.Decide(start, p).Action).To(Equal(Reset))
		Expect(s.Decide(start, p).Reason).To(Equal(NoRoute))

		empty := New(Config{MaxFlows: 10})
		Expect(empty.Decide(start, p)).To(Equal(Decision{Reason: NoTable}))
	})

	It("forwards a flow of an unknown route by its tag, as its document may be old", func() {
		p := flowPacket(1000, Tag("booking-1"), 8, 1, 10)
		p.Dst = netip.MustParseAddrPort("198.18.0.9:443")
		Expect(s.Decide(start, p).Reason).To(Equal(Steered))
	})

	It("drops malformed packets", func() {
		p := synPacket(1000, 7, 0)
		p.Flags = SYN | ACK
		Expect(s.Decide(start, p).Reason).To(Equal(Malformed))
		p = synPacket(1000, 7, 0)
		p.Len = 5
		Expect(s.Decide(start, p).Reason).To(Equal(Malformed))
	})

	It("gives a leaving endpoint no new flow, and keeps its established ones", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		for _, n := range []int{1, 2} {
			s.Learn(start, "c1", reports(report("booking", n, func(m *wire.EndpointReport) {
				m.Sequence = 2
				m.Leaving = m.Id == d.ID
			})))
		}
		for port := range uint16(20) {
			Expect(s.Decide(start, synPacket(2000+port, 7, 0)).ID).NotTo(Equal(d.ID))
		}
		Expect(s.Decide(start, flowPacket(1000, d.Tag, 8, 1, 10)).Reason).To(Equal(Steered))
	})

	It("resets a flow that no endpoint accepts, but not before it has the full list of endpoints", func() {
		leave := func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true }
		s.Learn(start, "c1", reports(report("booking", 1, leave), report("booking", 2, leave)))
		Expect(s.Decide(start, synPacket(1000, 7, 0))).To(Equal(Decision{Action: Reset, Reason: NoEndpoint, Version: 1}))

		fresh := New(Config{MaxFlows: 10})
		fresh.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
		fresh.Learn(start, "c1", &wire.Reports{})
		Expect(fresh.Decide(start, synPacket(1000, 7, 0))).To(Equal(Decision{Reason: NoTable, Version: 1}))
	})

	It("resets flows of an ended endpoint after the grace period", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		s.Decide(start, flowPacket(1000, d.Tag, 8, 1, 10))
		for _, n := range []int{1, 2} {
			s.Learn(start, "c1", reports(report("booking", n, func(m *wire.EndpointReport) { m.Gone = true })))
		}
		Expect(s.Decide(start.Add(goneGracePeriod/2), flowPacket(1000, d.Tag, 8, 1, 10)).Action).To(Equal(Forward))
		e := s.Decide(start.Add(2*goneGracePeriod), flowPacket(1000, d.Tag, 8, 9, 10))
		Expect(e.Action).To(Equal(Reset))
		Expect(e.Reason).To(Equal(EndpointGone))
		Expect(e.Seq).To(Equal(uint32(9)))
	})

	It("avoids an endpoint that left two consecutive flows unanswered, and retries it", func() {
		var changes []string
		s.config.OnSuspect = func(id string, suspect bool) { changes = append(changes, fmt.Sprint(id, suspect)) }
		// Every SYN to endpoint 1 is lost; endpoint 2 answers.
		now, missed := start, 0
		for port := uint16(1000); missed < 2; port++ {
			now = now.Add(10 * time.Millisecond)
			if d := s.Decide(now, synPacket(port, 7, 0)); d.ID == "booking-1" {
				missed++
			} else {
				s.Decide(now, flowPacket(port, d.Tag, 8, 1, 0))
			}
		}
		now = now.Add(openTimeout + sweepInterval)
		for port := range uint16(10) {
			d := s.Decide(now, synPacket(3000+port, 7, 0))
			Expect(d.ID).To(Equal("booking-2"))
			s.Decide(now, flowPacket(3000+port, d.Tag, 8, 1, 0))
		}
		Expect(changes).To(Equal([]string{"booking-1true"}))
		now = now.Add(minSuspectPeriod)
		tried := uint16(0)
		for port := range uint16(30) {
			if d := s.Decide(now, synPacket(4000+port, 7, 0)); d.ID == "booking-1" {
				tried = 4000 + port
			}
		}
		Expect(tried).NotTo(BeZero())
		s.Decide(now, flowPacket(tried, Tag("booking-1"), 8, 1, 0))
		Expect(changes).To(Equal([]string{"booking-1true", "booking-1false"}))
	})

	It("places flows even if all endpoints are avoided", func() {
		silent := func(m *wire.EndpointReport) { m.Sequence, m.Silent = 2, true }
		s.Learn(start, "c1", reports(report("booking", 1, silent), report("booking", 2, silent)))
		Expect(s.Decide(start, synPacket(1000, 7, 0)).Reason).To(Equal(Placed))
	})

	It("prefers its own failure domain until its endpoints are clearly busier", func() {
		remote := func(m *wire.EndpointReport) { m.Domain, m.Sequence = "almadies", 2 }
		s.Learn(start, "c1", reports(report("booking", 2, remote)))
		Expect(s.Decide(start, synPacket(1000, 7, 0)).ID).To(Equal("booking-1"))
		s.Decide(start, flowPacket(1000, Tag("booking-1"), 8, 1, 10)) // a request in progress on half of its slots
		Expect(s.Decide(start, synPacket(1001, 7, 0)).ID).To(Equal("booking-2"))
		s.Decide(start, flowPacket(1000, Tag("booking-1"), 18, 99, 0)) // its response
		Expect(s.Decide(start, synPacket(1002, 7, 0)).ID).To(Equal("booking-1"))
	})

	It("spreads flows over the endpoints of its failure domain", func() {
		counts := map[string]int{}
		for port := range uint16(60) {
			counts[s.Decide(start, synPacket(1000+port, 7, 0)).ID]++
		}
		Expect(counts).To(Equal(map[string]int{"booking-1": 30, "booking-2": 30}))
	})

	It("does not allocate for a packet of an established flow", func() {
		d := s.Decide(start, synPacket(1000, 7, 0))
		p := flowPacket(1000, d.Tag, 8, 1, 10)
		now := start
		Expect(testing.AllocsPerRun(1000, func() {
			now = now.Add(time.Millisecond)
			p.Seq += 10
			p.Ack += 10
			s.Decide(now, p)
		})).To(BeZero())
	})
})
