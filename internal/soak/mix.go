package soak

import (
	"fmt"
	"time"
)

// RunRandomFaults injects one random fault per round. Faults may overlap. At the
// end it reconnects all domains, restarts the entries that are down, and checks
// that the fleet converges.
func (s *Sim) RunRandomFaults(rounds int) {
	for range rounds {
		s.injectRandomFault()
		s.Run(time.Duration(100+s.rng.IntN(1500)) * time.Millisecond)
	}
	for domain := range s.config.Domains {
		s.SetPartitioned(fmt.Sprintf("d%d", domain), false)
	}
	for _, name := range s.entryNames {
		if !s.entries[name].alive {
			s.Restart(name)
		}
	}
	const settleTime = 12 * time.Second
	s.Run(settleTime)
	s.checkConverged()
}

// injectRandomFault draws a fault and the entry or endpoint that it affects.
func (s *Sim) injectRandomFault() {
	name := s.entryNames[s.rng.IntN(len(s.entryNames))]
	endpoint := s.rng.IntN(s.config.Endpoints)
	kind := s.rng.IntN(13)
	s.tracef("fault %d instance %s endpoint %d", kind, name, endpoint)
	const maxEndpoints = 12
	switch kind {
	case 0, 1:
		s.Drain(endpoint)
	case 2, 3:
		s.Undrain(endpoint)
	case 4:
		if s.config.Endpoints < maxEndpoints {
			s.Join()
		}
	case 10:
		s.ToggleWorkDrain(endpoint)
	default:
		s.injectEntryFault(kind, name)
	}
}

// injectEntryFault injects a fault of an entry or its domain, or recovers some.
func (s *Sim) injectEntryFault(kind int, name string) {
	switch kind {
	case 5:
		if s.countAlive() > 5 {
			s.Kill(name)
		}
	case 6:
		s.Restart(name)
	case 7:
		if s.countAlive() > 5 && s.entries[name].alive {
			s.Stop(name)
		}
	case 8:
		s.Pause(name, time.Duration(s.rng.IntN(5000))*time.Millisecond)
	case 9:
		s.SetPartitioned(s.entries[name].domain, true)
	case 11, 12:
		s.recoverSome()
	}
}

// recoverSome reconnects all domains and restarts each entry that is down with
// probability 1/2.
func (s *Sim) recoverSome() {
	for domain := range s.config.Domains {
		s.SetPartitioned(fmt.Sprintf("d%d", domain), false)
	}
	for _, n := range s.entryNames {
		if !s.entries[n].alive && s.rng.IntN(2) == 0 {
			s.Restart(n)
		}
	}
}

func (s *Sim) countAlive() int {
	n := 0
	for _, e := range s.entries {
		if e.alive {
			n++
		}
	}
	return n
}

// checkConverged checks that the controller lists no domain as partitioned or not
// yet recovered, that every entry has a lease and follows the log, and that no
// entry has counted an invariant violation.
func (s *Sim) checkConverged() {
	if s.state.Table().Uncertain() {
		s.violationf("after recovery: partitioned %v, returned %v, returned with loss %v", s.state.Table().Partitioned(), s.state.Table().Returned(), s.state.Table().ReturnedWithLoss())
	}
	for _, name := range s.entryNames {
		e := s.entries[name]
		if !e.alive {
			continue
		}
		if !s.now.Before(e.member.LeaseUntil()) {
			s.violationf("after recovery: %s has no lease", name)
		}
		if e.member.State().Index() == s.state.Index() && e.member.State().Checksum() != s.state.Checksum() {
			s.violationf("after recovery: state of %s differs from the leader's at index %d", name, s.state.Index())
		}
		if behind := s.state.Index() - e.member.State().Index(); behind > 20 {
			s.violationf("after recovery: %s is %d commands behind", name, behind)
		}
		if violations := e.entry.Flow().Stats().InvariantViolations + e.entry.Work().Stats().InvariantViolations; violations > 0 {
			s.violationf("%s counted %d invariant violations", name, violations)
		}
	}
}
