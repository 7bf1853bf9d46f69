package registry

import (
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

const heartbeatPeriod = 770 * time.Millisecond

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

// find returns what is reported of an endpoint, nil for nothing.
func find(reports *wire.Reports, id string) *wire.EndpointReport {
	for _, m := range reports.Endpoints {
		if m.Id == id {
			return m
		}
	}
	return nil
}

var _ = Describe("a Registry", func() {
	var r *Registry
	BeforeEach(func() { r = New(Config{Beat: heartbeatPeriod}, start) })

	It("orders heartbeats by their sequence, not by when they come", func() {
		r.Hear(start, endpoint("a", 5, leaving))
		_, taken := r.Hear(start, endpoint("a", 4, nil))
		Expect(taken).To(BeFalse())
		Expect(find(r.Changes(start, 0), "a").Leaving).To(BeTrue())
	})

	It("gives a late heartbeat the number of what it knows already, for those who wait for it", func() {
		n, _ := r.Hear(start, endpoint("a", 5, leaving))
		again, _ := r.Hear(start, endpoint("a", 5, leaving))
		Expect(again).To(Equal(n))
	})

	It("never revives an incarnation that has ended", func() {
		r.Hear(start, endpoint("a", 1, nil))
		r.Leave(start, "a")
		r.Hear(start, endpoint("a", 2, nil))
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "a", Sequence: 9, Address: "10.0.0.1:80"}}})
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})

	It("remembers that one has ended that it had not heard of", func() {
		r.Leave(start, "a")
		r.Hear(start, endpoint("a", 2, nil))
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})

	It("turns new flows away from an endpoint while another incarnation goes on at its address, and does not end it", func() {
		r.Hear(start, endpoint("a", 9, nil))
		for n := range uint64(5) {
			now := start.Add(time.Duration(n) * heartbeatPeriod)
			r.Hear(now, endpoint("b", n+1, nil))
			r.Sweep(now)
			Expect(find(r.Changes(now, 0), "a").Silent).To(BeTrue(), "heartbeat %d", n)
			Expect(find(r.Changes(now, 0), "a").Gone).To(BeFalse(), "heartbeat %d", n)
			Expect(find(r.Changes(now, 0), "b").Gone).To(BeFalse())
			Expect(find(r.Changes(now, 0), "b").Silent).To(BeFalse())
		}
	})

	It("takes an endpoint for silent after some heartbeats are missing, and withdraws that at once", func() {
		r.Hear(start, endpoint("a", 1, nil))
		r.Sweep(start.Add(2 * heartbeatPeriod))
		Expect(find(r.Changes(start, 0), "a").Silent).To(BeFalse())
		r.Sweep(start.Add(3 * heartbeatPeriod))
		silent := r.Changes(start, 0)
		Expect(find(silent, "a").Silent).To(BeTrue())
		r.Hear(start.Add(4*heartbeatPeriod), endpoint("a", 2, nil))
		again := r.Changes(start, silent.Number)
		Expect(again.Heard).To(ConsistOf("a"))
		Expect(again.Endpoints).To(BeEmpty(), "nothing else has changed of it")
	})

	It("forgets what has not been heard of for a flow's longest life", func() {
		r.Hear(start, endpoint("a", 1, nil))
		r.Leave(start, "a")
		r.Sweep(start.Add((forgetAfterPeriods + 1) * heartbeatPeriod))
		Expect(r.Len()).To(BeZero())
	})

	It("is whole once every endpoint could have been heard", func() {
		Expect(r.Whole(start.Add(heartbeatPeriod))).To(BeFalse())
		Expect(r.Whole(start.Add(3 * heartbeatPeriod))).To(BeTrue())
	})

	It("settles who lives at an address by an index, also after one was forgotten", func() {
		r.Hear(start, endpoint("a", 1, nil))
		later := start.Add((forgetAfterPeriods + 1) * heartbeatPeriod)
		r.Sweep(later)
		r.Hear(later, endpoint("b", 1, nil))
		Expect(find(r.Changes(later, 0), "b").Silent).To(BeFalse(), "nobody else claims the address")
		r.Hear(later.Add(heartbeatPeriod), endpoint("c", 1, nil))
		r.Sweep(later.Add(heartbeatPeriod))
		Expect(find(r.Changes(later, 0), "b").Silent).To(BeTrue())
		r.Leave(later.Add(heartbeatPeriod), "c")
		r.Sweep(later.Add(heartbeatPeriod))
		Expect(find(r.Changes(later, 0), "b").Silent).To(BeFalse(), "nobody else does any more")
		Expect(r.liveByAddr).To(HaveLen(1))
	})
})
