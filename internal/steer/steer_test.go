package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/registry"
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

// report is what a control instance says of the n-th endpoint of a service.
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

func opening(port uint16, seq uint32, copies int) Packet {
	caller := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port)
	return Packet{Src: caller, Dst: bookingAddr, Flags: Syn, Seq: seq, Copy: copies}
}

// later is a packet of the flow that opening began.
func later(port uint16, tag uint32, seq, ack uint32, length int) Packet {
	p := opening(port, seq, 0)
	p.Flags, p.Tag, p.Ack, p.Len = Ack, tag, ack, length
	return p
}

var _ = Describe("a Steerer", func() {
	var s *Steerer
	BeforeEach(func() {
		s = New(Config{Domain: "plateau", MaxFlow: time.Minute, MaxFlows: 100})
		s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking"), routeTo(documentsAddr, "documents")))
		s.Learn(start, "c1", reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil)))
	})

	It("places a flow on an endpoint of the route's service and steers the rest by the tag", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		Expect(d.Action).To(Equal(Forward))
		Expect(d.Reason).To(Equal(Placed))
		Expect(d.ID).To(HavePrefix("booking-"))
		Expect(d.Tag).To(Equal(Tag(d.ID)))

		other := New(Config{Domain: "almadies", MaxFlow: time.Minute, MaxFlows: 100})
		other.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
		other.Learn(start, "c1", reports(report("booking", 1, nil), report("booking", 2, nil)))
		e := other.Decide(start, later(1000, d.Tag, 8, 1, 10))
		Expect(e.Reason).To(Equal(Steered), "an entry that saw nothing of the flow")
		Expect(e.ID).To(Equal(d.ID))
		Expect(e.Number).To(Equal(d.Number))
	})

	It("sends a copy of an opening packet to the same endpoint", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		e := s.Decide(start.Add(200*time.Millisecond), opening(1000, 7, 1))
		Expect(e.Reason).To(Equal(Repeated))
		Expect(e.ID).To(Equal(d.ID))
	})

	It("sends the last copy elsewhere, and stays with the endpoint whose answer the caller took", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		e := s.Decide(start.Add(600*time.Millisecond), opening(1000, 7, 2))
		Expect(e.Reason).To(Equal(Replaced))
		Expect(e.ID).NotTo(Equal(d.ID))

		f := s.Decide(start.Add(610*time.Millisecond), later(1000, d.Tag, 8, 1, 0))
		Expect(f.ID).To(Equal(d.ID), "the first answered late")
		g := s.Decide(start.Add(620*time.Millisecond), later(1000, e.Tag, 8, 1, 10))
		Expect(g.Reason).To(Equal(Corrected), "the tag of the second one arrived meanwhile")
		Expect(g.ID).To(Equal(d.ID))
		Expect(g.Tag).To(Equal(d.Tag))
	})

	It("carries a waiting request along when the flow turns out to be on another endpoint", func() {
		s.Learn(start, "c1", reports(report("booking", 2, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true })))
		Expect(s.Decide(start, opening(1000, 7, 0)).ID).To(Equal("booking-1"))
		tag := Tag("booking-5") // another entry knows it, this one not yet
		Expect(s.Decide(start, later(1000, tag, 8, 1, 10)).Reason).To(Equal(UnknownTag))
		s.Learn(start, "c1", reports(report("booking", 5, nil)))
		Expect(s.Decide(start, later(1000, tag, 8, 1, 10)).Reason).To(Equal(Steered))
		Expect(s.byID["booking-1"].busy).To(BeZero())
		Expect(s.byID["booking-5"].busy).To(Equal(1))
		s.Decide(start, later(1000, tag, 18, 99, 0))
		Expect(s.byID["booking-5"].busy).To(BeZero())
	})

	It("takes the same tuple with another sequence number for a new flow", func() {
		s.Decide(start, opening(1000, 7, 0))
		Expect(s.Decide(start, opening(1000, 8, 0)).Reason).To(Equal(Placed))
		Expect(s.Counts(start).Flows).To(Equal(1))
	})

	It("never guesses for a tag that it does not know", func() {
		d := s.Decide(start, later(1000, 12345, 8, 1, 10))
		Expect(d.Action).To(Equal(Drop))
		Expect(d.Reason).To(Equal(UnknownTag))
	})

	It("resets what has no route, and is silent while it knows no document", func() {
		p := opening(1000, 7, 0)
		p.Dst = netip.MustParseAddrPort("198.18.0.9:443")
		Expect(s.Decide(start, p).Action).To(Equal(Reset))
		Expect(s.Decide(start, p).Reason).To(Equal(NoRoute))

		empty := New(Config{MaxFlows: 10})
		Expect(empty.Decide(start, p)).To(Equal(Decision{Reason: NoTable}))
	})

	It("resets flows of a route that the document in force dropped, and takes them when it is back", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		s.SetDocument(start, testDocument(2, routeTo(documentsAddr, "documents")))
		e := s.Decide(start, later(1000, d.Tag, 8, 55, 10))
		Expect(e.Reason).To(Equal(RouteDropped))
		Expect(e.Action).To(Equal(Reset))
		Expect(e.Seq).To(Equal(uint32(55)), "what the caller expects next")
		s.SetDocument(start, testDocument(3, routeTo(bookingAddr, "booking")))
		Expect(s.Decide(start, opening(1001, 7, 0)).Reason).To(Equal(Placed))
	})

	It("forgets a dropped route once no flow of it can be left", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		s.SetDocument(start, testDocument(2, routeTo(documentsAddr, "documents")))
		Expect(s.Decide(start.Add(time.Minute-time.Second), later(1000, d.Tag, 8, 55, 10)).Reason).To(Equal(RouteDropped))
		s.Decide(start.Add(time.Minute), later(1000, d.Tag, 8, 55, 10))
		Expect(s.dropped).To(BeEmpty())
	})

	It("forwards a flow of a route that it has not heard of by its tag: it may be behind", func() {
		p := later(1000, Tag("booking-1"), 8, 1, 10)
		p.Dst = netip.MustParseAddrPort("198.18.0.9:443")
		Expect(s.Decide(start, p).Reason).To(Equal(Steered))
	})

	It("goes only forward", func() {
		Expect(s.SetDocument(start, testDocument(1))).To(BeFalse())
		Expect(s.SetDocument(start, testDocument(0))).To(BeFalse())
		Expect(s.Version()).To(Equal(uint64(1)))
	})

	It("drops what no caller sends", func() {
		p := opening(1000, 7, 0)
		p.Flags = Syn | Ack
		Expect(s.Decide(start, p).Reason).To(Equal(Malformed))
		p = opening(1000, 7, 0)
		p.Len = 5
		Expect(s.Decide(start, p).Reason).To(Equal(Malformed))
	})

	It("gives no flow to an endpoint that leaves, and keeps its open ones", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		for _, n := range []int{1, 2} {
			s.Learn(start, "c1", reports(report("booking", n, func(m *wire.EndpointReport) {
				m.Sequence = 2
				m.Leaving = m.Id == d.ID
			})))
		}
		for port := range uint16(20) {
			Expect(s.Decide(start, opening(2000+port, 7, 0)).ID).NotTo(Equal(d.ID))
		}
		Expect(s.Decide(start, later(1000, d.Tag, 8, 1, 10)).Reason).To(Equal(Steered))
	})

	It("does not take an older report for a newer one, and never revives what is gone", func() {
		s.Learn(start, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 5, true })))
		s.Learn(start, "c2", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence = 4 })))
		Expect(s.byID["booking-1"].Leaving).To(BeTrue())
		s.Learn(start, "c1", reports(report("booking", 2, func(m *wire.EndpointReport) { m.Gone = true })))
		s.Learn(start, "c2", reports(report("booking", 2, func(m *wire.EndpointReport) { m.Sequence = 9 })))
		Expect(s.byID["booking-2"].open()).To(BeFalse())
	})

	It("does not take for living what it was only told to have ended", func() {
		s.Learn(start, "c1", reports(&wire.EndpointReport{Id: "booking-9", Gone: true}))
		s.Learn(start, "c2", reports(report("booking", 9, nil)))
		Expect(s.byID["booking-9"].open()).To(BeFalse())
		Expect(s.Decide(start, later(1000, Tag("booking-9"), 8, 1, 10)).Reason).To(Equal(UnknownTag))
		Expect(s.pools["booking"]).To(HaveLen(2))
	})

	It("refuses at once when no endpoint may take a flow, but not before it knows them all", func() {
		leave := func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true }
		s.Learn(start, "c1", reports(report("booking", 1, leave), report("booking", 2, leave)))
		Expect(s.Decide(start, opening(1000, 7, 0))).To(Equal(Decision{Action: Reset, Reason: NoEndpoint, Version: 1}))

		fresh := New(Config{MaxFlows: 10})
		fresh.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
		fresh.Learn(start, "c1", &wire.Reports{})
		Expect(fresh.Decide(start, opening(1000, 7, 0))).To(Equal(Decision{Reason: NoTable, Version: 1}))
	})

	It("resets flows of an endpoint that has ended, once it can answer no more", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		s.Decide(start, later(1000, d.Tag, 8, 1, 10))
		for _, n := range []int{1, 2} {
			s.Learn(start, "c1", reports(report("booking", n, func(m *wire.EndpointReport) { m.Gone = true })))
		}
		Expect(s.Decide(start.Add(goneFor/2), later(1000, d.Tag, 8, 1, 10)).Action).To(Equal(Forward))
		e := s.Decide(start.Add(2*goneFor), later(1000, d.Tag, 8, 9, 10))
		Expect(e.Action).To(Equal(Reset))
		Expect(e.Reason).To(Equal(EndpointGone))
		Expect(e.Seq).To(Equal(uint32(9)))
	})

	It("avoids an endpoint that answered two flows in a row with silence, and comes back", func() {
		var changes []string
		s.config.Suspected = func(id string, suspect bool) { changes = append(changes, fmt.Sprint(id, suspect)) }
		// Each opening packet is lost at endpoint 1; endpoint 2 answers.
		now, missed := start, 0
		for port := uint16(1000); missed < 2; port++ {
			now = now.Add(10 * time.Millisecond)
			if d := s.Decide(now, opening(port, 7, 0)); d.ID == "booking-1" {
				missed++
			} else {
				s.Decide(now, later(port, d.Tag, 8, 1, 0))
			}
		}
		now = now.Add(answerWithin + sweepEvery)
		for port := range uint16(10) {
			d := s.Decide(now, opening(3000+port, 7, 0))
			Expect(d.ID).To(Equal("booking-2"))
			s.Decide(now, later(3000+port, d.Tag, 8, 1, 0))
		}
		Expect(changes).To(Equal([]string{"booking-1true"}))
		now = now.Add(suspectFirst)
		tried := uint16(0)
		for port := range uint16(30) {
			if d := s.Decide(now, opening(4000+port, 7, 0)); d.ID == "booking-1" {
				tried = 4000 + port
			}
		}
		Expect(tried).NotTo(BeZero())
		s.Decide(now, later(tried, Tag("booking-1"), 8, 1, 0))
		Expect(changes).To(Equal([]string{"booking-1true", "booking-1false"}))
	})

	It("does not empty a service because everything speaks against its endpoints", func() {
		silent := func(m *wire.EndpointReport) { m.Sequence, m.Silent = 2, true }
		s.Learn(start, "c1", reports(report("booking", 1, silent), report("booking", 2, silent)))
		Expect(s.Decide(start, opening(1000, 7, 0)).Reason).To(Equal(Placed))
	})

	It("takes an endpoint for silent only if every control instance that knows it does", func() {
		silent := func(m *wire.EndpointReport) { m.Silent = true }
		s.Learn(start, "c2", reports(report("booking", 1, silent)))
		Expect(s.byID["booking-1"].silent).To(BeFalse())
		s.Learn(start, "c1", reports(report("booking", 1, silent)))
		Expect(s.byID["booking-1"].silent).To(BeTrue())
		s.Forget("c1")
		s.Forget("c2")
		Expect(s.byID["booking-1"].silent).To(BeFalse())
	})

	It("counts a control instance that knows the same as one that hears the endpoints", func() {
		silent := func(m *wire.EndpointReport) { m.Silent = true }
		s.Learn(start, "c2", reports(report("booking", 1, silent)))
		s.Learn(start, "c3", &wire.Reports{Same: ^uint64(0), Endpoints: []*wire.EndpointReport{report("booking", 2, silent)}})
		s.Forget("c1")
		Expect(s.byID["booking-1"].silent).To(BeFalse(), "c3 hears it")
		Expect(s.byID["booking-2"].silent).To(BeTrue(), "nobody but c3 knows it now")
		s.Forget("c3")
		Expect(s.byID["booking-1"].silent).To(BeTrue())
	})

	It("notices by brief reports what it was not told, and takes the rest for heard", func() {
		r := registry.New(registry.Config{Beat: time.Second}, start)
		r.Merge(start, reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil)))
		before := r.Changed()
		s.Learn(start, "c2", r.Lacking(start, s.Digest()))
		r.Merge(start, reports(report("booking", 4, nil)))
		brief := r.ChangesBriefly(start, before)
		lacking := s.Learn(start, "c2", brief)
		Expect(lacking).To(ConsistOf("booking-4"))
		Expect(s.byID).NotTo(HaveKey("booking-4"))

		s.Learn(start, "c1", reports(report("booking", 4, func(m *wire.EndpointReport) { m.Silent = true })))
		Expect(s.byID["booking-4"].silent).To(BeTrue())
		Expect(s.Learn(start, "c2", brief)).To(BeEmpty())
		Expect(s.byID["booking-4"].silent).To(BeFalse(), "c2 knows it and has not called it silent")
	})

	It("asks for nothing that it knows to have ended, and for all that it takes for living", func() {
		ended := &wire.Reports{Sums: []*wire.RecordSum{{Id: "booking-1", Sum: registry.Sum(registry.Endpoint{ID: "booking-1", Gone: true})}}}
		Expect(s.Learn(start, "c2", ended)).To(ConsistOf("booking-1"))
		s.Learn(start, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Gone = true })))
		Expect(s.Learn(start, "c2", ended)).To(BeEmpty())
	})

	It("has the digest of the control instance that told it all, also of what has ended", func() {
		r := registry.New(registry.Config{Beat: time.Second}, start)
		all := reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil))
		r.Merge(start, all)
		told := func() []*wire.EndpointReport { return r.Lacking(start, s.Digest()).Endpoints }
		Expect(told()).To(BeEmpty())
		r.Leave(start, "booking-1")
		Expect(told()).NotTo(BeEmpty())
		s.Learn(start, "c1", r.Changes(start, 0))
		Expect(told()).To(BeEmpty())
	})

	It("keeps to its own failure domain until its endpoints are clearly busier", func() {
		away := func(m *wire.EndpointReport) { m.Domain, m.Sequence = "almadies", 2 }
		s.Learn(start, "c1", reports(report("booking", 2, away)))
		Expect(s.Decide(start, opening(1000, 7, 0)).ID).To(Equal("booking-1"))
		s.Decide(start, later(1000, Tag("booking-1"), 8, 1, 10)) // a request goes in: half of its slots
		Expect(s.Decide(start, opening(1001, 7, 0)).ID).To(Equal("booking-2"))
		s.Decide(start, later(1000, Tag("booking-1"), 18, 99, 0)) // its answer comes out
		Expect(s.Decide(start, opening(1002, 7, 0)).ID).To(Equal("booking-1"))
	})

	It("spreads flows over the endpoints of its domain", func() {
		counts := map[string]int{}
		for port := range uint16(60) {
			counts[s.Decide(start, opening(1000+port, 7, 0)).ID]++
		}
		Expect(counts).To(Equal(map[string]int{"booking-1": 30, "booking-2": 30}))
	})

	It("splits new flows by the weights of a route", func() {
		r := routeTo(bookingAddr, "booking")
		r.Shares = []document.Share{{Service: "booking", Weight: 90}, {Service: "documents", Weight: 10}}
		s.SetDocument(start, testDocument(2, r))
		booking := 0
		for port := range uint16(1000) {
			if s.Decide(start, opening(1000+port, 7, 0)).ID != "documents-3" {
				booking++
			}
		}
		Expect(booking).To(BeNumerically("~", 900, 40))
	})

	It("bounds its records, and forgets flows that ended or rested", func() {
		for port := range uint16(150) {
			s.Decide(start, opening(1000+port, 7, 0))
		}
		Expect(s.Counts(start).Flows).To(Equal(100))
		s.Decide(start.Add(defaultIdle+time.Second), opening(9000, 7, 0))
		Expect(s.Counts(start).Flows).To(Equal(1))
		p := later(9000, Tag("booking-1"), 8, 1, 0)
		p.Flags |= Fin
		s.Decide(start.Add(defaultIdle+time.Second), p)
		Expect(s.Counts(start).Flows).To(BeZero())
		for _, b := range s.byID {
			Expect(b.flows).To(BeZero())
			Expect(b.busy).To(BeZero())
		}
	})

	Describe("of two incarnations that share a tag", func() {
		// learnBoth returns who has the tag at an entry that learned of them in
		// this order.
		learnBoth := func(first, second *backend) string {
			s := New(Config{MaxFlows: 10, Beat: time.Second})
			for _, b := range []*backend{first, second} {
				fresh := *b
				s.byID[b.ID] = &fresh
				s.settleTag(&fresh)
			}
			holder := s.byTag[77]
			for _, b := range s.byID {
				Expect(b.open()).To(Equal(b == holder), b.ID)
			}
			return holder.ID
		}
		incarnation := func(id string, startedAt time.Time) *backend {
			b := &backend{tag: 77, startedAt: startedAt}
			b.ID = id
			return b
		}

		It("gives it to the one whose id comes first, at every entry, where both are about as old", func() {
			a, b := incarnation("a", start.Add(5*time.Second)), incarnation("b", start)
			Expect(learnBoth(a, b)).To(Equal("a"))
			Expect(learnBoth(b, a)).To(Equal("a"))
		})

		It("leaves it to the older one, whose flows are open", func() {
			a, b := incarnation("a", start.Add(time.Minute)), incarnation("b", start)
			Expect(learnBoth(a, b)).To(Equal("b"))
			Expect(learnBoth(b, a)).To(Equal("b"))
		})

		It("gives it to the other one once no flow of the first can be left", func() {
			s := New(Config{MaxFlows: 10, MaxFlow: time.Minute, Beat: time.Second})
			a, b := incarnation("a", start), incarnation("b", start)
			for _, x := range []*backend{a, b} {
				s.byID[x.ID] = x
				s.settleTag(x)
			}
			a.Gone, a.goneAt = true, start
			s.forgetGone(start.Add(time.Minute))
			Expect(s.byTag[77]).To(Equal(b))
			Expect(b.open()).To(BeTrue())
		})

		It("tells their age by how often they were heard, as an entry does that has just started", func() {
			old := New(Config{MaxFlows: 10, Beat: time.Second})
			old.Learn(start, "c1", reports(report("booking", 1, nil)))
			now := start.Add(time.Minute)
			fresh := New(Config{MaxFlows: 10, Beat: time.Second})
			fresh.Learn(now, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence = 61 })))
			Expect(fresh.byID["booking-1"].startedAt).To(BeTemporally("~", old.byID["booking-1"].startedAt, time.Second))
		})
	})

	It("forgets an incarnation that ended a flow's longest life ago", func() {
		s.Learn(start, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Gone = true })))
		s.Decide(start.Add(time.Minute+time.Second), opening(1000, 7, 0))
		Expect(s.byID).NotTo(HaveKey("booking-1"))
		Expect(s.byTag).NotTo(HaveKey(Tag("booking-1")))
		Expect(s.pools["booking"]).To(HaveLen(1))
	})

	It("allocates nothing for a packet of an open flow", func() {
		d := s.Decide(start, opening(1000, 7, 0))
		p := later(1000, d.Tag, 8, 1, 10)
		now := start
		Expect(testing.AllocsPerRun(1000, func() {
			now = now.Add(time.Millisecond)
			p.Seq += 10
			p.Ack += 10
			s.Decide(now, p)
		})).To(BeZero())
	})
})

func BenchmarkSteer(b *testing.B) {
	s := benchmarkSteerer()
	d := s.Decide(start, opening(1000, 7, 0))
	p := later(1000, d.Tag, 8, 1, 10)
	b.ReportAllocs()
	for b.Loop() {
		p.Seq += 10
		p.Ack += 10
		s.Decide(start, p)
	}
}

func BenchmarkPlace(b *testing.B) {
	s := benchmarkSteerer()
	b.ReportAllocs()
	var port uint16
	for b.Loop() {
		port++
		s.Decide(start, opening(port, uint32(b.N), 0))
	}
}

// benchmarkSteerer knows 120 endpoints, as large deployments have.
func benchmarkSteerer() *Steerer {
	s := New(Config{Domain: "plateau", MaxFlow: time.Minute, MaxFlows: 10_000})
	s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
	var all []*wire.EndpointReport
	for n := range 120 {
		all = append(all, report("booking", n, nil))
	}
	s.Learn(start, "c1", reports(all...))
	return s
}
