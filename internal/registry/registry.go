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
	// silentBeats is how many heartbeat periods without a heartbeat make an
	// endpoint silent: two lost ones and the spread of the third.
	silentBeats = 2.6
	// forgetBeats is how many periods after its last heartbeat a record is
	// dropped: a flow's longest life of 60 s at a period of 0.77 s.
	forgetBeats = 80
	// coolingAfter is by how much longer an endpoint must say that it is cold than it said
	// last to have become cold again: more than the error in what peers tell of that.
	coolingAfter = 300 * time.Millisecond
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
		config  Config
		started time.Time
		records map[string]*record
		living  map[netip.AddrPort][]*record // by address, those that are not known to have ended
		changes *list.List                   // records, the one that changed last at the back
		beats   *list.List                   // records, the one that was heard last at the back
		number  uint64                       // of the last heartbeat or change
		swept   time.Time                    // when silence was last looked for
		late    time.Duration                // how long this process has stood still, in sum
		digest  Digest                       // of all records
		relays  bool                         // tells peers on of what other peers told
		newest  map[string]*record           // by name, of those whose incarnations share an id
	}

	// record is what is known of one incarnation.
	record struct {
		endpoint     Endpoint
		heard        time.Time
		late         time.Duration // Registry.late when it was heard
		silent       bool
		rivalSince   time.Time     // when another incarnation at the address was first known, zero for none
		incumbent    bool          // known before the other one
		heardAgain   bool          // heard with a higher sequence since then
		sum          uint64        // as the registry's digest has it, 0 before that
		changed      uint64        // number of the last change that entries must know
		sumChanged   uint64        // number of the last change that sums show
		viewChanged  uint64        // number of the last change that they do not: of silence, or to cold
		peersChanged uint64        // number of the last heartbeat or change that peers must know
		peersWhole   uint64        // number of the last one of which they must know all
		untold       bool          // peers were not told on of a change that a peer told of
		inChanges    *list.Element // of Registry.changes
		inBeats      *list.Element // of Registry.beats
	}
)

// New returns an empty registry.
func New(c Config, now time.Time) *Registry {
	return &Registry{
		config: c, started: now, swept: now, records: map[string]*record{}, living: map[netip.AddrPort][]*record{},
		changes: list.New(), beats: list.New(), relays: true, newest: map[string]*record{},
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
	for _, held := range r.records {
		if held.untold {
			r.tellWhole(held)
		}
	}
}

// Hear takes a heartbeat of an endpoint itself and returns the number of the
// change. It reports false where the heartbeat is older than what is known.
func (r *Registry) Hear(now time.Time, e Endpoint) (uint64, bool) {
	number, taken := r.hear(now, e, 0)
	held := r.records[e.ID]
	switch {
	case taken:
		r.noteForPeers(held, false)
	case held != nil && held.untold: // whoever told of it may have told nobody else
		number = r.tellWhole(held)
	}
	return number, taken
}

// hear takes what an endpoint said age ago, to whomever. Peers are told of it
// only if it changes what is known: whoever heard a heartbeat itself tells all.
func (r *Registry) hear(now time.Time, e Endpoint, age time.Duration) (uint64, bool) {
	held := r.records[e.ID]
	if held != nil && (held.endpoint.Gone || e.Sequence <= held.endpoint.Sequence) {
		return max(held.changed, held.peersChanged), false
	}
	if held == nil {
		if later := r.supersede(now, e.ID); later != nil {
			return max(later.changed, later.peersChanged), false
		}
	}
	r.number++
	again := held != nil && cooled(held, e)
	changed := held == nil || again || material(held.endpoint, e)
	if held == nil {
		held = &record{}
		r.records[e.ID] = held
		r.noteNewest(e.ID, held)
	} else {
		held.heardAgain = !held.rivalSince.IsZero()
	}
	if held.endpoint.Addr != e.Addr {
		r.vacate(held)
	}
	if again {
		held.viewChanged = r.number
	}
	held.endpoint = e
	if heard := now.Add(-age); heard.After(held.heard) {
		held.heard, held.late = heard, r.late
	}
	r.settle(now, held)
	if changed {
		r.relay(held)
	}
	if r.quiet(now, held) != held.silent {
		r.setSilent(held, !held.silent)
		changed = true
	}
	if changed {
		r.noteForEntries(now, held)
	}
	return r.number, true
}

// cooled reports whether an incarnation became cold again: it says that it stays cold for
// longer than it said last. What it says is compared, and not when that was heard: of
// heartbeats that wait for a busy control instance each would seem to say so, and have every
// entry told, which makes it busier.
func cooled(held *record, e Endpoint) bool { return e.Warm > held.endpoint.Warm+coolingAfter }

// cold reports whether an endpoint said that it is still cold.
func (held *record) cold(now time.Time) bool {
	return held.endpoint.Warm > 0 && now.Sub(held.heard) < held.endpoint.Warm
}

// material reports whether entries must learn of the difference.
func material(a, b Endpoint) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warm, b.Warm = 0, 0
	return a != b
}

// relay has peers told on of a change of the record, if this registry does that.
func (r *Registry) relay(held *record) {
	if held.untold = !r.relays; r.relays {
		r.noteForPeers(held, true)
	}
}

// tellWhole has peers told all of a record under a number of its own, which it returns.
func (r *Registry) tellWhole(held *record) uint64 {
	r.number++
	r.noteForPeers(held, true)
	return r.number
}

// noteForPeers notes that peers must learn of the record: that it was heard, or, where
// they may not know the rest, all of it.
func (r *Registry) noteForPeers(held *record, whole bool) {
	if whole || held.untold {
		held.peersWhole, held.untold = r.number, false
	}
	held.peersChanged = r.number
	held.inBeats = toBack(r.beats, held.inBeats, held)
}

// toBack moves a record's element to the back, or makes it.
func toBack(l *list.List, e *list.Element, held *record) *list.Element {
	if e == nil {
		return l.PushBack(held)
	}
	l.MoveToBack(e)
	return e
}

// end marks an incarnation as gone.
func (r *Registry) end(now time.Time, held *record) {
	r.number++
	held.endpoint.Gone, held.silent = true, false
	r.settle(now, held)
	r.noteForEntries(now, held)
}

// noteForEntries notes that entries must learn of the record, and keeps the digest.
func (r *Registry) noteForEntries(now time.Time, held *record) {
	held.changed = r.number
	held.inChanges = toBack(r.changes, held.inChanges, held)
	r.digest.Toggle(held.endpoint.ID, held.sum)
	if sum := Sum(held.endpoint); sum != held.sum {
		held.sum, held.sumChanged = sum, r.number
	}
	r.digest.Toggle(held.endpoint.ID, held.sum)
	if r.config.Changed != nil {
		r.config.Changed(held.endpoint, held.silent, now.Sub(held.heard))
	}
}

// Leave takes the message of an endpoint that it ends, and returns the number of the
// change. Where several incarnations share its id the message does not say whose it is: it is the
// newest one's if that one said that it leaves. Else it may be an earlier one's, held back
// until after the next start, whose open flows it must not end; one that ended without
// having been heard to leave falls silent.
func (r *Registry) Leave(now time.Time, id string) uint64 {
	if newest := r.newest[id]; newest != nil {
		if !newest.endpoint.Leaving {
			return max(newest.changed, newest.peersChanged)
		}
		id = newest.endpoint.ID
	}
	number := r.leave(now, Endpoint{ID: id})
	if held := r.records[id]; held.untold {
		number = r.tellWhole(held)
	}
	return number
}

// leave marks an incarnation as gone; e is what is known of it where this
// registry knows nothing.
func (r *Registry) leave(now time.Time, e Endpoint) uint64 {
	held := r.records[e.ID]
	if held == nil {
		e.Gone = false
		r.supersede(now, e.ID)
		r.number++
		held = &record{endpoint: e, heard: now}
		r.records[e.ID] = held
		r.noteNewest(e.ID, held)
	}
	if !held.endpoint.Gone {
		held.heard = now
		r.end(now, held)
		r.relay(held)
	}
	return held.changed
}

// Sweep marks endpoints that fell silent, and drops records that nothing needs.
func (r *Registry) Sweep(now time.Time) {
	r.excuse(now)
	for id, held := range r.records {
		if now.Sub(held.heard) > forgetBeats*r.config.Beat {
			r.forget(id, held)
			continue
		}
		if r.quiet(now, held) != held.silent {
			r.number++
			r.setSilent(held, !held.silent)
			r.noteForEntries(now, held)
		}
	}
}

// quiet reports whether new flows avoid an endpoint, since heartbeats are
// missing or another one claims its address.
func (r *Registry) quiet(now time.Time, held *record) bool {
	missing := now.Sub(held.heard) - (r.late - held.late)
	return !held.endpoint.Gone && (missing > r.span(silentBeats) || r.doubted(held))
}

// setSilent notes a change of silence under the registry's present number.
func (r *Registry) setSilent(held *record, silent bool) {
	held.silent, held.viewChanged = silent, r.number
}

// forget drops a record that nothing needs.
func (r *Registry) forget(id string, held *record) {
	delete(r.records, id)
	r.vacate(held)
	r.digest.Toggle(id, held.sum)
	r.changes.Remove(held.inChanges)
	if held.inBeats != nil {
		r.beats.Remove(held.inBeats)
	}
	if name, _ := splitIncarnation(id); r.newest[name] == held {
		delete(r.newest, name)
	}
}

// Digest sums up what is known.
func (r *Registry) Digest() Digest { return r.digest }

// Excuse takes that this process stood still for a span. It counts for no endpoint's
// silence: heartbeats wait meanwhile, or go elsewhere, and that this process is late is
// the likelier cause than thousands of endpoints being so.
func (r *Registry) Excuse(span time.Duration) { r.late += span }

// Whole reports whether every endpoint has had the time to send a heartbeat
// since the registry began; until then a missing one means nothing.
func (r *Registry) Whole(now time.Time) bool {
	return now.Sub(r.started) > 2*r.config.Beat
}

// Changed returns the number of the last change that entries must know.
func (r *Registry) Changed() uint64 {
	if last := r.changes.Back(); last != nil {
		return last.Value.(*record).changed
	}
	return 0
}

// Len returns how many incarnations are known, gone ones included.
func (r *Registry) Len() int { return len(r.records) }
