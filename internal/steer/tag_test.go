package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

var _ = Describe("a tag shared by two incarnations", func() {
	// learnBoth returns which incarnation has the tag at an entry that adds them in this order.
	learnBoth := func(first, second *backend) string {
		s := New(Config{MaxFlows: 10, HeartbeatInterval: time.Second})
		for _, b := range []*backend{first, second} {
			fresh := *b
			s.byID[b.ID] = &fresh
			s.assignTag(&fresh)
		}
		holder := s.byTag[77]
		for _, b := range s.byID {
			Expect(b.acceptsFlows()).To(Equal(b == holder), b.ID)
		}
		return holder.ID
	}
	incarnation := func(id string, startedAt time.Time) *backend {
		b := &backend{tag: 77, startedAt: startedAt}
		b.ID = id
		return b
	}

	It("goes to the lower ID at every entry, if both are about the same age", func() {
		a, b := incarnation("a", start.Add(5*time.Second)), incarnation("b", start)
		Expect(learnBoth(a, b)).To(Equal("a"))
		Expect(learnBoth(b, a)).To(Equal("a"))
	})

	It("goes to the older one, which may have open flows", func() {
		a, b := incarnation("a", start.Add(time.Minute)), incarnation("b", start)
		Expect(learnBoth(a, b)).To(Equal("b"))
		Expect(learnBoth(b, a)).To(Equal("b"))
	})

	It("passes to the other one after the maximum age of a flow", func() {
		s := New(Config{MaxFlows: 10, MaxFlowAge: time.Minute, HeartbeatInterval: time.Second})
		a, b := incarnation("a", start), incarnation("b", start)
		for _, x := range []*backend{a, b} {
			s.byID[x.ID] = x
			s.assignTag(x)
		}
		a.Gone, a.goneAt = true, start
		s.purgeEndedBackends(start.Add(time.Minute))
		Expect(s.byTag[77]).To(Equal(b))
		Expect(b.acceptsFlows()).To(BeTrue())
	})

	It("is assigned by ages estimated from the heartbeat sequence", func() {
		old := New(Config{MaxFlows: 10, HeartbeatInterval: time.Second})
		old.Learn(start, "c1", reports(report("booking", 1, nil)))
		now := start.Add(time.Minute)
		fresh := New(Config{MaxFlows: 10, HeartbeatInterval: time.Second})
		fresh.Learn(now, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence = 61 })))
		Expect(fresh.byID["booking-1"].startedAt).To(BeTemporally("~", old.byID["booking-1"].startedAt, time.Second))
	})
})
