package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the timeout of a probe", func() {
	It("follows the round trips to its failure domain, within bounds", func() {
		var unseen *roundTrip
		Expect(unseen.probeTimeout()).To(Equal(defaultProbeTimeout))
		near, far, farther := &roundTrip{}, &roundTrip{}, &roundTrip{}
		for range 50 {
			near.add(2 * time.Millisecond)
			far.add(30 * time.Millisecond)
			farther.add(200 * time.Millisecond)
		}
		Expect(near.probeTimeout()).To(Equal(minProbeTimeout))
		Expect(far.probeTimeout()).To(BeNumerically("~", timeoutRoundTrips*30*time.Millisecond, time.Millisecond))
		Expect(farther.probeTimeout()).To(Equal(maxProbeTimeout))
	})

	It("grows with their deviation", func() {
		steady, spread := &roundTrip{}, &roundTrip{}
		for i := range 50 {
			steady.add(20 * time.Millisecond)
			spread.add(time.Duration(15+10*(i%2)) * time.Millisecond)
		}
		Expect(spread.probeTimeout()).To(BeNumerically(">", steady.probeTimeout()))
	})

	It("is learned from flows answered at the first SYN, by failure domain", func() {
		s := testSteerer()
		d := s.Decide(start, synPacket(1000, 7, 0))
		s.Decide(start.Add(30*time.Millisecond), flowPacket(1000, d.Tag, 8, 1, 10))
		Expect(s.roundTrips).To(HaveKey("plateau"))
		Expect(s.roundTrips["plateau"].mean).To(Equal(30 * time.Millisecond))
	})
})
