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

var _ = Describe("the reports of a Registry", func() {
	var r *Registry
	BeforeEach(func() { r = New(Config{HeartbeatPeriod: heartbeatPeriod}, start) })

	It("contain only changes for entries, not every heartbeat", func() {
		r.Heartbeat(start, endpoint("a", 1, nil))
		first := r.Changes(start, 0)
		Expect(first.Endpoints).To(HaveLen(1))
		r.Heartbeat(start.Add(heartbeatPeriod), endpoint("a", 2, nil))
		Expect(r.Changes(start, first.Number).Endpoints).To(BeEmpty())
		Expect(r.PeerChanges(start, first.Number).Beats).To(HaveLen(1), "peers receive the heartbeat")
	})

	It("cost the same for a change whatever the number of endpoints", func() {
		work := func(endpoints int) float64 {
			r := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
			for n := range endpoints {
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
				r.Heartbeat(start, endpoint(fmt.Sprint(n), 1, func(e *Endpoint) { e.Addr = addr }))
			}
			before := r.LastChange()
			r.Heartbeat(start, endpoint("0", 2, leaving))
			Expect(r.Changes(start, before).Endpoints).To(HaveLen(1))
			Expect(r.PeerChanges(start, before).Endpoints).To(HaveLen(1))
			return testing.AllocsPerRun(10, func() { r.Changes(start, before) })
		}
		Expect(work(5000)).To(Equal(work(5)))
	})

	It("contain only a heartbeat for a peer if nothing else has changed", func() {
		other := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
		r.Heartbeat(start, endpoint("a", 1, func(e *Endpoint) { e.Warmup = 3 * heartbeatPeriod }))
		all := r.PeerChanges(start, 0)
		Expect(all.Endpoints).To(HaveLen(1))
		Expect(all.Beats).To(BeEmpty())
		other.Merge(start, all)

		now := start.Add(2 * heartbeatPeriod)
		r.Heartbeat(now, endpoint("a", 2, func(e *Endpoint) { e.Warmup = heartbeatPeriod }))
		more := r.PeerChanges(now, all.Number)
		Expect(more.Endpoints).To(BeEmpty())
		Expect(more.Beats).To(HaveLen(1))
		other.Merge(now, more)
		m := find(other.Changes(now, 0), "a")
		Expect(m.Sequence).To(Equal(uint64(2)))
		Expect(time.Duration(m.AgeNanos)).To(BeZero())
		Expect(time.Duration(m.WarmNanos)).To(Equal(heartbeatPeriod), "the remaining time")
		other.Sweep(start.Add(4 * heartbeatPeriod))
		Expect(find(other.Changes(now, 0), "a").Silent).To(BeFalse())
	})

	It("contain endpoints that became cold again, not those that warm up as announced", func() {
		warm := func(span time.Duration) func(*Endpoint) { return func(e *Endpoint) { e.Warmup = span } }
		r.Heartbeat(start, endpoint("a", 1, warm(2*heartbeatPeriod)))
		before := r.LastChange()
		r.Heartbeat(start.Add(heartbeatPeriod), endpoint("a", 2, warm(heartbeatPeriod+heartbeatPeriod/10)))
		r.Heartbeat(start.Add(2*heartbeatPeriod-time.Millisecond), endpoint("a", 3, warm(heartbeatPeriod/2))) // was queued at a busy control instance
		r.Heartbeat(start.Add(2*heartbeatPeriod), endpoint("a", 4, nil))
		Expect(r.LastChange()).To(Equal(before))
		now := start.Add(5 * heartbeatPeriod)
		r.Heartbeat(now, endpoint("a", 6, warm(2*heartbeatPeriod)))
		for _, reports := range []*wire.Reports{r.Changes(now, before), r.ChangeSummary(now, before), r.PeerChanges(now, before)} {
			Expect(reports.Endpoints).To(HaveLen(1))
			Expect(time.Duration(reports.Endpoints[0].WarmNanos)).To(Equal(2 * heartbeatPeriod))
		}
	})

	Describe("for the digest of an entry", func() {
		const endpoints = 200
		known := Digest{}
		id := func(n int) string { return fmt.Sprint("i-", n) }
		BeforeEach(func() {
			known = Digest{}
			for n := range endpoints {
				e := endpoint(id(n), 1, func(e *Endpoint) {
					e.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80)
				})
				r.Heartbeat(start, e)
				known.Toggle(e.ID, Sum(e))
			}
		})

		It("omit known records despite later heartbeats", func() {
			r.Heartbeat(start.Add(heartbeatPeriod), endpoint(id(0), 7, func(e *Endpoint) {
				e.Addr = netip.MustParseAddrPort("10.0.0.0:80")
			}))
			reports := r.Missing(start, known)
			Expect(reports.Endpoints).To(BeEmpty())
			Expect(reports.Same).To(Equal(^uint64(0)))
			Expect(reports.Number).To(Equal(r.revision))
		})

		It("contain an endpoint that became cold again until it is warm", func() {
			again := start.Add(heartbeatPeriod)
			r.Heartbeat(again, endpoint(id(0), 7, func(e *Endpoint) {
				e.Addr, e.Warmup = netip.MustParseAddrPort("10.0.0.0:80"), 2*heartbeatPeriod
			}))
			reports := r.Missing(again.Add(heartbeatPeriod), known)
			Expect(reports.Endpoints).To(ConsistOf(HaveField("Id", id(0))))
			Expect(time.Duration(reports.Endpoints[0].WarmNanos)).To(Equal(heartbeatPeriod))
			Expect(r.Missing(again.Add(2*heartbeatPeriod), known).Endpoints).To(BeEmpty())
		})

		It("contain all records for an empty digest", func() {
			Expect(r.Missing(start, Digest{}).Endpoints).To(HaveLen(endpoints))
		})

		It("contain only the parts with an added, changed, leaving or gone record", func() {
			changes := map[string]func(){
				id(3): func() { r.Leave(start, id(3)) },
				id(4): func() {
					r.Heartbeat(start, endpoint(id(4), 2, func(e *Endpoint) { e.Addr, e.Leaving = netip.MustParseAddrPort("10.0.0.4:80"), true }))
				},
				"new": func() {
					r.Heartbeat(start, endpoint("new", 1, func(e *Endpoint) { e.Addr = netip.MustParseAddrPort("10.1.0.4:80") }))
				},
				id(5): func() {
					r.Heartbeat(start, endpoint(id(5), 2, func(e *Endpoint) { e.Addr, e.Slots = netip.MustParseAddrPort("10.0.0.5:80"), 9 }))
				},
			}
			for changed, change := range changes {
				change()
				reports := r.Missing(start, known)
				Expect(find(reports, changed)).NotTo(BeNil(), changed)
				Expect(reports.Same & PartBit(changed)).To(BeZero())
				Expect(len(reports.Endpoints)).To(BeNumerically("<", endpoints/4), "not the whole list")
			}
		})

		It("contain silent records of all parts, since a digest does not cover silence", func() {
			now := start.Add(3 * heartbeatPeriod)
			r.Sweep(now)
			reports := r.Missing(now, known)
			Expect(reports.Same).To(Equal(^uint64(0)))
			Expect(reports.Endpoints).To(HaveLen(endpoints))
		})

		It("leave an empty digest after all records are gone and removed", func() {
			for n := range endpoints {
				r.Leave(start, id(n))
			}
			r.Sweep(start.Add((forgetAfterPeriods + 1) * heartbeatPeriod))
			Expect(r.digest).To(Equal(Digest{}))
		})

		It("lead to the same digest for a gone record at a peer", func() {
			other := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
			r.Leave(start, id(7))
			other.Merge(start, r.Changes(start, 0))
			Expect(other.digest).To(Equal(r.digest))
		})

		It("summarize a change by the checksum of the changed record", func() {
			before := r.LastChange()
			Expect(r.ChangeSummary(start, before).Sums).To(BeEmpty())
			changed := endpoint(id(4), 2, func(e *Endpoint) { e.Addr, e.Leaving = netip.MustParseAddrPort("10.0.0.4:80"), true })
			r.Heartbeat(start, changed)
			reports := r.ChangeSummary(start, before)
			Expect(reports.Endpoints).To(BeEmpty())
			Expect(reports.Sums).To(ConsistOf(And(HaveField("Id", id(4)), HaveField("Sum", Sum(changed)))))
			changed.Leaving = false
			Expect(reports.Sums[0].Sum).NotTo(Equal(Sum(changed)))
			Expect(find(r.Records(start, []string{id(4), "unknown"}), id(4)).Leaving).To(BeTrue())
		})

		It("summarize endpoints that became silent or are heard again", func() {
			before := r.LastChange()
			r.Sweep(start.Add(3 * heartbeatPeriod))
			silent := r.ChangeSummary(start, before)
			Expect(silent.Silent).To(HaveLen(endpoints))
			Expect(silent.Sums).To(BeEmpty(), "nothing else has changed")
			r.Heartbeat(start.Add(3*heartbeatPeriod), endpoint(id(4), 2, func(e *Endpoint) { e.Addr = netip.MustParseAddrPort("10.0.0.4:80") }))
			again := r.ChangeSummary(start, silent.Number)
			Expect(again.Silent).To(BeEmpty())
			Expect(again.Heard).To(ConsistOf(id(4)))
		})

		It("summarize a change of a record that also became silent", func() {
			before := r.LastChange()
			r.Sweep(start.Add(3 * heartbeatPeriod))
			r.Leave(start.Add(3*heartbeatPeriod), id(4))
			reports := r.ChangeSummary(start, before)
			Expect(reports.Sums).To(ConsistOf(HaveField("Id", id(4))))
		})

		It("contain the digest instead of too many checksums", func() {
			before := r.LastChange()
			for n := range maxSums + 1 {
				r.Leave(start, id(n))
			}
			reports := r.ChangeSummary(start, before)
			Expect(reports.Sums).To(BeEmpty())
			Expect(DecodeDigest(reports.Digest)).To(Equal(r.digest))
		})
	})
})
