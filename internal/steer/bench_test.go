package steer

import (
	"strconv"
	"testing"
	"time"

	"oxbowsaddle/internal/wire"
)

func BenchmarkSteer(b *testing.B) {
	s := benchmarkSteerer()
	d := s.Decide(start, synPacket(1000, 7, 0))
	p := flowPacket(1000, d.Tag, 8, 1, 10)
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
		s.Decide(start, synPacket(port, uint32(b.N), 0))
	}
}

// benchmarkSteerer returns a Steerer with a document and endpoints of one service.
func benchmarkSteerer() *Steerer {
	s := New(Config{Domain: "plateau", MaxFlowAge: time.Minute, MaxFlows: 10_000})
	s.SetDocument(start, testDocument(1, routeTo(bookingAddr, "booking")))
	var all []*wire.EndpointReport
	for n := range 120 {
		all = append(all, report("booking", n, nil))
	}
	s.Learn(start, "c1", reports(all...))
	return s
}

// BenchmarkChoose measures placement by the size of the service, over five failure domains.
func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{120, 480, 4_000, 55_000} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			s := fleetSteerer(irregularFleet(count))
			r := s.routes[bookingAddr]
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				s.choose(start, r, fleetSYNPacket(n), nil, nil)
			}
		})
	}
}

// averageAllocs returns the average number of allocations of f.
func averageAllocs(f func()) float64 { return testing.AllocsPerRun(100, f) }
