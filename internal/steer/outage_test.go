package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a failure domain out of reach", func() {
	// simulate opens flows, retransmits their SYNs as clients do, and answers those that reach a
	// failure domain for which cut is false. It returns, by second, how many flows were answered,
	// and how many at the first SYN.
	simulate := func(s *Steerer, begin time.Time, seconds int, cut func(domain string) bool) (answered, firstTry []int) {
		const perSecond = 6
		for second := range seconds {
			answered, firstTry = append(answered, 0), append(firstTry, 0)
			for i := range perSecond {
				now := begin.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/perSecond)
				p := fleetSYNPacket(second*perSecond + i)
				for retransmissions, after := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
					p.Retransmission = retransmissions
					d := s.Decide(now.Add(after), p)
					if d.Action != Forward || cut(s.byID[d.ID].Domain) {
						s.Decide(now.Add(after+openTimeout+sweepInterval), fleetSYNPacket(10_000)) // lets the sweep run
						continue
					}
					answered[second]++
					if retransmissions == 0 {
						firstTry[second]++
					}
					s.Decide(now.Add(after+time.Millisecond), Packet{Src: p.Src, Dst: p.Dst, Flags: ACK, Seq: p.Seq + 1, Ack: 2, Tag: d.Tag})
					break
				}
			}
		}
		return answered, firstTry
	}
	isRemote := func(domain string) bool { return domain != "plateau" }

	It("is avoided after three endpoints left SYNs unanswered, and probed again", func() {
		s := fleetSteerer(threeDomains(40))
		s.NoteLeader(start)
		_, firstTry := simulate(s, start, 4, func(domain string) bool { return domain == "plateau" })
		Expect(firstTry[0]).To(BeNumerically(">=", 3), "new flows go elsewhere within the first second")
		total := 0
		for _, n := range firstTry {
			total += n
		}
		Expect(total).To(BeNumerically(">=", 12), "half of the flows; the others are probes")
	})

	It("is not avoided when endpoints crash while others answer", func() {
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

	It("serves its own clients while it is evacuated and cut off, and no longer", func() {
		s := fleetSteerer(threeDomains(40))
		s.SetEvacuations(setOf(4, "plateau"))
		leaderSeen := start.Add(time.Second)
		s.NoteLeader(leaderSeen)
		answered, _ := simulate(s, start, 1, isRemote)
		Expect(answered[0]).To(BeZero(), "the entry may still be in contact with the leader")
		answered, firstTry := simulate(s, leaderSeen.Add(leaderTimeout+time.Millisecond), 4, isRemote)
		Expect(answered[0]+answered[1]+answered[2]+answered[3]).To(BeNumerically(">=", 22), "of 24")
		Expect(firstTry[3]).To(BeNumerically(">=", 3))
		healed := start.Add(10 * time.Second)
		s.NoteLeader(healed)
		for n := range 60 {
			d := s.Decide(healed, fleetSYNPacket(1000+n))
			Expect(s.byID[d.ID].Domain).NotTo(Equal("plateau"))
		}
	})

	It("gets no new flow if all are evacuated, even at a cut-off entry", func() {
		s := fleetSteerer(threeDomains(40))
		s.SetEvacuations(setOf(4, "plateau", "almadies", "diamniadio"))
		d := s.Decide(start.Add(time.Minute), fleetSYNPacket(1))
		Expect(d.Action).To(Equal(Reset))
		Expect(d.Reason).To(Equal(Evacuated))
	})
})
