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

	"oxbowsaddle/internal/wire"
)

const (
	// silentBeats is how many heartbeat periods without a heartbeat make an
	// endpoint silent: two lost ones and the spread of the third.
	silentBeats = 2.6
	// forgetBeats is how many periods after its last heartbeat a record is
	// dropped: a flow's longest life of 60 s at a period of 0.77 s.
	forgetBeats = 80
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
		living  map[netip.AddrPort]*record // by address, those that have not ended
		changes *list.List                 // records, the one that changed last at the back
		beats   *list.List                 // records, the one that was heard last at the back
		number  uint64                     // of the last heartbeat or change
		digest  Digest                     // of all records
	}

	// record is what is known of one incarnation.
	record struct {
		endpoint Endpoint
		heard    time.Time
		silent   bool
		counted  Endpoint // as the registry's digest has it
		changed  uint64   // number of the last change that entries must know
		turned   uint64   // number of the last change that was about silence
		beaten   uint64   // number of the last heartbeat or change that peers must know
		inChanges,
		inBeats *list.Element
	}
)

// New returns an empty registry.
func New(c Config, now time.Time) *Registry {
	return &Registry{
		config: c, started: now, records: map[string]*record{}, living: map[netip.AddrPort]*record{},
		changes: list.New(), beats: list.New(),
	}
}

// Hear takes a heartbeat of an endpoint itself and returns the number of the
// change. It reports false where the heartbeat is older than what is known.
func (r *Registry) Hear(now time.Time, e Endpoint) (uint64, bool) {
	number, taken := r.hear(now, e, 0)
	if taken {
		r.beat(r.records[e.ID])
	}
	return number, taken
}

// hear takes what an endpoint said age ago, to whomever. Peers are told of it
// only if it changes what is known: whoever heard a heartbeat itself tells all.
func (r *Registry) hear(now time.Time, e Endpoint, age time.Duration) (uint64, bool) {
	held := r.records[e.ID]
	if held != nil && (held.endpoint.Gone || e.Sequence <= held.endpoint.Sequence) {
		return max(held.changed, held.beaten), false
	}
	heard := now.Add(-age)
	if r.supersede(now, e, heard) {
		e.Gone = true
	}
	r.number++
	changed := held == nil || material(held.endpoint, e) || held.silent
	if held == nil {
		held = &record{}
		r.records[e.ID] = held
	}
	if held.silent {
		held.turned = r.number
	}
	held.endpoint, held.silent = e, false
	if heard.After(held.heard) {
		held.heard = heard
	}
	r.settle(held)
	if changed {
		r.beat(held)
		r.change(now, held)
	}
	return r.number, true
}

// material reports whether entries must learn of the difference.
func material(a, b Endpoint) bool {
	a.Sequence, b.Sequence = 0, 0
	a.Warm, b.Warm = 0, 0
	return a != b
}

// supersede settles which of the incarnations at one address lives, when one
// is heard of for the first time: an address is given away only after its
// endpoint has ended, so it is the one that was heard last. It reports whether
// the new one is not that.
func (r *Registry) supersede(now time.Time, e Endpoint, heard time.Time) (ended bool) {
	if e.Gone || r.records[e.ID] != nil {
		return false
	}
	other := r.living[e.Addr]
	if other == nil {
		return false
	}
	if other.heard.After(heard) {
		return true
	}
	r.end(now, other)
	return false
}

// settle keeps the index of the living by address.
func (r *Registry) settle(held *record) {
	addr := held.endpoint.Addr
	switch {
	case !held.endpoint.Gone:
		r.living[addr] = held
	case r.living[addr] == held:
		delete(r.living, addr)
	}
}

// beat notes that peers must learn of the record.
func (r *Registry) beat(held *record) {
	held.beaten = r.number
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
	r.settle(held)
	r.beat(held)
	r.change(now, held)
}

// change notes that entries must learn of the record.
func (r *Registry) change(now time.Time, held *record) {
	held.changed = r.number
	held.inChanges = toBack(r.changes, held.inChanges, held)
	r.digest.Add(held.counted)
	held.counted = held.endpoint
	r.digest.Add(held.counted)
	if r.config.Changed != nil {
		r.config.Changed(held.endpoint, held.silent, now.Sub(held.heard))
	}
}

// Leave marks an incarnation as gone and returns the number of the change.
func (r *Registry) Leave(now time.Time, id string) uint64 {
	return r.leave(now, Endpoint{ID: id})
}

// leave marks an incarnation as gone; e is what is known of it where this
// registry knows nothing.
func (r *Registry) leave(now time.Time, e Endpoint) uint64 {
	held := r.records[e.ID]
	if held == nil {
		e.Gone = false
		r.number++
		held = &record{endpoint: e, heard: now}
		r.records[e.ID] = held
	}
	if !held.endpoint.Gone {
		held.heard = now
		r.end(now, held)
	}
	return held.changed
}

// Sweep marks endpoints that fell silent and drops records that nothing needs.
func (r *Registry) Sweep(now time.Time) {
	silent := time.Duration(silentBeats * float64(r.config.Beat))
	for id, held := range r.records {
		age := now.Sub(held.heard)
		if age > forgetBeats*r.config.Beat {
			r.forget(id, held)
			continue
		}
		if quiet := age > silent && !held.endpoint.Gone; quiet != held.silent {
			r.number++
			held.silent, held.turned = quiet, r.number
			r.change(now, held)
		}
	}
}

func (r *Registry) forget(id string, held *record) {
	delete(r.records, id)
	if r.living[held.endpoint.Addr] == held {
		delete(r.living, held.endpoint.Addr)
	}
	r.digest.Add(held.counted)
	r.changes.Remove(held.inChanges)
	r.beats.Remove(held.inBeats)
}

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

// Changes returns the records that changed after a number, for an entry, the
// last one first. Its work grows with their number, not with that of all.
func (r *Registry) Changes(now time.Time, after uint64) *wire.Reports {
	out := &wire.Reports{Number: r.number, Whole: r.Whole(now)}
	for e := r.changes.Back(); e != nil && e.Value.(*record).changed > after; e = e.Prev() {
		out.Endpoints = append(out.Endpoints, message(now, e.Value.(*record)))
	}
	return out
}

// ChangesBriefly returns what has changed after a number for an entry that
// another control instance tells every record: only sums, but what says of an
// endpoint that it fell silent, or no longer is, whole, since that is this
// registry's own view.
func (r *Registry) ChangesBriefly(now time.Time, after uint64) *wire.Reports {
	out := &wire.Reports{Number: r.number, Whole: r.Whole(now)}
	for e := r.changes.Back(); e != nil && e.Value.(*record).changed > after; e = e.Prev() {
		held := e.Value.(*record)
		if held.turned > after {
			out.Endpoints = append(out.Endpoints, message(now, held))
			continue
		}
		out.Sums = append(out.Sums, &wire.RecordSum{Id: held.endpoint.ID, Sum: Sum(held.endpoint)})
	}
	return out
}

// Records returns what is known of some endpoints.
func (r *Registry) Records(now time.Time, ids []string) *wire.Reports {
	out := &wire.Reports{Number: r.number, Whole: r.Whole(now)}
	for _, id := range ids {
		if held := r.records[id]; held != nil {
			out.Endpoints = append(out.Endpoints, message(now, held))
		}
	}
	return out
}

// Lacking returns the records that an entry lacks which knows what its digest
// says: the parts on which both differ, and of the others what is silent.
func (r *Registry) Lacking(now time.Time, known Digest) *wire.Reports {
	out := &wire.Reports{Number: r.number, Whole: r.Whole(now), Same: r.digest.same(&known)}
	for e := r.changes.Back(); e != nil; e = e.Prev() {
		if held := e.Value.(*record); held.silent || out.Same&PartBit(held.endpoint.ID) == 0 {
			out.Endpoints = append(out.Endpoints, message(now, held))
		}
	}
	return out
}

// Beats returns what was heard of after a number, for a peer that was told all
// up to that number: the records that changed, and of the others only that they
// were heard. That suffices since an incarnation never takes back that it leaves,
// and nothing else of it changes. Its work grows with their number, not with that of all.
func (r *Registry) Beats(now time.Time, after uint64) *wire.Reports {
	out := &wire.Reports{Number: r.number, Whole: r.Whole(now)}
	for e := r.beats.Back(); e != nil && e.Value.(*record).beaten > after; e = e.Prev() {
		held := e.Value.(*record)
		if held.changed > after {
			out.Endpoints = append(out.Endpoints, message(now, held))
			continue
		}
		out.Beats = append(out.Beats, &wire.Beat{
			Id: held.endpoint.ID, Sequence: held.endpoint.Sequence, AgeNanos: int64(now.Sub(held.heard)),
		})
	}
	return out
}

// message returns a record as it travels; its times count from now.
func message(now time.Time, held *record) *wire.EndpointReport {
	e, age := held.endpoint, now.Sub(held.heard)
	return &wire.EndpointReport{
		Id: e.ID, Number: e.Number, Service: e.Service, Address: e.Addr.String(), Domain: e.Domain, Slots: uint32(e.Slots),
		Leaving: e.Leaving, Gone: e.Gone, WarmNanos: int64(max(0, e.Warm-age)), Sequence: e.Sequence,
		AgeNanos: int64(age), Silent: held.silent,
	}
}

// FromMessage returns the endpoint of a report; Warm counts from now.
func FromMessage(m *wire.EndpointReport) Endpoint {
	addr, _ := netip.ParseAddrPort(m.Address) // not valid for one that was heard of only as gone
	return Endpoint{
		ID: m.Id, Number: m.Number, Service: m.Service, Addr: addr, Domain: m.Domain, Slots: int(m.Slots),
		Leaving: m.Leaving, Gone: m.Gone, Warm: time.Duration(m.WarmNanos), Sequence: m.Sequence,
	}
}

// Merge takes the reports of another control instance. A report that an
// incarnation is gone stands, whatever its sequence.
func (r *Registry) Merge(now time.Time, reports *wire.Reports) {
	for _, m := range reports.Endpoints {
		e := FromMessage(m)
		if e.Gone {
			r.leave(now, e)
			continue
		}
		age := time.Duration(m.AgeNanos)
		e.Warm += age
		r.hear(now, e, age)
	}
	for _, b := range reports.Beats {
		r.mergeBeat(now, b)
	}
}

// mergeBeat takes the heartbeat of an endpoint that is known; of another one
// the peer tells more when it tells all, on its next link.
func (r *Registry) mergeBeat(now time.Time, b *wire.Beat) {
	held := r.records[b.Id]
	if held == nil {
		return
	}
	e, age := held.endpoint, time.Duration(b.AgeNanos)
	e.Sequence = b.Sequence
	e.Warm = max(0, e.Warm-now.Add(-age).Sub(held.heard))
	r.hear(now, e, age)
}
