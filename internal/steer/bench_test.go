package steer

import (
	"testing"
	"time"

	"oxbowsaddle/internal/wire"
)

func BenchmarkSteer(b *testing.B) {
	s := benchmarkSteerer()
	d := s.Decide(start, opening(1000, 7, 0))
	p := later(1000, d.Tag, 8, 1, 10)
	b.ReportAllocs()
	for b.Loop() {
		p.Seq += 10
		p.Ack += 10
		s.Decide(start, p)
	}
}

func BenchmarkPlace(b *testing.B) {
	s := benchmarkSteerer()
	b.ReportAllocs()
	var port uint16
	for b.Loop() {
		port++
		s.Decide(start, opening(port, uint32(b.N), 0))
	}
}

// benchmarkSteerer knows 120 endpoints, as large deployments have.
func benchmarkSteerer() *Steerer {
	s := New(Config{Domain: "plateau", MaxFlow: time.Minute, MaxFlows: 10_000})
	s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
	var all []*wire.EndpointReport
	for n := range 120 {
		all = append(all, report("booking", n, nil))
	}
	s.Learn(start, "c1", reports(all...))
	return s
}
