package steer

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

// probeRecorder keeps the questions that a Steerer has probeRecorder.
type probeRecorder struct {
	questions []Question
	full      bool
	notices   []string // of which other entries were told
}

func (a *probeRecorder) ask(q Question) bool {
	if a.full {
		return false
	}
	a.questions = append(a.questions, q)
	return true
}

func (a *probeRecorder) notify(id string) { a.notices = append(a.notices, id) }

// take returns the oldest question.
func (a *probeRecorder) take() Question {
	Expect(a.questions).NotTo(BeEmpty())
	q := a.questions[0]
	a.questions = a.questions[1:]
	return q
}

var _ = Describe("whether endpoints can be reached", func() {
	const took = 100 * time.Millisecond
	var s *Steerer
	var a *probeRecorder
	var now time.Time
	var dead, other uint32 // tags of two flows

	// request sends a request on a flow, or again the one before.
	request := func(port uint16, tag, seq uint32) Decision { return s.Decide(now, flowPacket(port, tag, seq, 1, 10)) }
	// otherLives has another endpoint answer a caller.
	seq, ack := uint32(100), uint32(1)
	otherLives := func() {
		seq, ack = seq+10, ack+10
		s.Decide(now, flowPacket(2000, other, seq, ack, 10))
	}
	// miss lets the oldest question go without an answer.
	miss := func() []Ended {
		q := a.take()
		now = now.Add(took)
		otherLives()
		return s.Answered(now, q, Missed)
	}

	BeforeEach(func() {
		a, now, seq, ack = &probeRecorder{}, start, 100, 1
		s = New(Config{Domain: "plateau", MaxFlow: time.Minute, MaxFlows: 100, Beat: time.Second, Ask: a.ask, Tell: a.notify})
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

	It("are asked when a caller repeats data, not when packets only overtake each other", func() {
		now = now.Add(time.Millisecond)
		request(1000, dead, 8)
		Expect(a.questions).To(BeEmpty())
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		q := a.take()
		Expect(q.ID).To(Equal(s.byTag[dead].ID))
		Expect(q.Why).To(Equal(Unacked))
		request(1000, dead, 8)
		Expect(a.questions).To(BeEmpty(), "one question at a time")
	})

	It("are asked when an opening packet is not answered", func() {
		s.Decide(now, synPacket(3000, 7, 0))
		now = now.Add(2 * openTimeout)
		s.Decide(now, flowPacket(2000, other, 18, 11, 0))
		Expect(a.take().Why).To(Equal(Unopened))
	})

	It("are asked at once when they were out of reach and their heartbeats are heard again", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		miss()
		miss()
		b := s.byTag[dead]
		beat := func(sequence uint64, silent bool) {
			s.Learn(now, "c1", reports(report("booking", int(b.Number), func(m *wire.EndpointReport) { m.Sequence, m.Silent = sequence, silent })))
		}
		beat(2, true)
		Expect(a.questions).To(BeEmpty())
		beat(3, false)
		Expect(a.take().Why).To(Equal(Lost))
	})

	It("end their flows after two misses in a row: at once those that are known, others at their next packet", func() {
		s.Decide(now, flowPacket(4000, dead, 50, 3, 0)) // carried by another entry until now, and idle
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		Expect(a.questions).To(HaveLen(1))
		Expect(a.questions[0].Why).To(Equal(Again))
		Expect(miss()).To(Equal([]Ended{{Src: synPacket(1000, 0, 0).Src, Dst: bookingAddr, Seq: 1}}))

		d := s.Decide(now, flowPacket(4000, dead, 50, 3, 10))
		Expect(d).To(Equal(Decision{Action: Reset, Reason: EndpointLost, Seq: 3, ID: s.byTag[dead].ID}))
		Expect(s.Decide(now, synPacket(5000, 7, 0)).Tag).To(Equal(other), "new flows avoid it")
		Expect(s.byTag[dead].flows).To(BeZero())
	})

	It("keep their flows where this entry may be to blame: nobody else answers either", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		for range maxInconclusive {
			q := a.take()
			now = now.Add(took)
			Expect(s.Answered(now, q, Missed)).To(BeEmpty())
		}
		Expect(a.questions).To(BeEmpty(), "until new evidence comes")
		Expect(request(1000, dead, 8).Action).To(Equal(Forward))
	})

	It("keep them where this entry was too slow to tell, or the queue of questions was full", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		for range maxInconclusive {
			q := a.take()
			now = now.Add(5 * took)
			otherLives()
			Expect(s.Answered(now, q, Unsure)).To(BeEmpty())
		}
		a.full = true
		now = now.Add(time.Second)
		request(1000, dead, 8)
		Expect(s.byTag[dead].reach.probing).To(BeFalse())
		a.full = false
		request(1000, dead, 8)
		Expect(a.questions).To(HaveLen(1))
	})

	It("keep them where they answer a caller while they are asked, or a question", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		q := a.take()
		s.Decide(now.Add(took/2), flowPacket(1000, dead, 18, 9, 0))
		now = now.Add(took)
		otherLives()
		Expect(s.Answered(now, q, Missed)).To(BeEmpty())
		Expect(a.questions).To(BeEmpty())

		now = now.Add(time.Second)
		request(1000, dead, 18)
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 18)
		Expect(miss()).To(BeEmpty())
		Expect(s.Answered(now, a.take(), Reached)).To(BeEmpty())
		now = now.Add(probeInterval)
		request(1000, dead, 18)
		Expect(miss()).To(BeEmpty(), "misses are counted in a row")
	})

	It("count misses in a row, not those of long ago", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		for range maxInconclusive { // nothing comes of the next ones
			q := a.take()
			now = now.Add(missValidity)
			s.Answered(now, q, Unsure)
		}
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		Expect(s.byTag[dead].reach.lost).To(BeFalse())
	})

	It("are not asked while they leave: they may accept no connection and serve their flows", func() {
		leaving := func(n int) *wire.EndpointReport {
			return report("booking", n, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true })
		}
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		q := a.take()
		s.Learn(now, "c1", reports(leaving(1), leaving(2)))
		now = now.Add(took)
		otherLives()
		Expect(s.Answered(now, q, Missed)).To(BeEmpty())
		request(1000, dead, 8)
		Expect(a.questions).To(BeEmpty())
	})

	It("have ended once another one at their address answers an opening packet that was sent to it", func() {
		b := s.byTag[dead]
		s.Learn(now, "c1", reports(report("booking", 9, func(m *wire.EndpointReport) { m.Address = b.Addr.String() })))
		next := s.byID["booking-9"]
		q := Question{ID: b.ID, startedAt: now}
		b.reach.misses = 1
		s.Answered(now, q, Reached)
		Expect(b.reach.misses).To(Equal(1), "it may be the other one that accepts connections")

		answered := func(first Packet, copies int) {
			first.Copy = copies
			s.trackOpening(now, first, next)
			now = now.Add(time.Millisecond)
			s.Decide(now, flowPacket(first.Src.Port(), next.tag, first.Seq+1, 1, 0))
		}
		b.learnedAt = now
		answered(synPacket(7000, 7, 0), 0) // sent at the moment that it became known
		Expect(b.reach.replaced).To(BeFalse())
		answered(synPacket(7001, 7, 0), 1) // an earlier copy may have been answered
		Expect(b.reach.replaced).To(BeFalse())
		answered(synPacket(7002, 7, 0), 0)
		Expect(b.reach.replaced).To(BeTrue())
		now = now.Add(time.Minute)
		Expect(s.Decide(now, flowPacket(1000, dead, 8, 1, 10)).Reason).To(Equal(EndpointLost))
		s.markReachable(b)
		Expect(b.reach.lost).To(BeTrue(), "for good")
		Expect(next.reach.lost).To(BeFalse())
	})

	It("have ended once callers repeat data to one that heartbeats call superseded, though its address answers", func() {
		b := s.byTag[dead]
		stall := func(why Evidence) []Ended {
			now = now.Add(probeInterval)
			return s.Answered(now, Question{ID: b.ID, Why: why, startedAt: now.Add(-time.Millisecond)}, Reached)
		}
		open := func() {
			p := synPacket(7100, 7, 0)
			s.trackOpening(now, p, b)
			s.flows[flowKey{p.Src, p.Dst}].established = true
		}
		open()
		s.Learn(now, "c1", reports(report("booking", 9, func(m *wire.EndpointReport) { m.Address = b.Addr.String() })))
		Expect(append(stall(Unacked), stall(Unacked)...)).To(BeEmpty(), "it is not silent: the other one is the one that may have ended")

		for _, t := range s.reporters {
			t.silent[b.ID] = true
		}
		s.updateSilence(now, b)
		Expect(s.isSuperseded(b)).To(BeTrue())
		Expect(append(stall(Unopened), stall(Again)...)).To(BeEmpty(), "no caller of an open flow waits")
		Expect(stall(Unacked)).To(BeEmpty(), "one packet may be lost")
		s.markResponsive(now, b)
		Expect(stall(Unacked)).To(BeEmpty(), "it has answered a caller meanwhile")
		Expect(stall(Unacked)).NotTo(BeEmpty())
		Expect(s.Decide(now, flowPacket(1000, dead, 8, 1, 10)).Reason).To(Equal(EndpointLost))
	})

	It("are told of to other entries, once and only by who found out itself", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		miss()
		Expect(a.notices).To(ConsistOf(s.byTag[dead].ID))
		miss()
		Expect(a.notices).To(HaveLen(1))

		s.Doubted(now, s.byTag[dead].ID)
		Expect(a.questions).To(BeEmpty(), "it is known to be out of reach")
		s.Doubted(now, "nobody")
		s.Doubted(now, "documents-3")
		Expect(a.questions).To(BeEmpty(), "no flow on it is known here")
		Expect(s.byID["documents-3"].isSuspect(now)).To(BeTrue())
		Expect(s.byID["documents-3"].reach.lost).To(BeFalse())
		s.Doubted(now, s.byTag[other].ID)
		Expect(a.take().Why).To(Equal(Told))
		Expect(request(2000, other, 8).Action).To(Equal(Forward), "what others say ends no flow")
	})

	It("are found again by a later question, and by a flow that they answer", func() {
		lose := func() {
			now = now.Add(5 * time.Second) // less than flows are remembered
			request(1000, dead, 8)
			now = now.Add(200 * time.Millisecond)
			request(1000, dead, 8)
			miss()
			miss()
			Expect(s.byTag[dead].reach.lost).To(BeTrue())
		}
		lose()
		b := s.byTag[dead]
		s.Decide(now, synPacket(6000, 7, 0))
		now = now.Add(minReprobeDelay)
		otherLives()
		s.Decide(now.Add(sweepInterval), synPacket(6001, 7, 0))
		Expect(a.questions).To(ContainElement(And(HaveField("ID", b.ID), HaveField("Why", Lost))))
		s.Answered(now, Question{ID: b.ID}, Reached)
		a.questions = nil
		Expect(b.reach.lost).To(BeFalse())
		lose()
		s.establish(now, &flow{backend: b}, b)
		Expect(b.reach.lost).To(BeFalse())
		lose()
		s.Learn(now, "c1", reports(report("booking", int(b.Number), func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 2, true })))
		Expect(b.reach.lost).To(BeFalse(), "it was heard to leave")
	})

	It("are asked again before a flow is reset by what was found long ago", func() {
		now = now.Add(200 * time.Millisecond)
		request(1000, dead, 8)
		miss()
		miss()
		now = now.Add(missValidity + time.Millisecond)
		d := s.Decide(now, flowPacket(4000, dead, 50, 3, 10))
		Expect(d.Action).To(Equal(Forward))
		q := a.take()
		Expect(q.Why).To(Equal(Lost))
		now = now.Add(took)
		otherLives()
		Expect(s.Answered(now, q, Missed)).To(ConsistOf(HaveField("Src", synPacket(4000, 0, 0).Src)))
	})

	It("end only the flows that come through the entry out of whose reach they are", func() {
		b := &probeRecorder{}
		beside := New(Config{Domain: "plateau", MaxFlow: time.Minute, MaxFlows: 100, Beat: time.Second, Ask: b.ask, Tell: b.notify})
		beside.SetDocument(now, testDocument(1, routeTo(bookingAddr, "booking")))
		beside.Learn(now, "c1", reports(report("booking", 1, nil), report("booking", 2, nil)))
		beside.Decide(now, flowPacket(1500, dead, 8, 1, 10)) // a flow of the endpoint that comes through the other entry

		now = now.Add(time.Second)
		request(1000, dead, 8)
		Expect(miss()).To(BeEmpty())
		Expect(miss()).To(HaveLen(1), "the flow that comes through this entry cannot go on")
		Expect(a.notices).To(HaveLen(1))

		beside.Doubted(now, a.notices[0])
		q := b.take()
		Expect(q.Why).To(Equal(Told))
		Expect(beside.Answered(now, q, Reached)).To(BeEmpty())
		Expect(beside.Decide(now, flowPacket(1500, dead, 18, 2, 10)).Reason).To(Equal(Steered))
		Expect(beside.Decide(now, flowPacket(1000, dead, 18, 2, 10)).Reason).To(Equal(Steered), "routers may hand it over meanwhile")
		Expect(beside.Counts(now).Lost).To(BeZero())
	})

	It("never end the flows of an endpoint that accepts connections, whatever callers repeat", func() {
		for seed := range uint64(100) {
			random := rand.New(rand.NewPCG(seed, 5))
			a.questions = nil
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
					if len(a.questions) == 0 {
						continue
					}
					outcome := Reached // a single packet of it may be lost
					if q := a.take(); q.Why != Again {
						outcome = []Outcome{Reached, Missed, Unsure}[random.IntN(3)]
						Expect(s.Answered(now, q, outcome)).To(BeEmpty())
					} else {
						Expect(s.Answered(now, q, outcome)).To(BeEmpty())
					}
				}
				Expect(d.Reason).NotTo(Equal(EndpointLost))
			}
		}
	})
})
