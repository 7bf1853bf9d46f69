package registry

import (
	"slices"
	"time"
)

// pauseThreshold is the interval between two sweeps above which this process counts
// as paused, and may have missed heartbeats. It is several times their interval of 0.2 s.
const pauseThreshold = time.Second

// An address is reused only after its endpoint has ended, so at most one of the
// incarnations that claim an address is alive. Heartbeats do not show which one: a
// network partition may delay a heartbeat until after its sender has ended, and drop
// those of the live one. A conflict therefore only diverts new flows. An incarnation
// is marked as gone only by its own message or that of a later incarnation, because
// this resets its open flows. Flows carry the incarnation they belong to, so none
// reaches the other one.

// claimAddr adds a live record to the address index, or removes one that is gone.
// If other records claim the address, a conflict begins.
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

// releaseAddr removes a record from the address index. A single remaining claimant
// is no longer in conflict.
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

// losesConflict reports whether new flows avoid a record because of an address
// conflict: the incumbent until its next heartbeat, and a newcomer if a rival has sent
// a heartbeat since the conflict began and it has not.
func (r *Registry) losesConflict(rec *record) bool {
	if rec.conflictSince.IsZero() || rec.heardSinceConflict {
		return false
	}
	return rec.incumbent || slices.ContainsFunc(r.liveByAddr[rec.endpoint.Addr], func(rival *record) bool { return rival.heardSinceConflict })
}

// restartConflictsAfterPause restarts all address conflicts after a pause of this
// process, in which it may have missed heartbeats of either side.
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

// periods returns the duration of n heartbeat periods.
func (r *Registry) periods(n float64) time.Duration {
	return time.Duration(n * float64(r.config.HeartbeatPeriod))
}
