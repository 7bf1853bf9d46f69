package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a failure domain out of reach", func() {
	// play lets callers open flows for a span, 6 a second, and answers those that reach a
	// failure domain which is not cut off; copies come as callers send them. It returns
	// how many were answered, and how many of them at once, by second.
	play := func(s *Steerer, begin time.Time, seconds int, cut func(domain string) bool) (answered, atOnce []int) {
		const perSecond = 6
		for second := range seconds {
			answered, atOnce = append(answered, 0), append(atOnce, 0)
			for i := range perSecond {
				now := begin.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/perSecond)
				p := fleetSynPacket(second*perSecond + i)
				for copies, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
					p.Copy = copies
					d := s.Decide(now.Add(after), p)
					if d.Action != Forward || cut(s.byID[d.ID].Domain) {
						s.Decide(now.Add(after+openTimeout+sweepInterval), fleetSynPacket(10_000)) // time passes
						continue
					}
					answered[second]++
					if copies == 0 {
						atOnce[second]++
					}
					s.Decide(now.Add(after+time.Millisecond), Packet{Src: p.Src, Dst: p.Dst, Flags: Ack, Seq: p.Seq + 1, Ack: 2, Tag: d.Tag})
					break
				}
			}
		}
		return answered, atOnce
	}
	others := func(domain string) bool { return domain != "plateau" }

	It("is avoided after three endpoints left callers without an answer, and tried again", func() {
		s := fleetSteerer(threeDomains(40))
		s.NoteLeader(start)
		_, atOnce := play(s, start, 4, func(domain string) bool { return domain == "plateau" })
		Expect(atOnce[0]).To(BeNumerically(">=", 3), "they go elsewhere within the first second")
		total := 0
		for _, n := range atOnce {
			total += n
		}
		Expect(total).To(BeNumerically(">=", 12), "half of the flows: the others try whether it is back")
	})

	It("is not avoided for endpoints that crash while others answer", func() {
		s := fleetSteerer(threeDomains(40))
		now := start
		for n := range 9 {
			b := s.byID[fleetReport(3*n, "").Id]
			s.recordDomainFailure(now, b)
			if n%2 == 1 {
				s.markResponsive(now, s.byID[fleetReport(3*n+3, "").Id])
			}
			Expect(s.isAvoided(now, s.byID[fleetReport(60, "").Id])).To(BeFalse())
		}
	})

	It("that is evacuated serves its own callers while it is cut off, and no longer", func() {
		s := fleetSteerer(threeDomains(40))
		s.SetEvacuations(setOf(4, "plateau"))
		led := start.Add(time.Second)
		s.NoteLeader(led)
		answered, _ := play(s, start, 1, others)
		Expect(answered[0]).To(BeZero(), "it may be in touch with the operator's orders")
		answered, atOnce := play(s, led.Add(leaderTimeout+time.Millisecond), 4, others)
		Expect(answered[0]+answered[1]+answered[2]+answered[3]).To(BeNumerically(">=", 22), "of 24")
		Expect(atOnce[3]).To(BeNumerically(">=", 3))
		healed := start.Add(10 * time.Second)
		s.NoteLeader(healed)
		for n := range 60 {
			d := s.Decide(healed, fleetSynPacket(1000+n))
			Expect(s.byID[d.ID].Domain).NotTo(Equal("plateau"))
		}
	})

	It("gets nothing while every failure domain is evacuated, though this entry is cut off", func() {
		s := fleetSteerer(threeDomains(40))
		s.SetEvacuations(setOf(4, "plateau", "almadies", "diamniadio"))
		d := s.Decide(start.Add(time.Minute), fleetSynPacket(1))
		Expect(d.Action).To(Equal(Reset))
		Expect(d.Reason).To(Equal(Evacuated))
	})
})
