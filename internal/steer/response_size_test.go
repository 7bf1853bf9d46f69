package steer

import (
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("answers that are shorter than their route's", func() {
	const failing = 177 // bytes of an error
	random := rand.New(rand.NewPCG(3, 4))
	// usual draws the size of an answer that is well.
	usual := func(mean, spread float64) uint32 { return 180 + uint32(mean*math.Exp(spread*random.NormFloat64())) }

	var s *Steerer
	var reported map[string]int
	var now time.Time
	BeforeEach(func() {
		now, reported = start, map[string]int{}
		s = fleetSteerer(threeDomains(40))
		s.config.Hung = func(id string) { reported[id]++ }
	})
	// request plays one request on a flow of its own, answered by so many bytes.
	n := 0
	request := func(bytes func(id string) uint32) {
		n++
		now = now.Add(100 * time.Millisecond)
		p := fleetSynPacket(n)
		d := s.Decide(now, p)
		p = Packet{Src: p.Src, Dst: p.Dst, Flags: Ack, Seq: 8, Ack: 5001, Tag: d.Tag, Len: 100}
		s.Decide(now.Add(time.Millisecond), p)
		size := bytes(d.ID)
		p.Seq, p.Len, p.Ack = 108, 0, 5001+size
		s.Decide(now.Add(60*time.Millisecond), p)
		p.Flags = Ack | Fin
		s.Decide(now.Add(61*time.Millisecond), p)
	}

	for _, route := range []struct {
		name         string
		mean, spread float64
	}{{"all alike", 600, 0.02}, {"spread", 2000, 0.6}, {"large", 40000, 0.7}} {
		It("are reported, and others are not: "+route.name, func() {
			bad := map[string]bool{}
			for n := 0; n < 120; n += 21 { // 6 of the 40 of the failure domain
				bad[fleetReport(n, "").Id] = true
			}
			for i := range 3000 {
				request(func(id string) uint32 {
					if bad[id] && i > 100 {
						return failing
					}
					return usual(route.mean, route.spread)
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

	It("are not found in a service whose answers become short as a whole", func() {
		for range 300 {
			request(func(string) uint32 { return usual(2000, 0.2) })
		}
		clear(reported)
		for range 1500 {
			request(func(string) uint32 { return usual(50, 0.2) })
		}
		Expect(len(reported)).To(BeNumerically("<", 25), "before the usual size follows")
		clear(reported)
		for range 300 {
			request(func(string) uint32 { return usual(50, 0.2) })
		}
		Expect(reported).To(BeEmpty())
	})

	It("are not made of requests that got no answer, nor of the first ones", func() {
		for range 200 {
			request(func(string) uint32 { return 0 })
		}
		for range minSizeSamples - 1 {
			request(func(string) uint32 { return usual(2000, 0.6) })
		}
		Expect(reported).To(BeEmpty())
	})
})
