package soak

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkScenarios reports the broken flows per 100,000 and the share of relayed
// packets for each event, with the stateful placement ("own") and with the
// stateless baseline ("modulo"). The time is meaningless: run it with -benchtime 1x.
func BenchmarkScenarios(b *testing.B) {
	events := []struct {
		name string
		run  func(s *Sim)
	}{
		{"no change", func(s *Sim) { s.Run(6 * time.Second) }},
		{"one drain", func(s *Sim) { s.Drain(2); s.Run(6 * time.Second) }},
		{"one join", func(s *Sim) { s.Join(); s.Run(6 * time.Second) }},
		{"one entry lost", func(s *Sim) { s.Drain(1); s.Run(time.Second); s.Kill("e3"); s.Run(5 * time.Second) }},
		{"two lost in a row", func(s *Sim) {
			s.Drain(1)
			s.Run(time.Second)
			s.Kill("e3")
			s.Run(1800 * time.Millisecond)
			s.Kill("e4")
			s.Run(3200 * time.Millisecond)
		}},
		{"restart of every entry", func(s *Sim) {
			s.Drain(1)
			for _, name := range s.entryNames {
				s.Stop(name)
				s.Run(1500 * time.Millisecond)
				s.Restart(name)
				s.Run(1500 * time.Millisecond)
			}
		}},
		{"cut of a domain", func(s *Sim) {
			s.SetPartitioned("d2", true)
			s.Run(5 * time.Second)
			s.SetPartitioned("d2", false)
			s.Run(5 * time.Second)
		}},
	}
	for _, event := range events {
		for _, placement := range []string{"own", "modulo"} {
			b.Run(event.name+"/"+placement, func(b *testing.B) {
				for b.Loop() {
					r := measureEvent(placement == "modulo", event.run)
					b.ReportMetric(float64(r.ResetByBackend+r.ResetByEntry)*1e5/float64(r.Flows), "broken/100k")
					b.ReportMetric(100*float64(r.Relayed)/float64(r.Relayed+r.Forwarded), "%relayed")
					b.ReportMetric(float64(r.Flows), "flows")
				}
			})
		}
	}
}

// measureEvent returns the report of a simulation with many clients in which one
// event happens.
func measureEvent(modulo bool, run func(s *Sim)) Report {
	sim := New(Config{Seed: 7, Domains: 3, Entries: 8, Endpoints: 14, Balance: 0.8, IdleTimeout: 1500 * time.Millisecond, Modulo: modulo})
	sim.Run(3 * time.Second)
	for i := range 600 {
		sim.AddClient(fmt.Sprintf("d%d", i%3))
	}
	sim.Run(2 * time.Second)
	run(sim)
	return sim.Report()
}
