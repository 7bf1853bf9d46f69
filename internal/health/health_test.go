package health

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/placement"
	"oxbowsaddle/internal/route"
)

var start = time.Unix(1000, 0)

func newService(endpoints int, balance float64) (*route.Service, []*route.Endpoint) {
	b := route.NewBuilder(route.Empty(), 1)
	b.PutService(1, "s", nil, route.Policy{Balance: balance}, 64)
	for n := range uint32(endpoints) {
		b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{ID: n + 1, Service: 1, Connections: 1000}))
	}
	t := b.Table()
	return t.Service(1), t.EndpointsOf(1)
}

func reportFromBoth(a *Assessor, now time.Time, count int, r Report) {
	for range count {
		a.AddReport(now, "one", r)
		a.AddReport(now, "two", r)
	}
}

func shares(w []placement.Weight) []float64 {
	var all []float64
	for _, x := range w {
		all = append(all, x.Share)
	}
	return all
}

func TestEndpointChangesStateOnlyAfterThresholdReports(t *testing.T) {
	g := gomega.NewWithT(t)
	s, endpoints := newService(4, 0)
	a := New(DefaultConfig(), start)
	reportFromBoth(a, start, 1, Report{Endpoint: 1})
	g.Expect(shares(a.Weights(start, s, endpoints))[0]).To(gomega.BeNumerically(">", 0))
	reportFromBoth(a, start, 3, Report{Endpoint: 1})
	g.Expect(shares(a.Weights(start, s, endpoints))[0]).To(gomega.BeZero())
	reportFromBoth(a, start, 1, Report{Endpoint: 1, Healthy: true})
	g.Expect(shares(a.Weights(start, s, endpoints))[0]).To(gomega.BeZero(), "a single good report does not mark it up")
	reportFromBoth(a, start, 2, Report{Endpoint: 1, Healthy: true})
	g.Expect(shares(a.Weights(start, s, endpoints))[0]).To(gomega.BeNumerically(">", 0))
}

func TestSplitVotesAndStaleReportsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	s, endpoints := newService(4, 0)
	a := New(DefaultConfig(), start)
	for range 5 {
		a.AddReport(start, "one", Report{Endpoint: 1})
		a.AddReport(start, "two", Report{Endpoint: 1, Healthy: true})
	}
	g.Expect(shares(a.Weights(start, s, endpoints))[0]).To(gomega.BeNumerically(">", 0), "half of the checkers is no majority")
	reportFromBoth(a, start, 5, Report{Endpoint: 2})
	later := start.Add(time.Minute)
	g.Expect(shares(a.Weights(later, s, endpoints))[1]).To(gomega.BeNumerically(">", 0), "stale reports are ignored")
}

func TestPanicModeKeepsEndpointsOfAMostlyDownService(t *testing.T) {
	g := gomega.NewWithT(t)
	s, endpoints := newService(4, 0)
	a := New(DefaultConfig(), start)
	for id := range uint32(3) {
		reportFromBoth(a, start, 5, Report{Endpoint: id + 1})
	}
	for _, share := range shares(a.Weights(start, s, endpoints)) {
		g.Expect(share).To(gomega.BeNumerically(">", 0))
	}
	g.Expect(a.InPanicMode(1)).To(gomega.BeTrue())
}

func TestFalseLoadReportsShiftSharesWithinBound(t *testing.T) {
	g := gomega.NewWithT(t)
	s, endpoints := newService(4, 1)
	a := New(DefaultConfig(), start)
	now := start
	var last []float64
	for range 2000 {
		now = now.Add(250 * time.Millisecond)
		for id := range uint32(4) {
			connections := 500
			if id == 0 {
				connections = 0 // falsely reports that it is idle
			}
			reportFromBoth(a, now, 1, Report{Endpoint: id + 1, Healthy: true, Connections: connections})
		}
		last = shares(a.Weights(now, s, endpoints))
	}
	g.Expect(last[0] / last[1]).To(gomega.BeNumerically("<=", DefaultConfig().MaxLoadFactor*DefaultConfig().MaxLoadFactor+0.01))
}

func TestNewEndpointRampsUpAndFullEndpointGetsNoShare(t *testing.T) {
	g := gomega.NewWithT(t)
	s, endpoints := newService(2, 0)
	a := New(DefaultConfig(), start)
	later := start.Add(time.Hour)
	a.Weights(start, s, endpoints[:1])
	first := shares(a.Weights(later, s, endpoints))
	g.Expect(first[1]).To(gomega.BeNumerically("<", 0.3*first[0]))
	ramped := shares(a.Weights(later.Add(time.Minute), s, endpoints))
	g.Expect(ramped[1]).To(gomega.Equal(ramped[0]))
	reportFromBoth(a, later.Add(time.Minute), 1, Report{Endpoint: 2, Healthy: true, Connections: 1000})
	g.Expect(shares(a.Weights(later.Add(time.Minute), s, endpoints))[1]).To(gomega.BeZero())
}
