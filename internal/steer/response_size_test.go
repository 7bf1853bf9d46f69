package steer

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("short responses", func() {
	const errorSize = 177 // bytes of an error response
	random := rand.New(rand.NewPCG(3, 4))
	// healthySize draws the size of a successful response.
	healthySize := func(mean, spread float64) uint32 { return 180 + uint32(mean*math.Exp(spread*random.NormFloat64())) }

	var s *Steerer
	var reported map[string]int
	var now time.Time
	BeforeEach(func() {
		now, reported = start, map[string]int{}
		s = fleetSteerer(threeDomains(40))
		s.config.ReportOutlier = func(id string) { reported[id]++ }
	})
	// request sends a request on a new flow and has it answered with the given number of bytes.
	n := 0
	request := func(bytes func(id string) uint32) {
		n++
		now = now.Add(100 * time.Millisecond)
		p := fleetSYNPacket(n)
		d := s.Decide(now, p)
		p = Packet{Src: p.Src, Dst: p.Dst, Flags: ACK, Seq: 8, Ack: 5001, Tag: d.Tag, Len: 100}
		s.Decide(now.Add(time.Millisecond), p)
		size := bytes(d.ID)
		p.Seq, p.Len, p.Ack = 108, 0, 5001+size
		s.Decide(now.Add(60*time.Millisecond), p)
		p.Flags = ACK | FIN
		s.Decide(now.Add(61*time.Millisecond), p)
	}

	for _, route := range []struct {
		name         string
		mean, spread float64
	}{{"all alike", 600, 0.02}, {"spread", 2000, 0.6}, {"large", 40000, 0.7}} {
		It("are reported, and others are not, if the usual sizes are "+route.name, func() {
			bad := map[string]bool{}
			for n := 0; n < 120; n += 21 { // 6 of the 40 in the failure domain
				bad[fleetReport(n, "").Id] = true
			}
			for i := range 3000 {
				request(func(id string) uint32 {
					if bad[id] && i > 100 {
						return errorSize
					}
					return healthySize(route.mean, route.spread)
				})
			}
			others := 0
			for id, count := range reported {
				if !bad[id] {
					others += count
				}
			}
			Expect(len(reported)).To(BeNumerically(">=", len(bad)))
			Expect(others).To(BeNumerically("<", 12), "of 2,550")
		})
	}

	It("are not reported when all responses of a service become short", func() {
		for range 300 {
			request(func(string) uint32 { return healthySize(2000, 0.2) })
		}
		clear(reported)
		for range 1500 {
			request(func(string) uint32 { return healthySize(50, 0.2) })
		}
		Expect(len(reported)).To(BeNumerically("<", 25), "before the averages follow")
		clear(reported)
		for range 300 {
			request(func(string) uint32 { return healthySize(50, 0.2) })
		}
		Expect(reported).To(BeEmpty())
	})

	It("are not reported for unanswered requests, nor among the first responses", func() {
		for range 200 {
			request(func(string) uint32 { return 0 })
		}
		for range minSizeSamples - 1 {
			request(func(string) uint32 { return healthySize(2000, 0.6) })
		}
		Expect(reported).To(BeEmpty())
	})
})
