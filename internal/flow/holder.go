package flow

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
)

type (
	// record tells on which endpoint a flow of a bucket in transition lives.
	record struct {
		endpoint uint32
		key      bucketKey
		at       time.Time // when it was made or told here
		open     bool      // more than its SYN has been seen
	}

	// holding is what this entry knows as owner or second holder of a bucket.
	holding struct {
		complete bool // it has every record that there is
		// ownedSince is the index at which the bucket came over from an owner
		// that still lives.
		ownedSince uint64
		flows      map[route.FlowID]struct{}
	}
)

// keep stores a record; false when there is no room.
func (e *Engine) keep(now time.Time, v Verdict, endpoint uint32) bool {
	return e.keepRecord(now, v.id, bucketKey{v.service.ID(), v.bucket}, endpoint)
}

func (e *Engine) keepRecord(now time.Time, id route.FlowID, key bucketKey, endpoint uint32) bool {
	if have, ok := e.records[id]; ok && have.endpoint == endpoint {
		return true
	}
	if _, ok := e.records[id]; !ok && len(e.records) >= e.config.Records {
		e.stats.RecordsDropped++
		return false
	}
	e.records[id] = record{endpoint: endpoint, key: key, at: now}
	h := e.holdingOf(key)
	h.flows[id] = struct{}{}
	return true
}

// prove notes that the flow of a record is open where the record says.
func (e *Engine) prove(id route.FlowID) {
	if r, ok := e.records[id]; ok {
		r.open = true
		e.records[id] = r
	}
}

func (e *Engine) holdingOf(key bucketKey) *holding {
	h := e.byHeld[key]
	if h == nil {
		h = &holding{flows: map[route.FlowID]struct{}{}}
		e.byHeld[key] = h
	}
	return h
}

// complete reports whether this owner has every record of a bucket.
func (e *Engine) complete(v Verdict) bool {
	if e.view.Table.Suspect() {
		return false
	}
	h := e.byHeld[bucketKey{v.service.ID(), v.bucket}]
	return h != nil && h.complete
}

// SetView takes a new view. Views go only forward: an older table is refused.
func (e *Engine) SetView(next *View) {
	if next.Table.Index() < e.view.Table.Index() {
		return
	}
	previous := e.view
	e.view = next
	for _, t := range next.Steps {
		if t.Index() > previous.Table.Index() && t.Index() < next.Table.Index() {
			step := *next
			step.Table = t
			e.updateHoldings(previous, &step)
			previous = &step
		}
	}
	if next.Table != previous.Table {
		e.updateHoldings(previous, next)
	}
}

// listed reports whether a table lists this life of the entry. While it does
// not, others hold the buckets, and what is held here is not complete.
func (e *Engine) listed(t *route.Table) bool {
	m, ok := t.Member(e.config.Self)
	return ok && m.Incarnation() == e.config.Incarnation
}

// updateHoldings walks the buckets in transition: what has settled is dropped,
// what has just opened is known whole, and where a holder has changed the
// first of the former holders that still lives hands its records over.
func (e *Engine) updateHoldings(previous, next *View) {
	for key, h := range e.byHeld {
		h.complete = h.complete && e.listed(next.Table)
		e.dropSettled(key, next)
	}
	sameMembers := slices.Equal(next.Table.Members(), previous.Table.Members())
	next.Table.Services(func(s *route.Service) {
		before := previous.Table.Service(s.ID())
		for _, bucket := range slices.Sorted(maps.Keys(s.Open())) {
			t := s.Open()[bucket]
			key := bucketKey{s.ID(), bucket}
			old, wasOpen := openBefore(before, bucket)
			if wasOpen && old == t && sameMembers {
				continue
			}
			e.updateHolding(key, wasOpen, previous, next)
			if t.Flipped() && !old.Flipped() {
				e.dropOnCurrent(key, t.Current)
			}
		}
	})
}

func openBefore(s *route.Service, bucket uint32) (route.Transition, bool) {
	if s == nil {
		return route.Transition{}, false
	}
	return s.Transition(bucket)
}

// holder is an entry in one of its lives.
type holder struct {
	name        string
	incarnation uint64
}

// holdersOf returns the owner and the second holder of a bucket.
func holdersOf(t *route.Table, key bucketKey) (owner, second holder) {
	ownerName, secondName := route.Rank(t.Members(), key.service, key.bucket)
	return lifeOf(t, ownerName), lifeOf(t, secondName)
}

func lifeOf(t *route.Table, name string) holder {
	m, _ := t.Member(name)
	return holder{name, m.Incarnation()}
}

func (e *Engine) updateHolding(key bucketKey, wasOpen bool, previous, next *View) {
	owner, second := holdersOf(next.Table, key)
	if !e.listed(next.Table) {
		return
	}
	oldOwner, oldSecond := holdersOf(previous.Table, key)
	if owner.name == e.config.Self && oldOwner != owner && firstAlive(next.Table, oldOwner) != "" {
		// The former owner lives and may not know yet: see newFlow.
		e.holdingOf(key).ownedSince = next.Table.Index()
	}
	same := owner == oldOwner && second == oldSecond
	mine := owner.name == e.config.Self || second.name == e.config.Self
	switch {
	case !wasOpen && mine:
		// It was settled until now, so no flow of it can be elsewhere, if
		// this entry has seen the opening itself and held it then.
		e.holdingOf(key).complete = same && e.listed(previous.Table) && !previous.Table.Suspect()
	case wasOpen && !same:
		e.passOn(key, next.Table, [2]holder{oldOwner, oldSecond}, [2]holder{owner, second})
	}
}

// passOn lets the first of the former holders that still lives hand the
// records of a bucket to each new one.
func (e *Engine) passOn(key bucketKey, t *route.Table, former, now [2]holder) {
	heir := firstAlive(t, former[0], former[1])
	if heir == "" {
		e.sweep.pushAgain(key) // both are lost: every entry tells what it has seen
	}
	if e.config.Self != heir {
		return
	}
	for _, peer := range now {
		if peer.name != "" && peer.name != e.config.Self && !slices.Contains(former[:], peer) {
			e.handOver(key, peer.name)
		}
	}
}

// firstAlive returns the first of the holders that still lives the same life.
func firstAlive(t *route.Table, holders ...holder) string {
	for _, h := range holders {
		if m, ok := t.Member(h.name); ok && m.Incarnation() == h.incarnation {
			return h.name
		}
	}
	return ""
}

// dropSettled forgets the records of a bucket that is in transition no more.
func (e *Engine) dropSettled(key bucketKey, next *View) {
	s := next.Table.Service(key.service)
	if s != nil {
		if _, open := s.Transition(key.bucket); open {
			return
		}
		if next.Table.Suspect() || next.Island {
			return // records of a domain that served by itself are still needed
		}
	}
	for id := range e.byHeld[key].flows {
		delete(e.records, id)
	}
	delete(e.byHeld, key)
}

// dropOnCurrent forgets the records that a flip has made the default.
func (e *Engine) dropOnCurrent(key bucketKey, current uint32) {
	h := e.byHeld[key]
	if h == nil {
		return
	}
	for id := range h.flows {
		if e.records[id].endpoint == current {
			delete(e.records, id)
			delete(h.flows, id)
		}
	}
}
