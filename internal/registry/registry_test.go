package registry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

const beat = 770 * time.Millisecond

var start = time.Unix(5000, 0)

func endpoint(id string, sequence uint64, change func(*Endpoint)) Endpoint {
	e := Endpoint{
		ID: id, Number: 7, Service: "booking", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Domain: "plateau", Slots: 3,
		Sequence: sequence,
	}
	if change != nil {
		change(&e)
	}
	return e
}

func leaving(e *Endpoint) { e.Leaving = true }

var _ = Describe("a Registry", func() {
	var r *Registry
	BeforeEach(func() { r = New(Config{Beat: beat}, start) })

	find := func(reports *wire.Reports, id string) *wire.EndpointReport {
		for _, m := range reports.Endpoints {
			if m.Id == id {
				return m
			}
		}
		return nil
	}

	It("tells entries of what is new, not of every heartbeat", func() {
		r.Hear(start, endpoint("a", 1, nil), 0)
		first := r.Changes(start, 0)
		Expect(first.Endpoints).To(HaveLen(1))
		r.Hear(start.Add(beat), endpoint("a", 2, nil), 0)
		Expect(r.Changes(start, first.Number).Endpoints).To(BeEmpty())
		Expect(r.Beats(start, first.Number).Endpoints).To(HaveLen(1), "peers must know that it was heard")
	})

	It("orders heartbeats by their sequence, not by when they come", func() {
		r.Hear(start, endpoint("a", 5, leaving), 0)
		_, taken := r.Hear(start, endpoint("a", 4, nil), 0)
		Expect(taken).To(BeFalse())
		Expect(find(r.Changes(start, 0), "a").Leaving).To(BeTrue())
	})

	It("gives a late heartbeat the number of what it knows already, for those who wait for it", func() {
		n, _ := r.Hear(start, endpoint("a", 5, leaving), 0)
		again, _ := r.Hear(start, endpoint("a", 5, leaving), 0)
		Expect(again).To(Equal(n))
	})

	It("never revives an incarnation that has ended", func() {
		r.Hear(start, endpoint("a", 1, nil), 0)
		r.Leave(start, "a")
		r.Hear(start, endpoint("a", 2, nil), 0)
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "a", Sequence: 9, Address: "10.0.0.1:80"}}})
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})

	It("remembers that one has ended that it had not heard of", func() {
		r.Leave(start, "a")
		r.Hear(start, endpoint("a", 2, nil), 0)
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})

	It("takes an endpoint for ended when another incarnation has its address", func() {
		r.Hear(start, endpoint("a", 9, nil), 0)
		r.Hear(start, endpoint("b", 1, nil), 0)
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
		Expect(find(r.Changes(start, 0), "b").Gone).To(BeFalse())
	})

	It("does not take the living one for ended when it hears late of its predecessor", func() {
		now := start.Add(10 * beat)
		r.Hear(now, endpoint("b", 1, nil), 0)
		r.Merge(now, &wire.Reports{Endpoints: []*wire.EndpointReport{
			{Id: "a", Sequence: 9, Address: "10.0.0.1:80", AgeNanos: int64(5 * beat)},
		}})
		Expect(find(r.Changes(now, 0), "a").Gone).To(BeTrue())
		Expect(find(r.Changes(now, 0), "b").Gone).To(BeFalse())
	})

	It("takes an endpoint for silent after some heartbeats are missing, and withdraws that at once", func() {
		r.Hear(start, endpoint("a", 1, nil), 0)
		r.Sweep(start.Add(2 * beat))
		Expect(find(r.Changes(start, 0), "a").Silent).To(BeFalse())
		r.Sweep(start.Add(3 * beat))
		silent := r.Changes(start, 0)
		Expect(find(silent, "a").Silent).To(BeTrue())
		r.Hear(start.Add(4*beat), endpoint("a", 2, nil), 0)
		Expect(find(r.Changes(start, silent.Number), "a").Silent).To(BeFalse())
	})

	It("counts the age that a peer tells", func() {
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{
			{Id: "a", Sequence: 1, Address: "10.0.0.1:80", AgeNanos: int64(3 * beat), WarmNanos: int64(beat)},
		}})
		r.Sweep(start)
		m := find(r.Changes(start, 0), "a")
		Expect(m.Silent).To(BeTrue())
		Expect(time.Duration(m.WarmNanos)).To(Equal(beat), "it was counted off by the sender already")
	})

	It("forgets what has not been heard of for a flow's longest life", func() {
		r.Hear(start, endpoint("a", 1, nil), 0)
		r.Leave(start, "a")
		r.Sweep(start.Add((forgetBeats + 1) * beat))
		Expect(r.Len()).To(BeZero())
	})

	It("is whole once every endpoint could have been heard", func() {
		Expect(r.Whole(start.Add(beat))).To(BeFalse())
		Expect(r.Whole(start.Add(3 * beat))).To(BeTrue())
	})

	It("tells a change with work that does not grow with the number of endpoints", func() {
		work := func(endpoints int) float64 {
			r := New(Config{Beat: beat}, start)
			for n := range endpoints {
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
				r.Hear(start, endpoint(fmt.Sprint(n), 1, func(e *Endpoint) { e.Addr = addr }), 0)
			}
			before := r.Changed()
			r.Hear(start, endpoint("0", 2, leaving), 0)
			Expect(r.Changes(start, before).Endpoints).To(HaveLen(1))
			Expect(r.Beats(start, before).Endpoints).To(HaveLen(1))
			return testing.AllocsPerRun(10, func() { r.Changes(start, before) })
		}
		Expect(work(5000)).To(Equal(work(5)))
	})

	It("settles who lives at an address by an index, also after one was forgotten", func() {
		r.Hear(start, endpoint("a", 1, nil), 0)
		later := start.Add((forgetBeats + 1) * beat)
		r.Sweep(later)
		r.Hear(later, endpoint("b", 1, nil), 0)
		r.Hear(later.Add(beat), endpoint("c", 1, nil), 0)
		Expect(find(r.Changes(later, 0), "b").Gone).To(BeTrue())
		Expect(find(r.Changes(later, 0), "c").Gone).To(BeFalse())
	})
})
