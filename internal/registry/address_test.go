package registry

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

// sweepInterval is the time between two sweeps of a registry.
const sweepInterval = 200 * time.Millisecond

// delivery is a heartbeat in transit to one of the control instances.
type delivery struct {
	at        time.Time
	to        int
	heartbeat Endpoint
}

// peers is two control instances that exchange their reports.
type peers struct {
	now          time.Time
	registries   [2]*Registry
	exchangedRev [2]uint64 // revision up to which each has sent its reports
}

func newPeers() *peers {
	return &peers{now: start, registries: [2]*Registry{New(Config{HeartbeatPeriod: heartbeatPeriod}, start), New(Config{HeartbeatPeriod: heartbeatPeriod}, start)}}
}

// runUntil advances the time to the end. Each sweep interval it delivers the due
// heartbeats, exchanges reports, sweeps both registries and then calls each.
func (p *peers) runUntil(end time.Time, due []delivery, each func()) {
	for ; p.now.Before(end); p.now = p.now.Add(sweepInterval) {
		for _, d := range due {
			if !d.at.Before(p.now) && d.at.Before(p.now.Add(sweepInterval)) {
				p.registries[d.to].Heartbeat(p.now, d.heartbeat)
			}
		}
		for i, r := range p.registries {
			reports := r.PeerChanges(p.now, p.exchangedRev[i])
			p.exchangedRev[i] = reports.Number
			p.registries[1-i].Merge(p.now, reports)
		}
		for _, r := range p.registries {
			r.Sweep(p.now)
		}
		each()
	}
}

// heartbeats returns the heartbeats of an endpoint that is alive from begin to end.
func heartbeats(id string, begin, end time.Time, change func(*Endpoint)) []delivery {
	var all []delivery
	for at, sequence := begin, uint64(1); at.Before(end); at, sequence = at.Add(heartbeatPeriod), sequence+1 {
		all = append(all, delivery{at: at, to: int(sequence % 2), heartbeat: endpoint(id, sequence, change)})
	}
	return all
}

func (p *peers) gone(id string) []bool {
	var all []bool
	for _, r := range p.registries {
		m := find(r.Changes(p.now, 0), id)
		all = append(all, m != nil && m.Gone)
	}
	return all
}

func (p *peers) silent(id string) []bool {
	var all []bool
	for _, r := range p.registries {
		all = append(all, find(r.Changes(p.now, 0), id).Silent)
	}
	return all
}

var _ = Describe("a Registry with two incarnations at one address", func() {
	yes, no := []bool{true, true}, []bool{false, false}

	It("keeps the live one despite a delayed heartbeat of the other", func() {
		r := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
		r.Heartbeat(start, endpoint("new", 1, nil))
		r.Heartbeat(start.Add(heartbeatPeriod), endpoint("new", 2, nil))
		r.Heartbeat(start.Add(heartbeatPeriod+time.Millisecond), endpoint("old", 1, nil))
		_, applied := r.Heartbeat(start.Add(2*heartbeatPeriod), endpoint("new", 3, nil))
		Expect(applied).To(BeTrue())
		Expect(find(r.Changes(start, 0), "new").Gone).To(BeFalse())
	})

	It("keeps the live one despite repeated and clustered heartbeats of the other", func() {
		due := heartbeats("new", start, start.Add(time.Minute), nil)
		for _, at := range []time.Duration{5 * heartbeatPeriod, 5*heartbeatPeriod + sweepInterval, 6 * heartbeatPeriod, 9 * heartbeatPeriod} {
			for sequence := uint64(1); sequence <= 3; sequence++ {
				due = append(due, delivery{at: start.Add(at), to: int(sequence % 2), heartbeat: endpoint("old", sequence, nil)})
			}
		}
		p := newPeers()
		p.runUntil(start.Add(20*heartbeatPeriod), due, func() { Expect(p.gone("new")).To(Equal(no)) })
		Expect(p.silent("old")).To(Equal(yes))
		Expect(p.silent("new")).To(Equal(no))
	})

	It("diverts new flows to the one that still sends heartbeats, without marking either as gone", func() {
		p := newPeers()
		due := append(heartbeats("old", start, start.Add(4*heartbeatPeriod), nil), heartbeats("new", start.Add(7*heartbeatPeriod), start.Add(time.Minute), nil)...)
		p.runUntil(start.Add(14*heartbeatPeriod), due, func() {})
		Expect(p.silent("old")).To(Equal(yes))
		Expect(p.silent("new")).To(Equal(no))
		Expect(p.gone("old")).To(Equal(no))
		Expect(p.gone("new")).To(Equal(no))
	})

	It("keeps the live one in another service despite a late leaving heartbeat", func() {
		other := func(e *Endpoint) { e.Service = "documents" }
		due := heartbeats("new", start, start.Add(time.Minute), other)
		due = append(due, delivery{at: start.Add(5 * heartbeatPeriod), to: 0, heartbeat: endpoint("old", 4, leaving)})
		p := newPeers()
		p.runUntil(start.Add(5*heartbeatPeriod+2*sweepInterval), due, func() { Expect(p.gone("new")).To(Equal(no)) })
		Expect(find(p.registries[1].Changes(p.now, 0), "old").Leaving).To(BeTrue())
		Expect(find(p.registries[1].Changes(p.now, 0), "new").Leaving).To(BeFalse())
		p.runUntil(start.Add(20*heartbeatPeriod), due, func() { Expect(p.gone("new")).To(Equal(no)) })
		Expect(p.silent("old")).To(Equal(yes))
		Expect(p.silent("new")).To(Equal(no))
	})

	It("applies a leave message only to its sender", func() {
		r := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
		r.Heartbeat(start, endpoint("new", 1, nil))
		r.Heartbeat(start, endpoint("old", 1, nil))
		number := r.Leave(start, "old")
		Expect(find(r.Changes(start, number-1), "old").Gone).To(BeTrue())
		Expect(find(r.Changes(start, 0), "new").Gone).To(BeFalse())
	})

	It("avoids the incumbent until it is heard again, and then the newcomer", func() {
		p := newPeers()
		due := append(heartbeats("new", start, start.Add(time.Minute), nil), delivery{at: start.Add(5*heartbeatPeriod + sweepInterval), to: 1, heartbeat: endpoint("old", 1, nil)})
		p.runUntil(start.Add(5*heartbeatPeriod+3*sweepInterval), due, func() {})
		Expect(p.silent("old")).To(Equal(no))
		Expect(p.silent("new")).To(Equal(yes))
		p.runUntil(start.Add(6*heartbeatPeriod+3*sweepInterval), due, func() {})
		Expect(p.silent("new")).To(Equal(no))
		Expect(p.silent("old")).To(Equal(yes))
	})

	// The failure domain of the live endpoint is partitioned while a delayed heartbeat of
	// its crashed predecessor arrives as the last one heard at the address.
	It("keeps the live one while its heartbeats are lost and a late one of the other arrives", func() {
		due := heartbeats("old", start, start.Add(4*heartbeatPeriod), nil)
		for _, d := range heartbeats("new", start.Add(8*heartbeatPeriod), start.Add(time.Minute), nil) {
			if lost := d.at.After(start.Add(9*heartbeatPeriod)) && d.at.Before(start.Add(13*heartbeatPeriod)); !lost {
				due = append(due, d)
			}
		}
		due = append(due, delivery{at: start.Add(11 * heartbeatPeriod), to: 0, heartbeat: endpoint("old", 5, nil)})
		p := newPeers()
		p.runUntil(start.Add(40*heartbeatPeriod), due, func() {
			Expect(p.gone("new")).To(Equal(no), "marking it as gone would reset its open flows")
		})
		Expect(p.silent("new")).To(Equal(no))
		Expect(p.silent("old")).To(Equal(yes))
	})

	It("restarts conflicts after a pause of the process, which may have missed heartbeats", func() {
		r := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
		r.Heartbeat(start, endpoint("new", 5, nil))
		r.Heartbeat(start, endpoint("old", 1, nil))
		r.Heartbeat(start, endpoint("old", 2, nil))
		resumed := start.Add(10 * heartbeatPeriod)
		r.Heartbeat(resumed, endpoint("old", 3, nil)) // delayed like the earlier ones
		r.Sweep(resumed)
		Expect(find(r.Changes(resumed, 0), "new").Gone).To(BeFalse())
		r.Heartbeat(resumed.Add(heartbeatPeriod/2), endpoint("new", 18, nil))
		r.Sweep(resumed.Add(heartbeatPeriod))
		Expect(find(r.Changes(resumed, 0), "new").Silent).To(BeFalse())
	})

	It("never marks the live one as gone, for any order of the other's heartbeats", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 1))
			born := start.Add(time.Duration(random.Int64N(int64(6 * heartbeatPeriod))))
			due := heartbeats("new", born, start.Add(time.Minute), nil)
			for range 1 + random.IntN(12) {
				at := start.Add(time.Duration(random.Int64N(int64(24 * heartbeatPeriod))))
				late := endpoint("old", 1+random.Uint64N(9), nil)
				if random.IntN(4) == 0 {
					late.Leaving = true
				}
				due = append(due, delivery{at: at, to: random.IntN(2), heartbeat: late})
			}
			random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
			p := newPeers()
			p.runUntil(start.Add(40*heartbeatPeriod), due, func() { Expect(p.gone("new")).To(Equal(no), fmt.Sprint("seed ", seed)) })
			Expect(p.silent("old")).To(Equal(yes), fmt.Sprint("seed ", seed))
			Expect(p.silent("new")).To(Equal(no), fmt.Sprint("seed ", seed))
		}
	})

	It("reports both to a joining control instance, which resolves the conflict itself", func() {
		first := New(Config{HeartbeatPeriod: heartbeatPeriod}, start)
		first.Heartbeat(start, endpoint("new", 2, nil))
		first.Heartbeat(start, endpoint("old", 1, nil))
		joined := New(Config{HeartbeatPeriod: heartbeatPeriod}, start.Add(sweepInterval))
		joined.Merge(start.Add(sweepInterval), &wire.Reports{Endpoints: first.Changes(start.Add(sweepInterval), 0).Endpoints})
		for _, id := range []string{"new", "old"} {
			Expect(find(joined.Changes(start.Add(sweepInterval), 0), id).Gone).To(BeFalse(), id)
		}
	})
})
