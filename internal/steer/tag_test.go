package steer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

var _ = Describe("a Steerer, of two incarnations that share a tag,", func() {
	// learnBoth returns who has the tag at an entry that learned of them in
	// this order.
	learnBoth := func(first, second *backend) string {
		s := New(Config{MaxFlows: 10, Beat: time.Second})
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

	It("gives it to the one whose id comes first, at every entry, where both are about as old", func() {
		a, b := incarnation("a", start.Add(5*time.Second)), incarnation("b", start)
		Expect(learnBoth(a, b)).To(Equal("a"))
		Expect(learnBoth(b, a)).To(Equal("a"))
	})

	It("leaves it to the older one, whose flows are open", func() {
		a, b := incarnation("a", start.Add(time.Minute)), incarnation("b", start)
		Expect(learnBoth(a, b)).To(Equal("b"))
		Expect(learnBoth(b, a)).To(Equal("b"))
	})

	It("gives it to the other one once no flow of the first can be left", func() {
		s := New(Config{MaxFlows: 10, MaxFlow: time.Minute, Beat: time.Second})
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

	It("tells their age by how often they were heard, as an entry does that has just started", func() {
		old := New(Config{MaxFlows: 10, Beat: time.Second})
		old.Learn(start, "c1", reports(report("booking", 1, nil)))
		now := start.Add(time.Minute)
		fresh := New(Config{MaxFlows: 10, Beat: time.Second})
		fresh.Learn(now, "c1", reports(report("booking", 1, func(m *wire.EndpointReport) { m.Sequence = 61 })))
		Expect(fresh.byID["booking-1"].startedAt).To(BeTemporally("~", old.byID["booking-1"].startedAt, time.Second))
	})
})
