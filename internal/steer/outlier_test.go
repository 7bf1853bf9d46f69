package steer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/outlier"
)

// outlierFleet is a set of entries of one service and the tracker that evaluates their reports.
type outlierFleet struct {
	entries []*Steerer
	tracker *outlier.Tracker
	now     time.Time
	random  *rand.Rand
	ports   uint16
	// responseTime returns how long an endpoint takes to respond, 0 for never.
	responseTime    func(at time.Time, id string) time.Duration
	pending         []pendingResponse
	hangingRequests []int // requests taken by endpoints that never respond, by second
	ejected         map[string]bool
}

// pendingResponse is a response on its way to a client.
type pendingResponse struct {
	at    time.Time
	entry *Steerer
	p     Packet // the client's packet that acknowledges the response
}

func newOutlierFleet(entries, endpoints int) *outlierFleet {
	f := &outlierFleet{tracker: outlier.New(), now: start, random: rand.New(rand.NewPCG(1, 2)), ejected: map[string]bool{}}
	route := routeTo(bookingAddr, "booking")
	route.TargetLatency = 500 * time.Millisecond
	for n := range entries {
		s := fleetSteerer(threeDomains(endpoints)[:endpoints])
		s.SetDocument(start, testDocument(2, route))
		s.config.ReportOutlier = func(id string) { f.report(fmt.Sprint("e", n), id) }
		f.entries = append(f.entries, s)
	}
	return f
}

func (f *outlierFleet) report(entry, id string) {
	if !f.tracker.Report(f.now, id, entry) {
		return
	}
	for _, s := range f.entries {
		if s.EjectOutlier(f.now, id) {
			f.ejected[id] = true
		}
	}
}

// run simulates a number of seconds with perSecond requests at each entry, each on its own flow.
func (f *outlierFleet) run(seconds, perSecond int) {
	const step = 10 * time.Millisecond
	begin := f.now
	for ; f.now.Before(begin.Add(time.Duration(seconds) * time.Second)); f.now = f.now.Add(step) {
		for _, s := range f.entries {
			if f.random.IntN(int(time.Second/step)) < perSecond {
				f.request(s)
			}
		}
		var later []pendingResponse
		for _, a := range f.pending {
			if a.at.After(f.now) {
				later = append(later, a)
			} else {
				a.entry.Decide(f.now, a.p)
			}
		}
		f.pending = later
		for _, s := range f.entries {
			s.sweep(f.now)
		}
	}
}

// request opens a flow and sends a request on it.
func (f *outlierFleet) request(s *Steerer) {
	f.ports++
	src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(f.random.IntN(250)), byte(f.random.IntN(250))}), f.ports)
	d := s.Decide(f.now, Packet{Src: src, Dst: bookingAddr, Flags: SYN, Seq: 7})
	p := Packet{Src: src, Dst: bookingAddr, Flags: ACK, Seq: 8, Ack: 1, Tag: d.Tag, Len: 100}
	s.Decide(f.now, p)
	second := int(f.now.Sub(start) / time.Second)
	for len(f.hangingRequests) <= second {
		f.hangingRequests = append(f.hangingRequests, 0)
	}
	after := f.responseTime(f.now, d.ID)
	if after == 0 {
		f.hangingRequests[second]++
		return
	}
	p.Seq, p.Ack, p.Len = 108, 600, 0
	f.pending = append(f.pending, pendingResponse{at: f.now.Add(after), entry: s, p: p})
}

// healthyResponseTime draws the response time of a healthy endpoint.
func (f *outlierFleet) healthyResponseTime() time.Duration {
	return 30*time.Millisecond + time.Duration(f.random.IntN(150))*time.Millisecond
}

var _ = Describe("outlier detection", func() {
	const hangingEndpoints = 2 // of the 14 in the failure domain
	isHanging := func(id string) bool {
		for n := range hangingEndpoints {
			if id == fleetReport(n*9, "").Id {
				return true
			}
		}
		return false
	}

	It("ejects hanging endpoints at all entries within two seconds, under the usual load of a large fleet", func() {
		f := newOutlierFleet(30, 40)
		f.responseTime = func(_ time.Time, id string) time.Duration {
			if isHanging(id) {
				return 0
			}
			return f.healthyResponseTime()
		}
		f.run(12, 6)
		before, after := 0, 0
		for second, n := range f.hangingRequests {
			switch {
			case second < 2:
				before += n
			case second < 10:
				after += n
			}
		}
		Expect(before/2).To(BeNumerically(">", 15), "requests a second before the ejection")
		Expect(after/8).To(BeNumerically("<", 6), "requests a second after it: retries")
		Expect(len(f.ejected)).To(Equal(hangingEndpoints), "no other endpoint")
	})

	It("retries ejected endpoints, and keeps them once they respond", func() {
		f := newOutlierFleet(30, 40)
		f.responseTime = func(at time.Time, id string) time.Duration {
			if isHanging(id) && at.Sub(start) < 5*time.Second {
				return 0
			}
			return f.healthyResponseTime()
		}
		f.run(30, 6)
		for _, s := range f.entries {
			Expect(s.isAvoided(f.now, s.byID[fleetReport(0, "").Id])).To(BeFalse())
		}
	})

	It("ejects nothing from a service that is slow or hangs as a whole", func() {
		for _, all := range []time.Duration{3 * time.Second, 0} {
			f := newOutlierFleet(30, 40)
			f.responseTime = func(time.Time, string) time.Duration { return all }
			f.run(8, 6)
			Expect(f.ejected).To(BeEmpty(), all.String())
		}
	})

	It("ejects nothing for long requests, one in 200 of two seconds", func() {
		f := newOutlierFleet(30, 40)
		f.responseTime = func(time.Time, string) time.Duration {
			if f.random.IntN(200) == 0 {
				return 2 * time.Second
			}
			return f.healthyResponseTime()
		}
		f.run(20, 6)
		Expect(f.ejected).To(BeEmpty())
	})

	It("ejects nothing on the reports of one entry, even with one report of another for each endpoint", func() {
		f := newOutlierFleet(30, 40)
		for n := range 40 {
			f.report("e1", fleetReport(n, "").Id)
		}
		for n := range 500 {
			f.report("liar", fleetReport(n%40, "").Id)
		}
		Expect(f.ejected).To(BeEmpty())
	})

	It("ejects at most a third of a service", func() {
		f := newOutlierFleet(2, 30)
		for n := range 30 {
			for range 2 {
				f.report("a", fleetReport(n, "").Id)
				f.report("b", fleetReport(n, "").Id)
				f.report("c", fleetReport(n, "").Id)
			}
		}
		Expect(len(f.ejected)).To(Equal(10))
	})

	It("keeps established flows on an ejected endpoint", func() {
		f := newOutlierFleet(2, 30)
		s := f.entries[0]
		p := fleetSYNPacket(1)
		d := s.Decide(start, p)
		Expect(s.EjectOutlier(start, d.ID)).To(BeTrue())
		later := s.Decide(start.Add(time.Millisecond), Packet{Src: p.Src, Dst: p.Dst, Flags: ACK, Seq: 8, Ack: 1, Tag: d.Tag, Len: 10})
		Expect(later.Action).To(Equal(Forward))
		Expect(later.ID).To(Equal(d.ID))
	})

	It("bounds the tracked requests, and drops them after the hang timeout", func() {
		s := fleetSteerer(threeDomains(4))
		f := &flow{key: flowKey{dst: bookingAddr}, backend: s.byID[fleetReport(0, "").Id], requestAt: start, awaiting: true}
		for range 2 * maxPendingRequests {
			s.trackRequest(f)
		}
		Expect(s.pendingRequests).To(HaveLen(maxPendingRequests))
		s.reportHungRequests(start.Add(s.hangTimeout(f)))
		Expect(s.pendingRequests).To(BeEmpty())
	})

	It("uses the target latency of the route", func() {
		s := fleetSteerer(threeDomains(4))
		route := routeTo(bookingAddr, "booking")
		route.TargetLatency = time.Second
		s.SetDocument(start, testDocument(2, route))
		f := &flow{key: flowKey{dst: bookingAddr}}
		Expect(s.hangTimeout(f)).To(Equal(2 * time.Second))
		f.key.dst = documentsAddr
		Expect(s.hangTimeout(f)).To(Equal(minHangTime))
	})
})
