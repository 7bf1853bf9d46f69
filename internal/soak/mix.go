package soak

import (
	"fmt"
	"time"
)

// Mix runs rounds of random faults; each round draws one, and a few of them
// overlap. At the end everything is mended and must come to rest.
func (w *World) Mix(rounds int) {
	for range rounds {
		w.drawFault()
		w.Run(time.Duration(100+w.rng.IntN(1500)) * time.Millisecond)
	}
	for domain := range w.config.Domains {
		w.Cut(fmt.Sprintf("d%d", domain), false)
	}
	for _, name := range w.names {
		if !w.entries[name].alive {
			w.Restart(name)
		}
	}
	const rest = 12 * time.Second
	w.Run(rest)
	w.checkRest()
}

func (w *World) drawFault() {
	name := w.names[w.rng.IntN(len(w.names))]
	endpoint := w.rng.IntN(w.config.Endpoints)
	kind := w.rng.IntN(13)
	w.note("fault %d instance %s endpoint %d", kind, name, endpoint)
	const mostEndpoints = 12
	switch kind {
	case 0, 1:
		w.Drain(endpoint)
	case 2, 3:
		w.Undrain(endpoint)
	case 4:
		if w.config.Endpoints < mostEndpoints {
			w.Join()
		}
	case 10:
		w.DrainDesk(endpoint)
	default:
		w.faultOf(kind, name)
	}
}

// faultOf lets something happen to an entry or its domain.
func (w *World) faultOf(kind int, name string) {
	switch kind {
	case 5:
		if w.alive() > 5 {
			w.Kill(name)
		}
	case 6:
		w.Restart(name)
	case 7:
		if w.alive() > 5 && w.entries[name].alive {
			w.Stop(name)
		}
	case 8:
		w.Pause(name, time.Duration(w.rng.IntN(5000))*time.Millisecond)
	case 9:
		w.Cut(w.entries[name].domain, true)
	case 11, 12:
		w.mendSome()
	}
}

// mendSome joins the domains again and starts half of the dead entries.
func (w *World) mendSome() {
	for domain := range w.config.Domains {
		w.Cut(fmt.Sprintf("d%d", domain), false)
	}
	for _, n := range w.names {
		if !w.entries[n].alive && w.rng.IntN(2) == 0 {
			w.Restart(n)
		}
	}
}

func (w *World) alive() int {
	n := 0
	for _, e := range w.entries {
		if e.alive {
			n++
		}
	}
	return n
}

// checkRest asserts that the views have converged and no doubt is left.
func (w *World) checkRest() {
	if w.state.Table().Uncertain() {
		w.fault("at rest: cut %v, returned %v, bereft %v", w.state.Table().Partitioned(), w.state.Table().Returned(), w.state.Table().ReturnedWithLoss())
	}
	for _, name := range w.names {
		e := w.entries[name]
		if !e.alive {
			continue
		}
		if !w.now.Before(e.member.LeaseUntil()) {
			w.fault("at rest: %s has no lease", name)
		}
		if e.member.State().Index() == w.state.Index() && e.member.State().Checksum() != w.state.Checksum() {
			w.fault("at rest: %s has another state at index %d", name, w.state.Index())
		}
		if behind := w.state.Index() - e.member.State().Index(); behind > 20 {
			w.fault("at rest: %s is %d commands behind", name, behind)
		}
		if broken := e.entry.Flow().Stats().InvariantViolations + e.entry.Work().Stats().Broken; broken > 0 {
			w.fault("%s asserted a broken rule %d times", name, broken)
		}
	}
}
