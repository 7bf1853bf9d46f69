// Package registry holds what the heartbeats of endpoints say: one record for
// each incarnation, ordered by the sequence that the endpoint counts up, so
// that a late heartbeat changes nothing. Records are soft state, shared among
// the control instances, and pushed to entries when they change. The package
// has no I/O; now is an argument.
package registry

import (
	"container/list"
	"net/netip"
	"time"
)

const (
	// silentAfterPeriods is how many heartbeat periods without a heartbeat make an
	// endpoint silent: two lost ones and the spread of the third.
	silentAfterPeriods = 2.6
	// forgetAfterPeriods is how many periods after its last heartbeat a record is
	// dropped: a flow's longest life of 60 s at a period of 0.77 s.
	forgetAfterPeriods = 80
	// coldMargin is by how much longer an endpoint must say that it is cold than it said
	// last to have become cold again: more than the error in what peers tell of that.
	coldMargin = 300 * time.Millisecond
)

type (
	// Endpoint is what one incarnation of an endpoint said of itself last.
	Endpoint struct {
		ID       string
		Number   uint64 // what a packet names the incarnation by
		Service  string
		Addr     netip.AddrPort
		Domain   string
		Slots    int
		Leaving  bool
		Gone     bool          // it has ended; nothing may go there
		Warm     time.Duration // how much longer it is slow, counted from the heartbeat
		Sequence uint64        // rises with each heartbeat
	}

	// Config sets the times of a Registry.
	Config struct {
		Beat time.Duration // an endpoint's heartbeat period
		// Changed is called with what entries must learn of an endpoint, and
		// how long ago it was heard; nil where nobody listens.
		Changed func(e Endpoint, silent bool, age time.Duration)
	}

	// Registry is the set of records of one control instance. One goroutine
	// at a time uses it.
	Registry struct {
		config       Config
		started      time.Time
		records      map[string]*record
		liveByAddr   map[netip.AddrPort][]*record // by address, those that are not known to have ended
		changeOrder  *list.List                   // records, the one that changed last at the back
		heardOrder   *list.List                   // records, the one that was heard last at the back
		revision     uint64                       // of the last heartbeat or change
		lastSweep    time.Time                    // when silence was last looked for
		stalled      time.Duration                // how long this process has stood still, in sum
		digest       Digest                       // of all records
		relays       bool                         // tells peers on of what other peers told
		newestByName map[string]*record           // by name, of those whose incarnations share an id
	}

	// record is what is known of one incarnation.
	record struct {
		endpoint           Endpoint
		heard              time.Time
		stalledWhenHeard   time.Duration // Registry.late when it was heard
		silent             bool
		conflictSince      time.Time     // when another incarnation at the address was first known, zero for none
		incumbent          bool          // known before the other one
		heardSinceConflict bool          // heard with a higher sequence since then
		sum                uint64        // as the registry's digest has it, 0 before that
		changeRev          uint64        // number of the last change that entries must know
		sumRev             uint64        // number of the last change that sums show
		viewRev            uint64        // number of the last change that they do not: of silence, or to cold
		peerRev            uint64        // number of the last heartbeat or change that peers must know
		peerFullRev        uint64        // number of the last one of which they must know all
		relayPending       bool          // peers were not told on of a change that a peer told of
		changeElem         *list.Element // of Registry.changes
		heardElem          *list.Element // of Registry.beats
	}
)

// New returns an empty registry.
func New(c Config, now time.Time) *Registry {
	return &Registry{
		config: c, started: now, lastSweep: now, records: map[string]*record{}, liveByAddr: map[netip.AddrPort][]*record{},
		changeOrder: list.New(), heardOrder: list.New(), relays: true, newestByName: map[string]*record{},
	}
}

// SetRelay has this registry tell peers on of what other peers told, or not. A change
// is acknowledged only once a majority of the voters holds it, and the leader hears from
// one of these: so it suffices that voters do, while what each instance would tell each
// other one grows with the square of their number.
func (r *Registry) SetRelay(relays bool) {
	if r.relays = relays; !relays {
		return
	}
	for _, rec := range r.records {
		if rec.relayPending {
			r.resendFull(rec)
		}
	}
}

// Hear takes a heartbeat of an endpoint itself and returns the number of the
// change. It reports false where the heartbeat is older than what is known.
func (r *Registry) Hear(now time.Time, e Endpoint) (uint64, bool) {
	revision, applied := r.apply(now, e, 0)
	rec := r.records[e.ID]
	switch {
	case applied:
		r.markForPeers(rec, false)
	case rec != nil && rec.relayPending: // whoever told of it may have told nobody else
		revision = r.resendFull(rec)
	}
	return revision, applied
}

// apply takes what an endpoint said age ago, to whomever. Peers are told of it
// only if it changes what is known: whoever heard a heartbeat itself tells all.
func (r *Registry) apply(now time.Time, e Endpoint, age time.Duration) (uint64, bool) {
	rec := r.records[e.ID]
	if rec != nil && (rec.endpoint.Gone || e.Sequence <= rec.endpoint.Sequence) {
		return max(rec.changeRev, rec.peerRev), false
	}
	if rec == nil {
		if later := r.supersede(now, e.ID); later != nil {
			return max(later.changeRev, later.peerRev), false
		}
	}
	r.revision++
	coldAgain := rec != nil && becameCold(rec, e)
	changed := rec == nil || coldAgain || differsForEntries(rec.endpoint, e)
	if rec == nil {
		rec = &record{}
		r.records[e.ID] = rec
		r.indexNewest(e.ID, rec)
	} else {
		rec.heardSinceConflict = !rec.conflictSince.IsZero()
	}
	if rec.endpoint.Addr != e.Addr {
		r.releaseAddr(rec)
	}
	if coldAgain {
		rec.viewRev = r.revision
	}
	rec.endpoint = e
	if heard := now.Add(-age); heard.After(rec.heard) {
		rec.heard, rec.stalledWhenHeard = heard, r.stalled
	}
	r.claimAddr(now, rec)
	if changed {
		r.relayToPeers(rec)
	}
	if r.avoided(now, rec) != rec.silent {
		r.setSilent(rec, !rec.silent)
		changed = true
	}
	if changed {
		r.markForEntries(now, rec)
	}
	return r.revision, true
}

// becameCold reports whether an incarnation became cold again: it says that it stays cold for
// longer than it said last. What it says is compared, and not when that was heard: of
// heartbeats that wait for a busy control instance each would seem to say so, and have every
// entry told, which makes it busier.
func becameCold(rec *record, e Endpoint) bool { return e.Warm > rec.endpoint.Warm+coldMargin }

// isCold reports whether an endpoint said that it is still isCold.
func (rec *record) isCold(now time.Time) bool {
	return rec.endpoint.Warm > 0 && now.Sub(rec.heard) < rec.endpoint.Warm
}

// differsForEntries reports whether entries must learn of the difference.
func differsForEntries(a, b Endpoint) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warm, b.Warm = 0, 0
	return a != b
}

// relayToPeers has peers told on of a change of the record, if this registry does that.
func (r *Registry) relayToPeers(rec *record) {
	if rec.relayPending = !r.relays; r.relays {
		r.markForPeers(rec, true)
	}
}

// resendFull has peers told all of a record under a number of its own, which it returns.
func (r *Registry) resendFull(rec *record) uint64 {
	r.revision++
	r.markForPeers(rec, true)
	return r.revision
}

// markForPeers notes that peers must learn of the record: that it was heard, or, where
// they may not know the rest, all of it.
func (r *Registry) markForPeers(rec *record, full bool) {
	if full || rec.relayPending {
		rec.peerFullRev, rec.relayPending = r.revision, false
	}
	rec.peerRev = r.revision
	rec.heardElem = moveToBack(r.heardOrder, rec.heardElem, rec)
}

// moveToBack moves a record's element to the back, or makes it.
func moveToBack(l *list.List, e *list.Element, rec *record) *list.Element {
	if e == nil {
		return l.PushBack(rec)
	}
	l.MoveToBack(e)
	return e
}

// markGone marks an incarnation as gone.
func (r *Registry) markGone(now time.Time, rec *record) {
	r.revision++
	rec.endpoint.Gone, rec.silent = true, false
	r.claimAddr(now, rec)
	r.markForEntries(now, rec)
}

// markForEntries notes that entries must learn of the record, and keeps the digest.
func (r *Registry) markForEntries(now time.Time, rec *record) {
	rec.changeRev = r.revision
	rec.changeElem = moveToBack(r.changeOrder, rec.changeElem, rec)
	r.digest.Toggle(rec.endpoint.ID, rec.sum)
	if sum := Sum(rec.endpoint); sum != rec.sum {
		rec.sum, rec.sumRev = sum, r.revision
	}
	r.digest.Toggle(rec.endpoint.ID, rec.sum)
	if r.config.Changed != nil {
		r.config.Changed(rec.endpoint, rec.silent, now.Sub(rec.heard))
	}
}

// Leave takes the message of an endpoint that it ends, and returns the number of the
// change. Where several incarnations share its id the message does not say whose it is: it is the
// newest one's if that one said that it leaves. Else it may be an earlier one's, held back
// until after the next start, whose open flows it must not end; one that ended without
// having been heard to leave falls silent.
func (r *Registry) Leave(now time.Time, id string) uint64 {
	if newest := r.newestByName[id]; newest != nil {
		if !newest.endpoint.Leaving {
			return max(newest.changeRev, newest.peerRev)
		}
		id = newest.endpoint.ID
	}
	revision := r.leave(now, Endpoint{ID: id})
	if rec := r.records[id]; rec.relayPending {
		revision = r.resendFull(rec)
	}
	return revision
}

// leave marks an incarnation as gone; e is what is known of it where this
// registry knows nothing.
func (r *Registry) leave(now time.Time, e Endpoint) uint64 {
	rec := r.records[e.ID]
	if rec == nil {
		e.Gone = false
		r.supersede(now, e.ID)
		r.revision++
		rec = &record{endpoint: e, heard: now}
		r.records[e.ID] = rec
		r.indexNewest(e.ID, rec)
	}
	if !rec.endpoint.Gone {
		rec.heard = now
		r.markGone(now, rec)
		r.relayToPeers(rec)
	}
	return rec.changeRev
}

// Sweep marks endpoints that fell silent, and drops records that nothing needs.
func (r *Registry) Sweep(now time.Time) {
	r.restartConflictsAfterPause(now)
	for id, rec := range r.records {
		if now.Sub(rec.heard) > forgetAfterPeriods*r.config.Beat {
			r.remove(id, rec)
			continue
		}
		if r.avoided(now, rec) != rec.silent {
			r.revision++
			r.setSilent(rec, !rec.silent)
			r.markForEntries(now, rec)
		}
	}
}

// avoided reports whether new flows avoid an endpoint, since heartbeats are
// missing or another one claims its address.
func (r *Registry) avoided(now time.Time, rec *record) bool {
	missing := now.Sub(rec.heard) - (r.stalled - rec.stalledWhenHeard)
	return !rec.endpoint.Gone && (missing > r.periods(silentAfterPeriods) || r.losesConflict(rec))
}

// setSilent notes a change of silence under the registry's present number.
func (r *Registry) setSilent(rec *record, silent bool) {
	rec.silent, rec.viewRev = silent, r.revision
}

// remove drops a record that nothing needs.
func (r *Registry) remove(id string, rec *record) {
	delete(r.records, id)
	r.releaseAddr(rec)
	r.digest.Toggle(id, rec.sum)
	r.changeOrder.Remove(rec.changeElem)
	if rec.heardElem != nil {
		r.heardOrder.Remove(rec.heardElem)
	}
	if name, _ := parseIncarnation(id); r.newestByName[name] == rec {
		delete(r.newestByName, name)
	}
}

// Digest sums up what is known.
func (r *Registry) Digest() Digest { return r.digest }

// Excuse takes that this process stood still for a span. It counts for no endpoint's
// silence: heartbeats wait meanwhile, or go elsewhere, and that this process is late is
// the likelier cause than thousands of endpoints being so.
func (r *Registry) Excuse(span time.Duration) { r.stalled += span }

// Whole reports whether every endpoint has had the time to send a heartbeat
// since the registry began; until then a missing one means nothing.
func (r *Registry) Whole(now time.Time) bool {
	return now.Sub(r.started) > 2*r.config.Beat
}

// Changed returns the number of the last change that entries must know.
func (r *Registry) Changed() uint64 {
	if last := r.changeOrder.Back(); last != nil {
		return last.Value.(*record).changeRev
	}
	return 0
}

// Len returns how many incarnations are known, gone ones included.
func (r *Registry) Len() int { return len(r.records) }
