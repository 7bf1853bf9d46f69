package registry

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

var _ = Describe("a Registry that merges reports of a peer", func() {
	var r *Registry
	BeforeEach(func() { r = New(Config{HeartbeatPeriod: heartbeatPeriod}, start) })

	It("keeps the live incarnation when a late report of its predecessor arrives", func() {
		now := start.Add(10 * heartbeatPeriod)
		r.Heartbeat(now, endpoint("b", 1, nil))
		r.Merge(now, &wire.Reports{Endpoints: []*wire.EndpointReport{
			{Id: "a", Sequence: 9, Address: "10.0.0.1:80", AgeNanos: int64(5 * heartbeatPeriod)},
		}})
		Expect(find(r.Changes(now, 0), "a").Silent).To(BeTrue())
		for n := range uint64(4) {
			now = now.Add(heartbeatPeriod)
			r.Heartbeat(now, endpoint("b", n+2, nil))
			r.Sweep(now)
		}
		Expect(find(r.Changes(now, 0), "a").Silent).To(BeTrue())
		Expect(find(r.Changes(now, 0), "a").Gone).To(BeFalse())
		Expect(find(r.Changes(now, 0), "b").Gone).To(BeFalse())
		Expect(find(r.Changes(now, 0), "b").Silent).To(BeFalse())
	})

	It("takes the reported age into account", func() {
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{
			{Id: "a", Sequence: 1, Address: "10.0.0.1:80", AgeNanos: int64(3 * heartbeatPeriod), WarmNanos: int64(heartbeatPeriod)},
		}})
		r.Sweep(start)
		m := find(r.Changes(start, 0), "a")
		Expect(m.Silent).To(BeTrue())
		Expect(time.Duration(m.WarmNanos)).To(Equal(heartbeatPeriod), "the sender has already subtracted the age")
	})

	It("relays changes to other peers, but not heartbeats", func() {
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "a", Sequence: 1, Address: "10.0.0.1:80"}}})
		first := r.PeerChanges(start, 0)
		Expect(first.Endpoints).To(HaveLen(1))
		r.Merge(start, &wire.Reports{Beats: []*wire.Beat{{Id: "a", Sequence: 2}}})
		again := r.PeerChanges(start, first.Number)
		Expect(again.Endpoints).To(BeEmpty())
		Expect(again.Beats).To(BeEmpty())
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "a", Sequence: 3, Address: "10.0.0.1:80", Leaving: true}}})
		Expect(r.PeerChanges(start, again.Number).Endpoints).To(HaveLen(1))
	})

	It("ignores heartbeats of unknown and gone endpoints", func() {
		r.Merge(start, &wire.Reports{Beats: []*wire.Beat{{Id: "stranger", Sequence: 2}}})
		Expect(r.Len()).To(BeZero())
		r.Heartbeat(start, endpoint("a", 1, nil))
		r.Leave(start, "a")
		r.Merge(start, &wire.Reports{Beats: []*wire.Beat{{Id: "a", Sequence: 2}}})
		Expect(find(r.Changes(start, 0), "a").Gone).To(BeTrue())
	})
})
