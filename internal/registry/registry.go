// Package registry keeps the state that endpoints announce in their heartbeats, in
// one record for each incarnation. The endpoint's sequence number orders heartbeats,
// so that a late one has no effect. Records are soft state, exchanged among the
// control instances and pushed to entries when they change. The package performs no
// I/O, and callers pass in the current time.
package registry

import (
	"container/list"
	"net/netip"
	"time"
	"unicode/utf8"

	"oxbowsaddle/internal/fault"
)

const (
	// silentAfterPeriods is how many heartbeat periods without a heartbeat make an
	// endpoint silent. It tolerates two lost heartbeats and the jitter of the third.
	silentAfterPeriods = 2.6
	// forgetAfterPeriods is how many heartbeat periods after its last heartbeat a record
	// is removed. It exceeds the longest life of a flow.
	forgetAfterPeriods = 80
	// coldMargin is by how much the announced warm-up time must exceed the previous one
	// to mean that the endpoint is cold again. It exceeds the error of times relayed by
	// peers.
	coldMargin = 300 * time.Millisecond
)

type (
	// Endpoint is the state that one incarnation of an endpoint announced last.
	Endpoint struct {
		ID       string
		Number   uint64 // identifies the incarnation in packets
		Service  string
		Addr     netip.AddrPort
		Domain   string
		Slots    int
		Leaving  bool
		Gone     bool          // it has ended and receives no traffic
		Warmup   time.Duration // remaining warm-up time as of the heartbeat
		Sequence uint64        // increases with each heartbeat
	}

	// Config configures a Registry.
	Config struct {
		HeartbeatPeriod time.Duration // heartbeat period of endpoints
		// OnChange is called with each change that entries must learn of, and the time
		// since the endpoint's last message; it may be nil.
		OnChange func(e Endpoint, silent bool, age time.Duration)
	}

	// Registry holds the endpoint records of one control instance. It is not safe
	// for concurrent use.
	Registry struct {
		config           Config
		started          time.Time
		records          map[string]*record
		liveByAddr       map[netip.AddrPort][]*record // records that are not gone
		changeOrder      *list.List                   // records in order of their last change for entries
		heardOrder       *list.List                   // records in order of their last heartbeat or change for peers
		revision         uint64                       // rises with each heartbeat or change
		lastSweep        time.Time
		stalled          time.Duration      // total time for which this process was stalled
		digest           Digest             // of all records
		relays           bool               // whether changes learned from peers are relayed to other peers
		newestBySharedID map[string]*record // newest incarnation by shared ID
		pools            map[Pool]*poolIndex
	}

	// record is the state of one incarnation. The fields ending in Rev hold the
	// Registry.revision of the last change of a kind, 0 for none.
	record struct {
		endpoint           Endpoint
		lastHeard          time.Time     // when its last message arrived, here or at a peer
		stalledWhenHeard   time.Duration // Registry.stalled at lastHeard
		silent             bool
		conflictSince      time.Time     // start of the current address conflict, zero for none
		incumbent          bool          // it had the address before the conflict
		heardSinceConflict bool          // a newer heartbeat arrived since conflictSince
		sum                uint64        // its checksum in Registry.digest, 0 if not yet included
		changeRev          uint64        // any change that entries must learn of
		sumRev             uint64        // a change of sum
		viewRev            uint64        // a change that sum does not cover: silence, or cold again
		peerRev            uint64        // a heartbeat or change that peers must learn of
		peerFullRev        uint64        // the same, where peers need the full record
		relayPending       bool          // a change learned from a peer was not relayed
		changeElem         *list.Element // its element in Registry.changeOrder
		heardElem          *list.Element // its element in Registry.heardOrder
		pool               Pool          // its pool in Registry.pools
	}
)

// ValidText reports whether a text may be part of a record. Messages between instances
// carry only UTF-8, and a record that cannot be encoded ends each link that it is sent on.
func ValidText(text string) bool { return utf8.ValidString(text) }

// Validate returns an error of kind InvalidChange unless ValidText holds for all texts of
// the endpoint.
func (e Endpoint) Validate() error {
	for _, text := range []string{e.ID, e.Service, e.Domain} {
		if !ValidText(text) {
			return fault.New(fault.InvalidChange, "endpoint: %q is not UTF-8", text)
		}
	}
	return nil
}

// New returns an empty registry.
func New(c Config, now time.Time) *Registry {
	return &Registry{
		config: c, started: now, lastSweep: now, records: map[string]*record{}, liveByAddr: map[netip.AddrPort][]*record{},
		changeOrder: list.New(), heardOrder: list.New(), relays: true, newestBySharedID: map[string]*record{},
		pools: map[Pool]*poolIndex{},
	}
}

// SetRelay sets whether this registry relays changes learned from peers to other
// peers. Relaying among all instances would cost traffic quadratic in their number.
// It suffices that voters relay: a change is acknowledged only once a majority of
// them has it, and the leader receives reports from at least one of these.
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

// Heartbeat applies a heartbeat received from the endpoint itself, and returns the
// revision that covers it. It reports false if the heartbeat is not newer than the
// record.
func (r *Registry) Heartbeat(now time.Time, e Endpoint) (uint64, bool) {
	revision, applied := r.apply(now, e, 0)
	rec := r.records[e.ID]
	switch {
	case applied:
		r.markForPeers(rec, false)
	case rec != nil && rec.relayPending: // the peer that reported it may not have reached the others
		revision = r.resendFull(rec)
	}
	return revision, applied
}

// apply applies a heartbeat that was received age ago, here or by a peer. Peers are
// informed only if it changes the record: the instance that received a heartbeat
// sends it to all others itself.
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
	if heard := now.Add(-age); heard.After(rec.lastHeard) {
		rec.lastHeard, rec.stalledWhenHeard = heard, r.stalled
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

// becameCold reports whether an endpoint is cold again, that is, announces a longer
// warm-up time than before. It compares the announced values and not the times of
// receipt, because heartbeats queued at a busy control instance would all appear to
// extend the warm-up and trigger pushes to every entry.
func becameCold(rec *record, e Endpoint) bool { return e.Warmup > rec.endpoint.Warmup+coldMargin }

// isCold reports whether the announced warm-up is still under way.
func (r *record) isCold(now time.Time) bool {
	return r.endpoint.Warmup > 0 && now.Sub(r.lastHeard) < r.endpoint.Warmup
}

// differsForEntries reports whether two states differ in fields that entries must
// learn of.
func differsForEntries(a, b Endpoint) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warmup, b.Warmup = 0, 0
	return a != b
}

// relayToPeers sends a change of the record to peers if this registry relays, and
// otherwise notes that this is pending.
func (r *Registry) relayToPeers(rec *record) {
	if rec.relayPending = !r.relays; r.relays {
		r.markForPeers(rec, true)
	}
}

// resendFull schedules the full record for peers under a new revision, which it
// returns.
func (r *Registry) resendFull(rec *record) uint64 {
	r.revision++
	r.markForPeers(rec, true)
	return r.revision
}

// markForPeers schedules the record for peers: a bare heartbeat, or the full record
// if requested or if a relay is pending.
func (r *Registry) markForPeers(rec *record, full bool) {
	if full || rec.relayPending {
		rec.peerFullRev, rec.relayPending = r.revision, false
	}
	rec.peerRev = r.revision
	rec.heardElem = moveToBack(r.heardOrder, rec.heardElem, rec)
}

// moveToBack moves a record's list element to the back, creating it if nil.
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

// markForEntries schedules the record for entries and updates the digest.
func (r *Registry) markForEntries(now time.Time, rec *record) {
	rec.changeRev = r.revision
	r.indexPool(rec)
	rec.changeElem = moveToBack(r.changeOrder, rec.changeElem, rec)
	r.digest.Toggle(rec.endpoint.ID, rec.sum)
	if sum := Sum(rec.endpoint); sum != rec.sum {
		rec.sum, rec.sumRev = sum, r.revision
	}
	r.digest.Toggle(rec.endpoint.ID, rec.sum)
	if r.config.OnChange != nil {
		r.config.OnChange(rec.endpoint, rec.silent, now.Sub(rec.lastHeard))
	}
}

// Leave applies an endpoint's message that it ends, and returns the revision of the
// change. If incarnations share the ID, the message does not name one of them, and
// is taken for the newest one's only if that announced that it is leaving. Otherwise
// it may be a delayed message of an earlier incarnation and must not reset the newest
// one's flows; an incarnation whose leaving heartbeat never arrived becomes silent
// instead.
func (r *Registry) Leave(now time.Time, id string) uint64 {
	if newest := r.newestBySharedID[id]; newest != nil {
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

// leave marks an incarnation as gone. If it is unknown, it is added with the state
// in e.
func (r *Registry) leave(now time.Time, e Endpoint) uint64 {
	rec := r.records[e.ID]
	if rec == nil {
		e.Gone = false
		r.supersede(now, e.ID)
		r.revision++
		rec = &record{endpoint: e, lastHeard: now}
		r.records[e.ID] = rec
		r.indexNewest(e.ID, rec)
	}
	if !rec.endpoint.Gone {
		rec.lastHeard = now
		r.markGone(now, rec)
		r.relayToPeers(rec)
	}
	return rec.changeRev
}

// Sweep updates which endpoints are silent and removes expired records.
func (r *Registry) Sweep(now time.Time) {
	r.restartConflictsAfterPause(now)
	for id, rec := range r.records {
		if now.Sub(rec.lastHeard) > forgetAfterPeriods*r.config.HeartbeatPeriod {
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

// avoided reports whether new flows avoid an endpoint because its heartbeats are
// missing or it loses an address conflict.
func (r *Registry) avoided(now time.Time, rec *record) bool {
	missing := now.Sub(rec.lastHeard) - (r.stalled - rec.stalledWhenHeard)
	return !rec.endpoint.Gone && (missing > r.periods(silentAfterPeriods) || r.losesConflict(rec))
}

// setSilent records a change of silence at the current revision.
func (r *Registry) setSilent(rec *record, silent bool) {
	rec.silent, rec.viewRev = silent, r.revision
}

// remove removes a record and its index entries.
func (r *Registry) remove(id string, rec *record) {
	delete(r.records, id)
	r.releaseAddr(rec)
	r.removeFromPool(rec)
	r.digest.Toggle(id, rec.sum)
	r.changeOrder.Remove(rec.changeElem)
	if rec.heardElem != nil {
		r.heardOrder.Remove(rec.heardElem)
	}
	if sharedID, _ := parseIncarnation(id); r.newestBySharedID[sharedID] == rec {
		delete(r.newestBySharedID, sharedID)
	}
}

// Digest returns the digest of all records.
func (r *Registry) Digest() Digest { return r.digest }

// AddStall records that this process was stalled for a time. The time does not count
// towards the silence of endpoints, because their heartbeats were queued or sent to
// other control instances meanwhile, and a late process is a likelier cause than
// thousands of late endpoints.
func (r *Registry) AddStall(span time.Duration) { r.stalled += span }

// Complete reports whether every endpoint has had time to send a heartbeat since the
// registry started. Until then an unknown endpoint may still be alive.
func (r *Registry) Complete(now time.Time) bool {
	return now.Sub(r.started) > 2*r.config.HeartbeatPeriod
}

// LastChange returns the revision of the last change that entries must learn of.
func (r *Registry) LastChange() uint64 {
	if last := r.changeOrder.Back(); last != nil {
		return last.Value.(*record).changeRev
	}
	return 0
}

// Len returns the number of known incarnations, including those that are gone.
func (r *Registry) Len() int { return len(r.records) }
