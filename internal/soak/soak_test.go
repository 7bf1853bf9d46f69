package soak

import (
	"fmt"
	"testing"
	"time"
)

func newSimulation(seed uint64) *Simulation {
	sim := New(Config{Seed: seed, Domains: 3, Entries: 8, Endpoints: 6, Balance: 0.5, IdleTimeout: 1500 * time.Millisecond})
	sim.Run(3 * time.Second)
	for i := range 60 {
		sim.AddCaller(fmt.Sprintf("d%d", i%3))
	}
	for i := range 12 {
		sim.AddRequester(fmt.Sprintf("d%d", i%3), i%3 == 2)
	}
	sim.Run(2 * time.Second)
	return sim
}

func checkReport(t *testing.T, sim *Simulation, seed uint64) Report {
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

func TestScenarios(t *testing.T) {
	scenarios := map[string]func(sim *Simulation){
		"quiet": func(sim *Simulation) { sim.Run(3 * time.Second) },
		"drain": func(sim *Simulation) { sim.Drain(2); sim.Run(8 * time.Second) },
		"drain and back": func(sim *Simulation) {
			sim.Drain(2)
			sim.Run(1200 * time.Millisecond)
			sim.Undrain(2)
			sim.Run(5 * time.Second)
		},
		"join": func(sim *Simulation) { sim.Join(); sim.Run(6 * time.Second) },
		"kill": func(sim *Simulation) { sim.Drain(1); sim.Run(time.Second); sim.Kill("e3"); sim.Run(6 * time.Second) },
		"kill two at once": func(sim *Simulation) {
			sim.Drain(1)
			sim.Run(time.Second)
			sim.Kill("e3")
			sim.Kill("e4")
			sim.Run(6 * time.Second)
		},
		"kill, then second": func(sim *Simulation) {
			sim.Drain(1)
			sim.Run(time.Second)
			sim.Kill("e3")
			sim.Run(1800 * time.Millisecond)
			sim.Kill("e4")
			sim.Run(6 * time.Second)
		},
		"restart": func(sim *Simulation) { sim.Drain(1); sim.Run(time.Second); sim.Restart("e5"); sim.Run(5 * time.Second) },
		"pause": func(sim *Simulation) {
			sim.Drain(1)
			sim.Run(time.Second)
			sim.Pause("e5", 4*time.Second)
			sim.Run(8 * time.Second)
		},
		"cut": func(sim *Simulation) {
			sim.SetPartitioned("d2", true)
			sim.Run(8 * time.Second)
			sim.SetPartitioned("d2", false)
			sim.Run(8 * time.Second)
		},
		"rolling restart": func(sim *Simulation) {
			sim.Drain(1)
			for _, name := range sim.entryNames {
				sim.Stop(name)
				sim.Run(1500 * time.Millisecond)
				sim.Restart(name)
				sim.Run(1500 * time.Millisecond)
			}
		},
	}
	for name, run := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				sim := newSimulation(seed)
				run(sim)
				r := checkReport(t, sim, seed)
				t.Logf("flows %d ended %d reset %d undecided %d forwarded %d relayed %d requests %d %v unanswered %d", r.Flows, r.Ended, r.ResetByEntry, r.NotOpened, r.Forwarded, r.Relayed, r.Requests, r.Answers, r.Unanswered)
			}
		})
	}
}
