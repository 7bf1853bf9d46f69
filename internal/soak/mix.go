package soak

import (
	"fmt"
	"time"
)

// RunRandomFaults injects one random fault per round. Faults may overlap. At the
// end it reconnects all domains, restarts the entries that are down, and checks
// that the fleet converges.
func (sim *Sim) RunRandomFaults(rounds int) {
	for range rounds {
		sim.injectRandomFault()
		sim.Run(time.Duration(100+sim.rng.IntN(1500)) * time.Millisecond)
	}
	for domain := range sim.config.Domains {
		sim.SetPartitioned(fmt.Sprintf("d%d", domain), false)
	}
	for _, name := range sim.entryNames {
		if !sim.entries[name].alive {
			sim.Restart(name)
		}
	}
	const settleTime = 12 * time.Second
	sim.Run(settleTime)
	sim.checkConverged()
}

// injectRandomFault draws a fault and the entry or endpoint that it affects.
func (sim *Sim) injectRandomFault() {
	name := sim.entryNames[sim.rng.IntN(len(sim.entryNames))]
	endpoint := sim.rng.IntN(sim.config.Endpoints)
	kind := sim.rng.IntN(13)
	sim.tracef("fault %d instance %s endpoint %d", kind, name, endpoint)
	const maxEndpoints = 12
	switch kind {
	case 0, 1:
		sim.Drain(endpoint)
	case 2, 3:
		sim.Undrain(endpoint)
	case 4:
		if sim.config.Endpoints < maxEndpoints {
			sim.Join()
		}
	case 10:
		sim.ToggleWorkDrain(endpoint)
	default:
		sim.injectEntryFault(kind, name)
	}
}

// injectEntryFault injects a fault of an entry or its domain, or recovers some.
func (sim *Sim) injectEntryFault(kind int, name string) {
	switch kind {
	case 5:
		if sim.countAlive() > 5 {
			sim.Kill(name)
		}
	case 6:
		sim.Restart(name)
	case 7:
		if sim.countAlive() > 5 && sim.entries[name].alive {
			sim.Stop(name)
		}
	case 8:
		sim.Pause(name, time.Duration(sim.rng.IntN(5000))*time.Millisecond)
	case 9:
		sim.SetPartitioned(sim.entries[name].domain, true)
	case 11, 12:
		sim.recoverSome()
	}
}

// recoverSome reconnects all domains and restarts each entry that is down with
// probability 1/2.
func (sim *Sim) recoverSome() {
	for domain := range sim.config.Domains {
		sim.SetPartitioned(fmt.Sprintf("d%d", domain), false)
	}
	for _, n := range sim.entryNames {
		if !sim.entries[n].alive && sim.rng.IntN(2) == 0 {
			sim.Restart(n)
		}
	}
}

func (sim *Sim) countAlive() int {
	n := 0
	for _, e := range sim.entries {
		if e.alive {
			n++
		}
	}
	return n
}

// checkConverged checks that the controller lists no domain as partitioned or not
// yet recovered, that every entry has a lease and follows the log, and that no
// entry has counted an invariant violation.
func (sim *Sim) checkConverged() {
	if sim.state.Table().Uncertain() {
		sim.violationf("after recovery: partitioned %v, returned %v, returned with loss %v", sim.state.Table().Partitioned(), sim.state.Table().Returned(), sim.state.Table().ReturnedWithLoss())
	}
	for _, name := range sim.entryNames {
		e := sim.entries[name]
		if !e.alive {
			continue
		}
		if !sim.now.Before(e.member.LeaseUntil()) {
			sim.violationf("after recovery: %s has no lease", name)
		}
		if e.member.State().Index() == sim.state.Index() && e.member.State().Checksum() != sim.state.Checksum() {
			sim.violationf("after recovery: state of %s differs from the leader's at index %d", name, sim.state.Index())
		}
		if behind := sim.state.Index() - e.member.State().Index(); behind > 20 {
			sim.violationf("after recovery: %s is %d commands behind", name, behind)
		}
		if violations := e.entry.Flow().Stats().InvariantViolations + e.entry.Work().Stats().InvariantViolations; violations > 0 {
			sim.violationf("%s counted %d invariant violations", name, violations)
		}
	}
}
