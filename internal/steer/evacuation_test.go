package steer

import (
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/wire"
)

// setOf returns the evacuation set of some failure domains with a revision.
func setOf(revision uint64, domains ...string) *evacuation.Set {
	return evacuation.FromMessage(&wire.Evacuations{Revision: revision, Domains: domains})
}

// threeDomains returns the reports of a service with some endpoints in each of three failure
// domains.
func threeDomains(each int) []*wire.EndpointReport {
	var all []*wire.EndpointReport
	for n := range 3 * each {
		all = append(all, fleetReport(n, []string{"plateau", "almadies", "diamniadio"}[n%3]))
	}
	return all
}

var _ = Describe("an evacuated failure domain", func() {
	var s *Steerer
	// domainOf returns the failure domain that a decision forwards to.
	domainOf := func(d Decision) string { return s.byID[d.ID].Domain }
	// placedIn counts new flows by failure domain.
	placedIn := func(flows int) map[string]int {
		counts := map[string]int{}
		for n := range flows {
			p := fleetSYNPacket(n)
			if d := s.Decide(start, p); d.Action == Forward {
				counts[domainOf(d)]++
			}
			s.removeFlow(s.flows[flowKey{p.Src, p.Dst}])
		}
		return counts
	}
	BeforeEach(func() {
		s = fleetSteerer(threeDomains(40))
		s.NoteLeader(start) // in contact with the leader
	})

	It("gets no new flow, and the others share its load", func() {
		Expect(placedIn(3000)).To(HaveLen(1))
		Expect(s.SetEvacuations(setOf(4, "plateau"))).To(BeTrue())
		counts := placedIn(3000)
		Expect(counts).NotTo(HaveKey("plateau"))
		Expect(counts["almadies"]).To(BeNumerically("~", 1500, 150))
		Expect(counts["diamniadio"]).To(BeNumerically("~", 1500, 150))
	})

	It("keeps its established flows, and gets new ones after the evacuation ends", func() {
		syn := fleetSYNPacket(1)
		d := s.Decide(start, syn)
		s.SetEvacuations(setOf(4, "plateau"))
		later := s.Decide(start.Add(time.Second), Packet{Src: syn.Src, Dst: syn.Dst, Flags: ACK, Seq: 8, Ack: 2, Tag: d.Tag, Len: 10})
		Expect(later.Action).To(Equal(Forward))
		Expect(later.ID).To(Equal(d.ID))
		s.SetEvacuations(setOf(6))
		Expect(placedIn(100)).To(Equal(map[string]int{"plateau": 100}))
	})

	It("is not reopened by an older set", func() {
		s.SetEvacuations(setOf(4, "plateau"))
		Expect(s.SetEvacuations(setOf(3))).To(BeFalse())
		Expect(s.SetEvacuations(nil)).To(BeFalse())
		Expect(placedIn(100)).NotTo(HaveKey("plateau"))
	})

	It("includes endpoints learned before and after the set", func() {
		s.SetEvacuations(setOf(4, "plateau", "almadies"))
		s.Learn(start, "c1", reports(fleetReport(900, "plateau")))
		Expect(placedIn(300)).To(Equal(map[string]int{"diamniadio": 300}))
	})

	It("gets no retransmitted SYN", func() {
		syn := fleetSYNPacket(1)
		s.Decide(start, syn)
		s.SetEvacuations(setOf(4, "plateau"))
		syn.Retransmission = 1
		Expect(domainOf(s.Decide(start.Add(200*time.Millisecond), syn))).NotTo(Equal("plateau"))
	})

	It("gets no retransmitted SYN if all are evacuated, and the flow, which may be established, is not reset", func() {
		syn := fleetSYNPacket(1)
		s.Decide(start, syn)
		s.SetEvacuations(setOf(4, "plateau", "almadies", "diamniadio"))
		syn.Retransmission = 1
		d := s.Decide(start.Add(200*time.Millisecond), syn)
		Expect(d.Action).To(Equal(Drop))
		Expect(d.Reason).To(Equal(Evacuated))
	})

	It("has new flows reset, with an explanation, if all are evacuated", func() {
		s.SetEvacuations(setOf(4, "plateau", "almadies", "diamniadio"))
		syn := fleetSYNPacket(1)
		d := s.Decide(start, syn)
		Expect(d.Action).To(Equal(Reset))
		Expect(d.Reason).To(Equal(Evacuated))
		explanation := s.Explain(start, syn.Src, syn.Dst)
		Expect(explanation.Reason).To(Equal("evacuated"))
		Expect(explanation.NextStep).To(ContainSubstring("--undo"))
		Expect(explanation.Candidates[0].Verdict).To(ContainSubstring("is evacuated by revision 4"))
	})

	It("gets no probes of unreachable endpoints", func() {
		probed := 0
		s.config.StartProbe = func(Probe) bool { probed++; return true }
		b := s.byID["booking-0"]
		b.reach.lost, s.lost[b] = true, true
		s.SetEvacuations(setOf(4, "plateau"))
		s.probeLost(start)
		Expect(probed).To(BeZero())
		s.SetEvacuations(setOf(5))
		s.probeLost(start)
		Expect(probed).To(Equal(1))
	})

	It("gets no new flow under any sequence of reports, sets, silence and suspicion", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			domains := []string{"plateau", "almadies", "diamniadio"}
			s := fleetSteerer(nil)
			s.config.OnSuspect = func(string, bool) {}
			s.NoteLeader(start)
			for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
				n := rapid.IntRange(0, 30).Draw(t, "endpoint")
				switch rapid.IntRange(0, 4).Draw(t, "what") {
				case 0:
					m := fleetReport(n, domains[n%3])
					m.Sequence, m.Silent = uint64(step+1), rapid.Bool().Draw(t, "silent")
					m.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
					s.Learn(start, "c1", reports(m))
				case 1:
					set := rapid.SliceOfDistinct(rapid.SampledFrom(domains), rapid.ID[string]).Draw(t, "set")
					s.SetEvacuations(setOf(rapid.Uint64Range(0, 60).Draw(t, "revision"), set...))
				case 2:
					if b := s.byID[fleetReport(n, "").Id]; b != nil {
						b.suspectUntil = start.Add(time.Minute)
					}
				default:
					p := Packet{
						Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(1+n)), Dst: bookingAddr, Flags: SYN, Seq: 7,
						Retransmission: rapid.IntRange(0, 2).Draw(t, "copy"),
					}
					d := s.Decide(start, p)
					if d.Action == Forward && slices.Contains(s.Evacuations().Domains(), s.byID[d.ID].Domain) {
						t.Fatalf("a SYN goes to %s in evacuated %s", d.ID, s.byID[d.ID].Domain)
					}
				}
			}
		})
	})
})
