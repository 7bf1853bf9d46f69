package registry

import (
	"slices"
	"time"
)

// pauseThreshold is the longest time between two sweeps that does not count as
// a pause of this process: several times their period of 0.2 s. Heartbeats may
// have been missed in a longer one.
const pauseThreshold = time.Second

// An address is given away only after its endpoint has ended, so of the
// incarnations at one address one lives at most. Heartbeats do not tell which: a
// cut may hold one back until long after its sender has ended, and may lose those
// of the one that lives meanwhile. So what is inferred from them only turns new
// flows away; an incarnation ends by its own word alone, since its end has the open
// flows on it reset. Entries, which see whether an endpoint answers its callers,
// reset them by that. Flows name the incarnation that they are for, so that none
// reaches the other one.

// claimAddr keeps the index of the living by address, and notes where two claim one.
func (r *Registry) claimAddr(now time.Time, rec *record) {
	addr := rec.endpoint.Addr
	if rec.endpoint.Gone || !addr.IsValid() {
		r.releaseAddr(rec)
		return
	}
	claimants := r.liveByAddr[addr]
	if slices.Contains(claimants, rec) {
		return
	}
	claimants = append(claimants, rec)
	r.liveByAddr[addr] = claimants
	if len(claimants) == 1 {
		return
	}
	for _, rival := range claimants {
		rival.conflictSince, rival.heardSinceConflict = now, false
		rival.incumbent = rival != rec
	}
}

// releaseAddr takes a record out of the index of the living; whoever is left alone
// at the address is in doubt no longer.
func (r *Registry) releaseAddr(rec *record) {
	addr := rec.endpoint.Addr
	claimants := slices.DeleteFunc(r.liveByAddr[addr], func(other *record) bool { return other == rec })
	rec.conflictSince, rec.heardSinceConflict = time.Time{}, false
	if len(claimants) == 0 {
		delete(r.liveByAddr, addr)
		return
	}
	r.liveByAddr[addr] = claimants
	if len(claimants) == 1 {
		claimants[0].conflictSince, claimants[0].heardSinceConflict = time.Time{}, false
	}
}

// losesConflict reports whether new flows avoid an incarnation, as one that is silent,
// since another one claims the address: the one that was known first, or after it
// was heard again the other one.
func (r *Registry) losesConflict(rec *record) bool {
	if rec.conflictSince.IsZero() || rec.heardSinceConflict {
		return false
	}
	return rec.incumbent || slices.ContainsFunc(r.liveByAddr[rec.endpoint.Addr], func(rival *record) bool { return rival.heardSinceConflict })
}

// restartConflictsAfterPause begins conflicts about addresses anew after a pause of this process, in
// which it may have missed heartbeats of either side.
func (r *Registry) restartConflictsAfterPause(now time.Time) {
	paused := now.Sub(r.lastSweep) > pauseThreshold
	r.lastSweep = now
	if !paused {
		return
	}
	for _, rec := range r.records {
		if !rec.conflictSince.IsZero() {
			rec.conflictSince, rec.heardSinceConflict = now, false
		}
	}
}

// periods returns a number of heartbeat periods.
func (r *Registry) periods(n float64) time.Duration {
	return time.Duration(n * float64(r.config.Beat))
}
