package registry

import (
	"slices"
	"time"
)

// excusedAfter is the longest time between two sweeps that does not count as
// a pause of this process: several times their period of 0.2 s. Heartbeats may
// have been missed in a longer one.
const excusedAfter = time.Second

// An address is given away only after its endpoint has ended, so of the
// incarnations at one address one lives at most. Heartbeats do not tell which: a
// cut may hold one back until long after its sender has ended, and may lose those
// of the one that lives meanwhile. So what is inferred from them only turns new
// flows away; an incarnation ends by its own word alone, since its end has the open
// flows on it reset. Entries, which see whether an endpoint answers its callers,
// reset them by that. Flows name the incarnation that they are for, so that none
// reaches the other one.

// settle keeps the index of the living by address, and notes where two claim one.
func (r *Registry) settle(now time.Time, held *record) {
	addr := held.endpoint.Addr
	if held.endpoint.Gone || !addr.IsValid() {
		r.vacate(held)
		return
	}
	there := r.living[addr]
	if slices.Contains(there, held) {
		return
	}
	there = append(there, held)
	r.living[addr] = there
	if len(there) == 1 {
		return
	}
	for _, rival := range there {
		rival.rivalSince, rival.heardAgain = now, false
		rival.incumbent = rival != held
	}
}

// vacate takes a record out of the index of the living; whoever is left alone
// at the address is in doubt no longer.
func (r *Registry) vacate(held *record) {
	addr := held.endpoint.Addr
	there := slices.DeleteFunc(r.living[addr], func(other *record) bool { return other == held })
	held.rivalSince, held.heardAgain = time.Time{}, false
	if len(there) == 0 {
		delete(r.living, addr)
		return
	}
	r.living[addr] = there
	if len(there) == 1 {
		there[0].rivalSince, there[0].heardAgain = time.Time{}, false
	}
}

// doubted reports whether new flows avoid an incarnation, as one that is silent,
// since another one claims the address: the one that was known first, or after it
// was heard again the other one.
func (r *Registry) doubted(held *record) bool {
	if held.rivalSince.IsZero() || held.heardAgain {
		return false
	}
	return held.incumbent || slices.ContainsFunc(r.living[held.endpoint.Addr], func(rival *record) bool { return rival.heardAgain })
}

// excuse begins conflicts about addresses anew after a pause of this process, in
// which it may have missed heartbeats of either side.
func (r *Registry) excuse(now time.Time) {
	paused := now.Sub(r.swept) > excusedAfter
	r.swept = now
	if !paused {
		return
	}
	for _, held := range r.records {
		if !held.rivalSince.IsZero() {
			held.rivalSince, held.heardAgain = now, false
		}
	}
}

// span returns a number of heartbeat periods.
func (r *Registry) span(beats float64) time.Duration {
	return time.Duration(beats * float64(r.config.Beat))
}
