package flow

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
)

type (
	// record is the endpoint of a flow, stored by the holders of its bucket while the
	// bucket is in transition.
	record struct {
		endpoint  uint32
		key       bucketKey
		storedAt  time.Time // when it was stored by this entry
		confirmed bool      // the flow is known to be open on the endpoint
	}

	// holding is the state of a bucket of which this entry is owner or second holder.
	holding struct {
		complete bool // this entry has every record of the bucket
		// ownedSince is the index at which the bucket was taken over from an owner
		// that is still alive.
		ownedSince uint64
		flows      map[route.FlowID]struct{}
	}
)

// storeRecord stores the record of a verdict's flow. It returns false if the limit of
// records is reached.
func (e *Engine) storeRecord(now time.Time, v Verdict, endpoint uint32) bool {
	return e.putRecord(now, v.id, bucketKey{v.service.ID(), v.bucket}, endpoint)
}

func (e *Engine) putRecord(now time.Time, id route.FlowID, key bucketKey, endpoint uint32) bool {
	if existing, ok := e.records[id]; ok && existing.endpoint == endpoint {
		return true
	}
	if _, ok := e.records[id]; !ok && len(e.records) >= e.config.MaxRecords {
		e.stats.RecordsDropped++
		return false
	}
	e.records[id] = record{endpoint: endpoint, key: key, storedAt: now}
	h := e.holdingOf(key)
	h.flows[id] = struct{}{}
	return true
}

// confirmRecord marks the flow of a record as open on its endpoint.
func (e *Engine) confirmRecord(id route.FlowID) {
	if r, ok := e.records[id]; ok {
		r.confirmed = true
		e.records[id] = r
	}
}

func (e *Engine) holdingOf(key bucketKey) *holding {
	h := e.holdings[key]
	if h == nil {
		h = &holding{flows: map[route.FlowID]struct{}{}}
		e.holdings[key] = h
	}
	return h
}

// hasAllRecords reports whether this owner has every record of the flow's bucket.
func (e *Engine) hasAllRecords(v Verdict) bool {
	if e.view.Table.Uncertain() {
		return false
	}
	h := e.holdings[bucketKey{v.service.ID(), v.bucket}]
	return h != nil && h.complete
}

// SetView replaces the view, unless the table of next is older than the current one.
func (e *Engine) SetView(next *View) {
	if next.Table.Index() < e.view.Table.Index() {
		return
	}
	previous := e.view
	e.view = next
	for _, t := range next.MembershipTables {
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

// isListed reports whether a table lists this incarnation of the entry. While it
// doesn't, other entries are the holders and the holdings here miss records.
func (e *Engine) isListed(t *route.Table) bool {
	m, ok := t.Member(e.config.Self)
	return ok && m.Incarnation() == e.config.Incarnation
}

// updateHoldings drops the holdings of buckets that have settled, marks those of
// buckets whose transition has just begun as complete, and transfers records where
// the holders have changed.
func (e *Engine) updateHoldings(previous, next *View) {
	for key, h := range e.holdings {
		h.complete = h.complete && e.isListed(next.Table)
		e.dropSettled(key, next)
	}
	sameMembers := slices.Equal(next.Table.Members(), previous.Table.Members())
	next.Table.Services(func(s *route.Service) {
		before := previous.Table.Service(s.ID())
		for _, bucket := range slices.Sorted(maps.Keys(s.Transitions())) {
			t := s.Transitions()[bucket]
			key := bucketKey{s.ID(), bucket}
			oldTransition, wasInTransition := previousTransition(before, bucket)
			if wasInTransition && oldTransition == t && sameMembers {
				continue
			}
			e.updateHolding(key, wasInTransition, previous, next)
			if t.Flipped() && !oldTransition.Flipped() {
				e.dropOnCurrent(key, t.Current)
			}
		}
	})
}

func previousTransition(s *route.Service, bucket uint32) (route.Transition, bool) {
	if s == nil {
		return route.Transition{}, false
	}
	return s.Transition(bucket)
}

// holder is an incarnation of an entry.
type holder struct {
	name        string
	incarnation uint64
}

// holdersOf returns the owner and the second holder of a bucket.
func holdersOf(t *route.Table, key bucketKey) (owner, second holder) {
	ownerName, secondName := route.Rank(t.Members(), key.service, key.bucket)
	return holderNamed(t, ownerName), holderNamed(t, secondName)
}

func holderNamed(t *route.Table, name string) holder {
	m, _ := t.Member(name)
	return holder{name, m.Incarnation()}
}

func (e *Engine) updateHolding(key bucketKey, wasInTransition bool, previous, next *View) {
	owner, second := holdersOf(next.Table, key)
	if !e.isListed(next.Table) {
		return
	}
	oldOwner, oldSecond := holdersOf(previous.Table, key)
	if owner.name == e.config.Self && oldOwner != owner && firstAlive(next.Table, oldOwner) != "" {
		// The former owner may not have applied the change yet: see placeAsNewOwner.
		e.holdingOf(key).ownedSince = next.Table.Index()
	}
	sameHolders := owner == oldOwner && second == oldSecond
	isHolder := owner.name == e.config.Self || second.name == e.config.Self
	switch {
	case !wasInTransition && isHolder:
		// The bucket was settled until now, so it has no records. This entry can rely
		// on that only if it was a holder already when the transition began.
		e.holdingOf(key).complete = sameHolders && e.isListed(previous.Table) && !previous.Table.Uncertain()
	case wasInTransition && !sameHolders:
		e.transferRecords(key, next.Table, [2]holder{oldOwner, oldSecond}, [2]holder{owner, second})
	}
}

// transferRecords makes the first former holder that is still alive send the records
// of a bucket to each new holder.
func (e *Engine) transferRecords(key bucketKey, t *route.Table, former, current [2]holder) {
	sender := firstAlive(t, former[0], former[1])
	if sender == "" {
		e.sweep.reportAgain(key) // no records are left: every entry reports its cached flows
	}
	if e.config.Self != sender {
		return
	}
	for _, peer := range current {
		if peer.name != "" && peer.name != e.config.Self && !slices.Contains(former[:], peer) {
			e.queueHandover(key, peer.name)
		}
	}
}

// firstAlive returns the first holder whose incarnation is still listed.
func firstAlive(t *route.Table, holders ...holder) string {
	for _, h := range holders {
		if m, ok := t.Member(h.name); ok && m.Incarnation() == h.incarnation {
			return h.name
		}
	}
	return ""
}

// dropSettled drops the records of a bucket that is no longer in transition.
func (e *Engine) dropSettled(key bucketKey, next *View) {
	s := next.Table.Service(key.service)
	if s != nil {
		if _, inTransition := s.Transition(key.bucket); inTransition {
			return
		}
		if next.Table.Uncertain() || next.Isolated {
			return // records that an isolated domain made are still needed
		}
	}
	for id := range e.holdings[key].flows {
		delete(e.records, id)
	}
	delete(e.holdings, key)
}

// dropOnCurrent drops the records of flows on the current endpoint, which a flip has
// made the default.
func (e *Engine) dropOnCurrent(key bucketKey, current uint32) {
	h := e.holdings[key]
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
