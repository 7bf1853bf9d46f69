package steer

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

// probeRecorder records the probes and notices of a Steerer.
type probeRecorder struct {
	probes    []Probe
	queueFull bool
	notices   []string // endpoint IDs of the notices to other entries
}

func (r *probeRecorder) probe(q Probe) bool {
	if r.queueFull {
		return false
	}
	r.probes = append(r.probes, q)
	return true
}

func (r *probeRecorder) notify(id string) { r.notices = append(r.notices, id) }

// take removes and returns the oldest probe.
func (r *probeRecorder) take() Probe {
	Expect(r.probes).NotTo(BeEmpty())
	q := r.probes[0]
	r.probes = r.probes[1:]
	return q
}

var _ = Describe("probing endpoints", func() {
	const probeDuration = 100 * time.Millisecond
	var s *Steerer
	var probes *probeRecorder
	var now time.Time
	var dead, other uint32 // tags of two flows

	// request sends a request on a flow, or retransmits it.
	request := func(port uint16, tag, seq uint32) Decision { return s.Decide(now, flowPacket(port, tag, seq, 1, 10)) }
	// otherResponds has the other endpoint answer a client.
	seq, ack := uint32(100), uint32(1)
	otherResponds := func() {
		seq, ack = seq+10, ack+10
		s.Decide(now, flowPacket(2000, other, seq, ack, 10))
	}
	// miss has the oldest probe time out.
	miss := func() []EndedFlow {
		q := probes.take()
		now = now.Add(probeDuration)
		otherResponds()
		return s.FinishProbe(now, q, Missed)
	}

	BeforeEach(func() {
		probes, now, seq, ack = &probeRecorder{}, start, 100, 1
		s = New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 100, HeartbeatInterval: time.Second, StartProbe: probes.probe, NotifyMiss: probes.notify})
		s.SetDocument(now, testDocument(1, routeTo(bookingAddr, "booking"), routeTo(documentsAddr, "documents")))
		s.Learn(now, "c1", reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil)))
		first := s.Decide(now, synPacket(1000, 7, 0))
		second := s.Decide(now, synPacket(2000, 7, 0))
		dead, other = first.Tag, second.Tag
		Expect(dead).NotTo(Equal(other))
		now = now.Add(time.Millisecond)
		request(1000, dead, 8)
		request(2000, other, 8)
	})

	It("starts when a client retransmits data, not when packets are reordered", func() {
		now = now.Add(time.Millisecond)
		request(1000, dead, 8)
		Expect(probes.probes).To(BeEmpty())
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		q := probes.take()
		Expect(q.ID).To(Equal(s.byTag[dead].ID))
		Expect(q.Why).To(Equal(UnackedData))
		request(1000, dead, 8)
		Expect(probes.probes).To(BeEmpty(), "one probe at a time")
	})

	It("starts when a SYN is not answered", func() {
		s.Decide(now, synPacket(3000, 7, 0))
		now = now.Add(2 * openTimeout)
		s.Decide(now, flowPacket(2000, other, 18, 11, 0))
		Expect(probes.take().Why).To(Equal(UnansweredSYN))
	})

	It("starts at once when the heartbeats of an unreachable endpoint resume", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		miss()
		miss()
		b := s.byTag[dead]
		heartbeat := func(sequence uint64, silent bool) {
			s.Learn(now, "c1", reports(report("booking", int(b.Number), func(m *wire.EndpointReport) { m.Sequence, m.Silent = sequence, silent })))
		}
		heartbeat(2, true)
		Expect(probes.probes).To(BeEmpty())
		heartbeat(3, false)
		Expect(probes.take().Why).To(Equal(OutOfReach))
	})

	It("ends flows after two consecutive misses: tracked ones at once, others at their next packet", func() {
		s.Decide(now, flowPacket(4000, dead, 50, 3, 0)) // carried by another entry until now, and idle
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		Expect(probes.probes).To(HaveLen(1))
		Expect(probes.probes[0].Why).To(Equal(Retry))
		Expect(miss()).To(Equal([]EndedFlow{{Src: synPacket(1000, 0, 0).Src, Dst: bookingAddr, Seq: 1}}))

		d := s.Decide(now, flowPacket(4000, dead, 50, 3, 10))
		Expect(d).To(Equal(Decision{Action: Reset, Reason: EndpointLost, Seq: 3, ID: s.byTag[dead].ID}))
		Expect(s.Decide(now, synPacket(5000, 7, 0)).Tag).To(Equal(other), "new flows avoid it")
		Expect(s.byTag[dead].flows).To(BeZero())
	})

	It("ends no flow while no other endpoint answers, as the fault may be at this entry", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		for range maxInconclusive {
			q := probes.take()
			now = now.Add(probeDuration)
			Expect(s.FinishProbe(now, q, Missed)).To(BeEmpty())
		}
		Expect(probes.probes).To(BeEmpty(), "until there is new evidence")
		Expect(request(1000, dead, 8).Action).To(Equal(Forward))
	})

	It("ends no flow if probes are inconclusive, or the probe queue is full", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		for range maxInconclusive {
			q := probes.take()
			now = now.Add(5 * probeDuration)
			otherResponds()
			Expect(s.FinishProbe(now, q, Inconclusive)).To(BeEmpty())
		}
		probes.queueFull = true
		now = now.Add(time.Second)
		request(1000, dead, 8)
		Expect(s.byTag[dead].reach.probing).To(BeFalse())
		probes.queueFull = false
		request(1000, dead, 8)
		Expect(probes.probes).To(HaveLen(1))
	})

	It("ends no flow if the endpoint answers a client meanwhile, or a probe in between", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		q := probes.take()
		s.Decide(now.Add(probeDuration/2), flowPacket(1000, dead, 18, 9, 0))
		now = now.Add(probeDuration)
		otherResponds()
		Expect(s.FinishProbe(now, q, Missed)).To(BeEmpty())
		Expect(probes.probes).To(BeEmpty())

		now = now.Add(time.Second)
		request(1000, dead, 18)
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 18)
		Expect(miss()).To(BeEmpty())
		Expect(s.FinishProbe(now, probes.take(), Reached)).To(BeEmpty())
		now = now.Add(probeInterval)
		request(1000, dead, 18)
		Expect(miss()).To(BeEmpty(), "only consecutive misses count")
	})

	It("does not count old misses", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		for range maxInconclusive { // the next probes are inconclusive
			q := probes.take()
			now = now.Add(missValidity)
			s.FinishProbe(now, q, Inconclusive)
		}
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		Expect(s.byTag[dead].reach.lost).To(BeFalse())
	})

	It("skips leaving endpoints, which may refuse connections while they serve their flows", func() {
		leaving := func(n int) *wire.EndpointReport {
			return report("booking", n, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true })
		}
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		q := probes.take()
		s.Learn(now, "c1", reports(leaving(1), leaving(2)))
		now = now.Add(probeDuration)
		otherResponds()
		Expect(s.FinishProbe(now, q, Missed)).To(BeEmpty())
		request(1000, dead, 8)
		Expect(probes.probes).To(BeEmpty())
	})

	It("marks an endpoint as ended once another one at its address answers a SYN", func() {
		b := s.byTag[dead]
		s.Learn(now, "c1", reports(report("booking", 9, func(m *wire.EndpointReport) { m.Address = b.Addr.String() })))
		successor := s.byID["booking-9"]
		q := Probe{ID: b.ID, startedAt: now}
		b.reach.misses = 1
		s.FinishProbe(now, q, Reached)
		Expect(b.reach.misses).To(Equal(1), "the other endpoint may be the one that accepts connections")

		answerSYN := func(first Packet, retransmissions int) {
			first.Retransmission = retransmissions
			s.trackOpening(now, first, successor)
			now = now.Add(time.Millisecond)
			s.Decide(now, flowPacket(first.Src.Port(), successor.tag, first.Seq+1, 1, 0))
		}
		b.learnedAt = now
		answerSYN(synPacket(7000, 7, 0), 0) // sent at the moment when b became known
		Expect(b.reach.replaced).To(BeFalse())
		answerSYN(synPacket(7001, 7, 0), 1) // an earlier SYN may have been answered
		Expect(b.reach.replaced).To(BeFalse())
		answerSYN(synPacket(7002, 7, 0), 0)
		Expect(b.reach.replaced).To(BeTrue())
		now = now.Add(time.Minute)
		Expect(s.Decide(now, flowPacket(1000, dead, 8, 1, 10)).Reason).To(Equal(EndpointLost))
		s.markReachable(b)
		Expect(b.reach.lost).To(BeTrue(), "permanently")
		Expect(successor.reach.lost).To(BeFalse())
	})

	It("ends the flows of a superseded endpoint when clients retransmit, though its address accepts connections", func() {
		b := s.byTag[dead]
		stall := func(why Evidence) []EndedFlow {
			now = now.Add(probeInterval)
			return s.FinishProbe(now, Probe{ID: b.ID, Why: why, startedAt: now.Add(-time.Millisecond)}, Reached)
		}
		openFlow := func() {
			p := synPacket(7100, 7, 0)
			s.trackOpening(now, p, b)
			s.flows[flowKey{p.Src, p.Dst}].established = true
		}
		openFlow()
		s.Learn(now, "c1", reports(report("booking", 9, func(m *wire.EndpointReport) { m.Address = b.Addr.String() })))
		Expect(append(stall(UnackedData), stall(UnackedData)...)).To(BeEmpty(), "it is not silent: the other endpoint may have ended")

		for _, t := range s.reporters {
			t.silent[b.ID] = true
		}
		s.updateSilence(now, b)
		Expect(s.isSuperseded(b)).To(BeTrue())
		Expect(append(stall(UnansweredSYN), stall(Retry)...)).To(BeEmpty(), "no client of an established flow waits")
		Expect(stall(UnackedData)).To(BeEmpty(), "one packet may be lost")
		s.markResponsive(now, b)
		Expect(stall(UnackedData)).To(BeEmpty(), "it has answered a client meanwhile")
		Expect(stall(UnackedData)).NotTo(BeEmpty())
		Expect(s.Decide(now, flowPacket(1000, dead, 8, 1, 10)).Reason).To(Equal(EndpointLost))
	})

	It("notifies other entries of own misses, once", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		miss()
		Expect(probes.notices).To(ConsistOf(s.byTag[dead].ID))
		miss()
		Expect(probes.notices).To(HaveLen(1))

		s.PeerMissed(now, s.byTag[dead].ID)
		Expect(probes.probes).To(BeEmpty(), "already known to be out of reach")
		s.PeerMissed(now, "nobody")
		s.PeerMissed(now, "documents-3")
		Expect(probes.probes).To(BeEmpty(), "no flow on it is tracked here")
		Expect(s.byID["documents-3"].isSuspect(now)).To(BeTrue())
		Expect(s.byID["documents-3"].reach.lost).To(BeFalse())
		s.PeerMissed(now, s.byTag[other].ID)
		Expect(probes.take().Why).To(Equal(PeerReported))
		Expect(request(2000, other, 8).Action).To(Equal(Forward), "a notice alone ends no flow")
	})

	It("restores an endpoint after an accepted probe or an answered flow", func() {
		makeUnreachable := func() {
			now = now.Add(5 * time.Second) // less than the idle timeout
			request(1000, dead, 8)
			now = now.Add(200 * time.Millisecond)
			request(1000, dead, 8)
			miss()
			miss()
			Expect(s.byTag[dead].reach.lost).To(BeTrue())
		}
		makeUnreachable()
		b := s.byTag[dead]
		s.Decide(now, synPacket(6000, 7, 0))
		now = now.Add(minReprobeDelay)
		otherResponds()
		s.Decide(now.Add(sweepInterval), synPacket(6001, 7, 0))
		Expect(probes.probes).To(ContainElement(And(HaveField("ID", b.ID), HaveField("Why", OutOfReach))))
		s.FinishProbe(now, Probe{ID: b.ID}, Reached)
		probes.probes = nil
		Expect(b.reach.lost).To(BeFalse())
		makeUnreachable()
		s.establish(now, &flow{backend: b}, b)
		Expect(b.reach.lost).To(BeFalse())
		makeUnreachable()
		s.Learn(now, "c1", reports(report("booking", int(b.Number), func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true })))
		Expect(b.reach.lost).To(BeFalse(), "it reported that it is leaving")
	})

	It("is repeated before an old miss resets a flow", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		miss()
		miss()
		now = now.Add(missValidity + time.Millisecond)
		d := s.Decide(now, flowPacket(4000, dead, 50, 3, 10))
		Expect(d.Action).To(Equal(Forward))
		q := probes.take()
		Expect(q.Why).To(Equal(OutOfReach))
		now = now.Add(probeDuration)
		otherResponds()
		Expect(s.FinishProbe(now, q, Missed)).To(ConsistOf(HaveField("Src", synPacket(4000, 0, 0).Src)))
	})

	It("ends only flows through the entry that cannot reach the endpoint", func() {
		otherProbes := &probeRecorder{}
		otherEntry := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 100, HeartbeatInterval: time.Second, StartProbe: otherProbes.probe, NotifyMiss: otherProbes.notify})
		otherEntry.SetDocument(now, testDocument(1, routeTo(bookingAddr, "booking")))
		otherEntry.Learn(now, "c1", reports(report("booking", 1, nil), report("booking", 2, nil)))
		otherEntry.Decide(now, flowPacket(1500, dead, 8, 1, 10)) // a flow on the endpoint through the other entry

		now = now.Add(time.Second)
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		Expect(miss()).To(HaveLen(1), "the flow through this entry cannot continue")
		Expect(probes.notices).To(HaveLen(1))

		otherEntry.PeerMissed(now, probes.notices[0])
		q := otherProbes.take()
		Expect(q.Why).To(Equal(PeerReported))
		Expect(otherEntry.FinishProbe(now, q, Reached)).To(BeEmpty())
		Expect(otherEntry.Decide(now, flowPacket(1500, dead, 18, 2, 10)).Reason).To(Equal(Steered))
		Expect(otherEntry.Decide(now, flowPacket(1000, dead, 18, 2, 10)).Reason).To(Equal(Steered), "routers may have moved the flow to the other entry")
		Expect(otherEntry.Counts(now).Lost).To(BeZero())
	})

	It("never ends flows of an endpoint that accepts connections, whatever packets clients retransmit", func() {
		for seed := range uint64(100) {
			random := rand.New(rand.NewPCG(seed, 5))
			probes.probes = nil
			for range 200 {
				now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
				port, tag := uint16(1000), dead
				if random.IntN(2) == 0 {
					port, tag = 2000, other
				}
				var d Decision
				switch random.IntN(3) {
				case 0:
					d = s.Decide(now, flowPacket(port, tag, 8+uint32(random.IntN(3)), uint32(random.IntN(30)), 10))
				case 1:
					d = s.Decide(now, synPacket(uint16(3000+random.IntN(50)), 7, random.IntN(3)))
				default:
					if len(probes.probes) == 0 {
						continue
					}
					outcome := Reached // the endpoint accepts connections; a single packet may be lost
					if q := probes.take(); q.Why != Retry {
						outcome = []Outcome{Reached, Missed, Inconclusive}[random.IntN(3)]
						Expect(s.FinishProbe(now, q, outcome)).To(BeEmpty())
					} else {
						Expect(s.FinishProbe(now, q, outcome)).To(BeEmpty())
					}
				}
				Expect(d.Reason).NotTo(Equal(EndpointLost))
			}
		}
	})
})
