package soak

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkScenarios counts broken flows for 100,000 and the share of relayed
// packets, of the project's own placement and of the baseline, for each event.
// Run with -benchtime 1x: the result is what is counted, not the time.
func BenchmarkScenarios(b *testing.B) {
	events := []struct {
		name string
		run  func(w *World)
	}{
		{"no change", func(w *World) { w.Run(6 * time.Second) }},
		{"one drain", func(w *World) { w.Drain(2); w.Run(6 * time.Second) }},
		{"one join", func(w *World) { w.Join(); w.Run(6 * time.Second) }},
		{"one entry lost", func(w *World) { w.Drain(1); w.Run(time.Second); w.Kill("e3"); w.Run(5 * time.Second) }},
		{"two lost in a row", func(w *World) {
			w.Drain(1)
			w.Run(time.Second)
			w.Kill("e3")
			w.Run(1800 * time.Millisecond)
			w.Kill("e4")
			w.Run(3200 * time.Millisecond)
		}},
		{"restart of every entry", func(w *World) {
			w.Drain(1)
			for _, name := range w.names {
				w.Stop(name)
				w.Run(1500 * time.Millisecond)
				w.Restart(name)
				w.Run(1500 * time.Millisecond)
			}
		}},
		{"cut of a domain", func(w *World) {
			w.Cut("d2", true)
			w.Run(5 * time.Second)
			w.Cut("d2", false)
			w.Run(5 * time.Second)
		}},
	}
	for _, event := range events {
		for _, placement := range []string{"own", "modulo"} {
			b.Run(event.name+"/"+placement, func(b *testing.B) {
				for b.Loop() {
					r := measureEvent(placement == "modulo", event.run)
					b.ReportMetric(float64(r.ResetByBackend+r.Reset)*1e5/float64(r.Flows), "broken/100k")
					b.ReportMetric(100*float64(r.Relayed)/float64(r.Relayed+r.Forwarded), "%relayed")
					b.ReportMetric(float64(r.Flows), "flows")
				}
			})
		}
	}
}

func measureEvent(modulo bool, run func(w *World)) Report {
	w := New(Config{Seed: 7, Domains: 3, Entries: 8, Endpoints: 14, Balance: 0.8, Idle: 1500 * time.Millisecond, Modulo: modulo})
	w.Run(3 * time.Second)
	for i := range 600 {
		w.AddCaller(fmt.Sprintf("d%d", i%3))
	}
	w.Run(2 * time.Second)
	run(w)
	return w.Report()
}
