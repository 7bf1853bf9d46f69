package registry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

var _ = Describe("incarnations that share an ID", func() {
	var r *Registry
	first, second := Incarnation("a", 1000), Incarnation("a", 2000)
	BeforeEach(func() { r = New(Config{HeartbeatPeriod: heartbeatPeriod}, start) })
	known := func(r *Registry, id string) *wire.EndpointReport { return find(r.Changes(start, 0), id) }

	It("are independent: the later one is live whatever the earlier one's state and sequence", func() {
		r.Heartbeat(start, endpoint(first, 50, leaving))
		_, applied := r.Heartbeat(start.Add(heartbeatPeriod), endpoint(second, 1, nil))
		Expect(applied).To(BeTrue())
		Expect(known(r, first).Gone).To(BeTrue())
		Expect(known(r, second)).To(And(HaveField("Gone", false), HaveField("Leaving", false), HaveField("Silent", false)))
	})

	It("are not revived by delayed messages once a later one is known", func() {
		r.Heartbeat(start, endpoint(second, 1, nil))
		_, applied := r.Heartbeat(start, endpoint(first, 51, leaving))
		Expect(applied).To(BeFalse())
		Expect(known(r, first)).To(BeNil())
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: first, Sequence: 52, Address: "10.0.0.1:80"}}})
		Expect(known(r, first)).To(BeNil())
		Expect(known(r, second).Silent).To(BeFalse(), "no other incarnation claims the address")
	})

	It("apply a leave message without a start time to the newest one", func() {
		r.Heartbeat(start, endpoint(first, 50, nil))
		r.Heartbeat(start, endpoint(second, 1, nil))
		r.Leave(start, "a")
		Expect(known(r, second).Gone).To(BeFalse(), "it did not announce leaving, so the message is a delayed one of the first")
		r.Heartbeat(start, endpoint(second, 2, leaving))
		r.Leave(start, "a")
		Expect(known(r, second).Gone).To(BeTrue())
		r.Heartbeat(start, endpoint(Incarnation("a", 3000), 1, nil))
		Expect(known(r, Incarnation("a", 3000)).Gone).To(BeFalse())
	})

	It("are distinct from an ID without a start time", func() {
		Expect(Incarnation("a", 0)).To(Equal("a"))
		r.Heartbeat(start, endpoint("a", 5, nil))
		_, applied := r.Heartbeat(start, endpoint("a", 4, nil))
		Expect(applied).To(BeFalse())
		r.Heartbeat(start, endpoint(second, 1, nil))
		Expect(known(r, "a").Gone).To(BeFalse())
	})

	It("converge at three control instances despite lost, late and repeated messages", func() {
		const rounds, steps = 200, 60
		for seed := range uint64(rounds) {
			random := rand.New(rand.NewPCG(seed, 17))
			all := []*Registry{New(Config{HeartbeatPeriod: heartbeatPeriod}, start), New(Config{HeartbeatPeriod: heartbeatPeriod}, start), New(Config{HeartbeatPeriod: heartbeatPeriod}, start)}
			for n, each := range all {
				each.SetRelay(n == 0)
			}
			var sentBeats []Endpoint
			born, sequence, now := int64(1000), uint64(0), start
			var exchangedRev [3][3]uint64
			exchange := func(from, to int) {
				reports := all[from].PeerChanges(now, exchangedRev[from][to])
				exchangedRev[from][to] = reports.Number
				all[to].Merge(now, reports)
			}
			for range steps {
				now = now.Add(heartbeatPeriod / 4)
				switch random.IntN(6) {
				case 0: // a new incarnation starts
					born, sequence = born+1+random.Int64N(2000), 0
				case 1, 2: // an earlier heartbeat arrives, possibly late or repeated
					if len(sentBeats) > 0 {
						all[random.IntN(3)].Heartbeat(now, sentBeats[random.IntN(len(sentBeats))])
					}
				case 3:
					exchange(random.IntN(3), random.IntN(3))
				default:
					sequence++
					e := endpoint(Incarnation("a", born), sequence, func(e *Endpoint) {
						e.Leaving = random.IntN(9) == 0
						e.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 80)
					})
					sentBeats = append(sentBeats, e)
					if random.IntN(3) > 0 { // otherwise it is lost or delayed
						all[random.IntN(3)].Heartbeat(now, e)
					}
				}
			}
			last := endpoint(Incarnation("a", born), sequence+1, nil)
			all[2].Heartbeat(now, last)
			for range 2 {
				for from := range all {
					for to := range all {
						exchange(from, to)
					}
				}
			}
			for n, each := range all {
				Expect(known(each, last.ID)).NotTo(BeNil(), fmt.Sprint("seed ", seed, " instance ", n))
				for _, m := range each.Changes(now, 0).Endpoints {
					Expect(m.Gone).To(Equal(m.Id != last.ID), fmt.Sprint("seed ", seed, " instance ", n, " ", m.Id))
				}
			}
		}
	})

	It("are acknowledged as leaving only under a revision that peers receive", func() {
		r.SetRelay(false)
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "b", Sequence: 4, Address: "10.0.0.1:80", Leaving: true}}})
		before := r.PeerChanges(start, 0)
		Expect(before.Endpoints).To(BeEmpty(), "the instance that received the heartbeat reports it")
		number, _ := r.Heartbeat(start, endpoint("b", 4, leaving))
		reports := r.PeerChanges(start, before.Number)
		Expect(find(reports, "b").GetLeaving()).To(BeTrue(), "the instance that received the first heartbeat may not have reached the others")
		Expect(reports.Number).To(BeNumerically(">=", number))
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "b", Gone: true}}})
		number = r.Leave(start, "b")
		again := r.PeerChanges(start, reports.Number)
		Expect(find(again, "b").GetGone()).To(BeTrue())
		Expect(again.Number).To(BeNumerically(">=", number))
	})

	It("are relayed by voters, including changes learned before they became voters", func() {
		r.SetRelay(false)
		r.Merge(start, &wire.Reports{Endpoints: []*wire.EndpointReport{{Id: "b", Sequence: 4, Address: "10.0.0.1:80"}}})
		r.SetRelay(true)
		Expect(find(r.PeerChanges(start, 0), "b")).NotTo(BeNil())
	})

	It("are not marked silent for the time that the process itself was stalled", func() {
		r.Heartbeat(start, endpoint("b", 1, nil))
		r.AddStall(3 * heartbeatPeriod)
		r.Sweep(start.Add(4 * heartbeatPeriod))
		Expect(known(r, "b").Silent).To(BeFalse())
		r.Sweep(start.Add(6 * heartbeatPeriod))
		Expect(known(r, "b").Silent).To(BeTrue())
	})
})
