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

// find returns the report on an endpoint, or nil.
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
	BeforeEach(func() { r = New(Config{HeartbeatPeriod: heartbeatPeriod}, start) })

	It("orders heartbeats by sequence, not by arrival", func() {
		r.Heartbeat(start, endpoint("a", 5, leaving))
		_, applied := r.Heartbeat(start, endpoint("a", 4, nil))
		Expect(applied).To(BeFalse())
		Expect(find(r.Changes(start, 0), "a").Leaving).To(BeTrue())
	})

	It("returns the revision of the known state for a repeated heartbeat", func() {
		n, _ := r.Heartbeat(start, endpoint("a", 5, leaving))
		again, _ := r.Heartbeat(start, endpoint("a", 5, leaving))
		Expect(again).To(Equal(n))
	})

	It("never revives a gone incarnation", func() {
		r.Heartbeat(start, endpoint("a", 1, nil))
		r.Leave(start, "a")
		r.Heartbeat(start, endpoint("a", 2, nil))
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "a", Sequence: 9, Address: "10.0.0.1:80"}}})
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})

	It("remembers that an unknown incarnation is gone", func() {
		r.Leave(start, "a")
		r.Heartbeat(start, endpoint("a", 2, nil))
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})

	It("diverts new flows from an endpoint while another incarnation is heard at its address", func() {
		r.Heartbeat(start, endpoint("a", 9, nil))
		for n := range uint64(5) {
			now := start.Add(time.Duration(n) * heartbeatPeriod)
			r.Heartbeat(now, endpoint("b", n+1, nil))
			r.Sweep(now)
			Expect(find(r.Changes(now, 0), "a").Silent).To(BeTrue(), "heartbeat %d", n)
			Expect(find(r.Changes(now, 0), "a").Gone).To(BeFalse(), "heartbeat %d", n)
			Expect(find(r.Changes(now, 0), "b").Gone).To(BeFalse())
			Expect(find(r.Changes(now, 0), "b").Silent).To(BeFalse())
		}
	})

	It("marks an endpoint silent after missing heartbeats, and clears that on the next one", func() {
		r.Heartbeat(start, endpoint("a", 1, nil))
		r.Sweep(start.Add(2 * heartbeatPeriod))
		Expect(find(r.Changes(start, 0), "a").Silent).To(BeFalse())
		r.Sweep(start.Add(3 * heartbeatPeriod))
		silent := r.Changes(start, 0)
		Expect(find(silent, "a").Silent).To(BeTrue())
		r.Heartbeat(start.Add(4*heartbeatPeriod), endpoint("a", 2, nil))
		again := r.Changes(start, silent.Number)
		Expect(again.Heard).To(ConsistOf("a"))
		Expect(again.Endpoints).To(BeEmpty(), "nothing else has changed")
	})

	It("removes records without a heartbeat for longer than any flow lives", func() {
		r.Heartbeat(start, endpoint("a", 1, nil))
		r.Leave(start, "a")
		r.Sweep(start.Add((forgetAfterPeriods + 1) * heartbeatPeriod))
		Expect(r.Len()).To(BeZero())
	})

	It("is complete once every endpoint had time to send a heartbeat", func() {
		Expect(r.Complete(start.Add(heartbeatPeriod))).To(BeFalse())
		Expect(r.Complete(start.Add(3 * heartbeatPeriod))).To(BeTrue())
	})

	It("keeps the address index correct when records expire or are gone", func() {
		r.Heartbeat(start, endpoint("a", 1, nil))
		later := start.Add((forgetAfterPeriods + 1) * heartbeatPeriod)
		r.Sweep(later)
		r.Heartbeat(later, endpoint("b", 1, nil))
		Expect(find(r.Changes(later, 0), "b").Silent).To(BeFalse(), "no other record claims the address")
		r.Heartbeat(later.Add(heartbeatPeriod), endpoint("c", 1, nil))
		r.Sweep(later.Add(heartbeatPeriod))
		Expect(find(r.Changes(later, 0), "b").Silent).To(BeTrue())
		r.Leave(later.Add(heartbeatPeriod), "c")
		r.Sweep(later.Add(heartbeatPeriod))
		Expect(find(r.Changes(later, 0), "b").Silent).To(BeFalse(), "the conflict is over")
		Expect(r.liveByAddr).To(HaveLen(1))
	})
})
