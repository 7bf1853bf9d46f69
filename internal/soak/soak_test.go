package soak

import (
	"fmt"
	"testing"
	"time"
)

// newSim returns a running simulation with clients of flows and of requests.
func newSim(seed uint64) *Sim {
	sim := New(Config{Seed: seed, Domains: 3, Entries: 8, Endpoints: 6, Balance: 0.5, IdleTimeout: 1500 * time.Millisecond})
	sim.Run(3 * time.Second)
	for i := range 60 {
		sim.AddClient(fmt.Sprintf("d%d", i%3))
	}
	for i := range 12 {
		sim.AddRequester(fmt.Sprintf("d%d", i%3), i%3 == 2)
	}
	sim.Run(2 * time.Second)
	return sim
}

// checkReport fails the test if the simulation found a violation.
func checkReport(t *testing.T, sim *Sim, seed uint64) Report {
	t.Helper()
	r := sim.Report()
	for _, f := range r.Violations {
		t.Errorf("seed %d: %s", seed, f)
	}
	if r.Split+r.Crossed+r.NewAfterDrain+r.ResetByBackend+r.RanTwice+r.FalseNotRun > 0 {
		t.Errorf("seed %d: split %d, crossed %d, late %d, reset by backend %d, ran twice %d, false not run %d",
			seed, r.Split, r.Crossed, r.NewAfterDrain, r.ResetByBackend, r.RanTwice, r.FalseNotRun)
	}
	return r
}

// Checks the invariants in fixed sequences of faults, each with several seeds.
func TestScenarios(t *testing.T) {
	scenarios := map[string]func(sim *Sim){
		"no faults": func(s *Sim) { s.Run(3 * time.Second) },
		"drain":     func(s *Sim) { s.Drain(2); s.Run(8 * time.Second) },
		"drain and undrain": func(s *Sim) {
			s.Drain(2)
			s.Run(1200 * time.Millisecond)
			s.Undrain(2)
			s.Run(5 * time.Second)
		},
		"join":             func(s *Sim) { s.Join(); s.Run(6 * time.Second) },
		"kill":             func(s *Sim) { s.Drain(1); s.Run(time.Second); s.Kill("e3"); s.Run(6 * time.Second) },
		"kill two at once": func(s *Sim) { s.Drain(1); s.Run(time.Second); s.Kill("e3"); s.Kill("e4"); s.Run(6 * time.Second) },
		"kill two in a row": func(s *Sim) {
			s.Drain(1)
			s.Run(time.Second)
			s.Kill("e3")
			s.Run(1800 * time.Millisecond)
			s.Kill("e4")
			s.Run(6 * time.Second)
		},
		"restart": func(s *Sim) { s.Drain(1); s.Run(time.Second); s.Restart("e5"); s.Run(5 * time.Second) },
		"pause":   func(s *Sim) { s.Drain(1); s.Run(time.Second); s.Pause("e5", 4*time.Second); s.Run(8 * time.Second) },
		"partition": func(s *Sim) {
			s.SetPartitioned("d2", true)
			s.Run(8 * time.Second)
			s.SetPartitioned("d2", false)
			s.Run(8 * time.Second)
		},
		"rolling restart": func(s *Sim) {
			s.Drain(1)
			for _, name := range s.entryNames {
				s.Stop(name)
				s.Run(1500 * time.Millisecond)
				s.Restart(name)
				s.Run(1500 * time.Millisecond)
			}
		},
	}
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				sim := newSim(seed)
				run(sim)
				r := checkReport(t, sim, seed)
				t.Logf("flows %d ended %d reset by an entry %d not opened %d forwarded %d relayed %d requests %d %v unanswered %d", r.Flows, r.Ended, r.ResetByEntry, r.NotOpened, r.Forwarded, r.Relayed, r.Requests, r.Answers, r.Unanswered)
			}
		})
	}
}
