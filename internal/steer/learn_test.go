package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

var _ = Describe("the endpoint records of a Steerer", func() {
	var s *Steerer
	BeforeEach(func() { s = testSteerer() })

	It("ignore older reports, and never revive an ended endpoint", func() {
		s.Learn(start, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence, m.Leaving = 5, true })))
		s.Learn(start, "c2", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence = 4 })))
		Expect(s.byID["booking-1"].Leaving).To(BeTrue())
		s.Learn(start, "c1", reports(report("booking", 2, func(m *wire.EndpointReport) { m.Gone = true })))
		s.Learn(start, "c2", reports(report("booking", 2, func(m *wire.EndpointReport) { m.Sequence = 9 })))
		Expect(s.byID["booking-2"].acceptsFlows()).To(BeFalse())
	})

	It("do not revive an endpoint that was first reported as ended", func() {
		s.Learn(start, "c1", reports(&wire.EndpointReport{Id: "booking-9", Gone: true}))
		s.Learn(start, "c2", reports(report("booking", 9, nil)))
		Expect(s.byID["booking-9"].acceptsFlows()).To(BeFalse())
		Expect(s.Decide(start, flowPacket(1000, Tag("booking-9"), 8, 1, 10)).Reason).To(Equal(UnknownTag))
		Expect(s.pools["booking"][localTier]).To(HaveLen(2))
		Expect(s.pools["booking"][remoteTier]).To(BeEmpty())
	})

	It("mark an endpoint as silent only if every control instance that knows it does", func() {
		silent := func(m *wire.EndpointReport) { m.Silent = true }
		s.Learn(start, "c2", reports(report("booking", 1, silent)))
		Expect(s.byID["booking-1"].silent).To(BeFalse())
		s.Learn(start, "c1", reports(report("booking", 1, silent)))
		Expect(s.byID["booking-1"].silent).To(BeTrue())
		s.RemoveSource(start, "c1")
		s.RemoveSource(start, "c2")
		Expect(s.byID["booking-1"].silent).To(BeFalse())
	})

	It("do not count an endpoint as alive because of a control instance that has just started", func() {
		silent := func(m *wire.EndpointReport) { m.Silent = true }
		s.Learn(start, "c1", reports(report("booking", 1, silent)))
		s.Learn(start, "c2", &wire.Reports{Endpoints: []*wire.EndpointReport{report("booking", 1, nil), report("booking", 2, nil)}})
		Expect(s.byID["booking-1"].silent).To(BeTrue())
		Expect(s.byID["booking-2"].silent).To(BeFalse())
		s.Learn(start, "c2", &wire.Reports{Whole: true, Endpoints: []*wire.EndpointReport{report("booking", 1, silent)}})
		Expect(s.byID["booking-1"].silent).To(BeTrue(), "c2 has received no heartbeat of it since its start")
		s.Learn(start, "c1", reports(report("booking", 2, silent)))
		Expect(s.byID["booking-2"].silent).To(BeFalse(), "c2 is ready and has not reported it as silent")
	})

	It("drop a crashed endpoint after the maximum age of a flow, and accept it again", func() {
		silent := func(m *wire.EndpointReport) { m.Silent = true }
		s.Learn(start, "c1", reports(report("booking", 1, silent)))
		s.Learn(start, "c2", reports(report("booking", 1, silent)))
		before := s.Digest()
		listed := len(s.pools["booking"][localTier])
		s.purgeEndedBackends(start.Add(s.config.MaxFlowAge - time.Millisecond))
		Expect(s.byID).To(HaveKey("booking-1"))
		s.byID["booking-1"].reach.lastResponseAt = start.Add(time.Second) // has answered a client since
		s.purgeEndedBackends(start.Add(s.config.MaxFlowAge))
		Expect(s.byID).To(HaveKey("booking-1"))
		s.purgeEndedBackends(start.Add(s.config.MaxFlowAge + time.Second))
		Expect(s.byID).NotTo(HaveKey("booking-1"))
		Expect(s.pools["booking"][localTier]).To(HaveLen(listed - 1))
		Expect(s.Digest()).NotTo(Equal(before))
		s.Learn(start.Add(2*time.Minute), "c1", reports(report("booking", 1, nil)))
		Expect(s.byID["booking-1"].silent).To(BeFalse())
		Expect(s.Digest()).To(Equal(before))
		Expect(s.pools["booking"][localTier]).To(HaveLen(listed))
	})

	It("count the endpoints of a matching digest as alive if the control instance is ready", func() {
		silent := func(m *wire.EndpointReport) { m.Silent = true }
		s.Learn(start, "c2", reports(report("booking", 1, silent)))
		s.Learn(start, "c3", &wire.Reports{Same: ^uint64(0), Endpoints: []*wire.EndpointReport{report("booking", 2, silent)}})
		s.RemoveSource(start, "c1")
		Expect(s.byID["booking-1"].silent).To(BeTrue(), "c3 is not ready and may have received no heartbeat of it")
		s.MarkSourceReady(start, "c3")
		Expect(s.byID["booking-1"].silent).To(BeFalse(), "c3 is ready and has not reported it as silent")
		Expect(s.byID["booking-2"].silent).To(BeTrue(), "only c3 knows it now")
		s.RemoveSource(start, "c3")
		Expect(s.byID["booking-1"].silent).To(BeTrue())
	})

	It("find missing endpoints by checksums, and count the others as alive", func() {
		r := registry.New(registry.Config{HeartbeatPeriod: time.Second}, start)
		r.Merge(start, reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil)))
		before := r.LastChange()
		s.Learn(start, "c2", r.Missing(start, s.Digest()))
		r.Merge(start, reports(report("booking", 4, nil)))
		brief := r.ChangeSummary(start, before)
		missing := s.Learn(start, "c2", brief)
		Expect(missing).To(ConsistOf("booking-4"))
		Expect(s.byID).NotTo(HaveKey("booking-4"))

		s.Learn(start, "c1", reports(report("booking", 4, func(m *wire.EndpointReport) { m.Silent = true })))
		Expect(s.byID["booking-4"].silent).To(BeTrue())
		Expect(s.Learn(start, "c2", brief)).To(BeEmpty())
		Expect(s.byID["booking-4"].silent).To(BeTrue(), "c2 is not ready")
		s.MarkSourceReady(start, "c2")
		Expect(s.byID["booking-4"].silent).To(BeFalse(), "c2 knows it and has not reported it as silent")
	})

	It("are requested when a digest differs in a part that has stopped changing", func() {
		r := registry.New(registry.Config{HeartbeatPeriod: time.Second}, start)
		r.Merge(start, reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil), report("booking", 7, nil), report("booking", 8, nil)))
		Expect(s.LearnDigest(start, "c2", r.Digest())).To(BeFalse(), "the report may be in flight")
		r.Merge(start, reports(report("booking", 7, func(m *wire.EndpointReport) { m.Gone = true })))
		behind := s.LearnDigest(start, "c2", r.Digest())
		Expect(behind).To(BeTrue(), "the other endpoint is in a part that has not changed")

		s.Learn(start, "c1", r.Changes(start, 0))
		Expect(s.LearnDigest(start, "c2", r.Digest())).To(BeFalse(), "the records are complete")
		r.Merge(start, reports(report("booking", 1, func(m *wire.EndpointReport) { m.Gone = true })))
		Expect(s.LearnDigest(start, "c2", r.Digest())).To(BeFalse())
		Expect(s.LearnDigest(start, "c2", r.Digest())).To(BeTrue())
		s.Learn(start, "c2", r.Missing(start, s.Digest()))
		Expect(s.byID["booking-1"].Gone).To(BeTrue())
		Expect(s.LearnDigest(start, "c2", r.Digest())).To(BeFalse())
	})

	It("apply lists of IDs that became silent or sent heartbeats again", func() {
		s.MarkSourceReady(start, "c1")
		s.Learn(start, "c1", reports(report("booking", 1, nil)))
		s.Learn(start, "c1", &wire.Reports{Silent: []string{"booking-1", "unknown"}})
		Expect(s.byID["booking-1"].silent).To(BeTrue())
		s.Learn(start, "c1", &wire.Reports{Heard: []string{"booking-1", "unknown"}})
		Expect(s.byID["booking-1"].silent).To(BeFalse())
		Expect(s.byID).NotTo(HaveKey("unknown"))
	})

	It("are not requested for ended endpoints, only for live ones that differ", func() {
		ended := &wire.Reports{Sums: []*wire.RecordSum{{Id: "booking-1", Sum: registry.Sum(registry.Endpoint{ID: "booking-1", Gone: true})}}}
		Expect(s.Learn(start, "c2", ended)).To(ConsistOf("booking-1"))
		s.Learn(start, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Gone = true })))
		Expect(s.Learn(start, "c2", ended)).To(BeEmpty())
	})

	It("have the digest of the control instance that sent them, ended endpoints included", func() {
		r := registry.New(registry.Config{HeartbeatPeriod: time.Second}, start)
		all := reports(report("booking", 1, nil), report("booking", 2, nil), report("documents", 3, nil))
		r.Merge(start, all)
		missing := func() []*wire.EndpointReport { return r.Missing(start, s.Digest()).Endpoints }
		Expect(missing()).To(BeEmpty())
		r.Leave(start, "booking-1")
		Expect(missing()).NotTo(BeEmpty())
		s.Learn(start, "c1", r.Changes(start, 0))
		Expect(missing()).To(BeEmpty())
	})

	It("drop an ended incarnation after the maximum age of a flow", func() {
		s.Learn(start, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Gone = true })))
		s.Decide(start.Add(time.Minute+time.Second), synPacket(1000, 7, 0))
		Expect(s.byID).NotTo(HaveKey("booking-1"))
		Expect(s.byTag).NotTo(HaveKey(Tag("booking-1")))
		Expect(s.pools["booking"][localTier]).To(HaveLen(1))
		Expect(s.pools["booking"][remoteTier]).To(BeEmpty())
	})
})
