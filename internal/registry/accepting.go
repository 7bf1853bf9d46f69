package registry

import (
	"cmp"
	"slices"
	"time"
)

type (
	// Pool identifies the endpoints of one service in one failure domain.
	Pool struct{ Service, Domain string }

	// Accepting is an endpoint that accepts new flows: it is not leaving, gone or silent.
	Accepting struct {
		Number uint64
		Slots  int
		WarmAt time.Time // end of the announced warm-up
	}

	// poolIndex holds the records of one pool, and the list that was made of them last.
	poolIndex struct {
		records map[*record]bool
		list    []Accepting // immutable: a change results in another list
		current bool        // whether no record has changed since list was made
	}
)

// Accepting returns the endpoints of a pool that accept new flows, sorted by number, which the
// caller must not modify. It reports false if there is no record of the pool. The list is made
// anew only if a record of the pool has changed in what entries learn of.
func (r *Registry) Accepting(p Pool) ([]Accepting, bool) {
	pool := r.pools[p]
	if pool == nil {
		return nil, false
	}
	if !pool.current {
		pool.makeList()
	}
	return pool.list, true
}

// makeList makes the list of the pool.
func (p *poolIndex) makeList() {
	p.list, p.current = make([]Accepting, 0, len(p.records)), true
	for rec := range p.records {
		if e := rec.endpoint; !e.Leaving && !e.Gone && !rec.silent {
			p.list = append(p.list, Accepting{Number: e.Number, Slots: e.Slots, WarmAt: rec.lastHeard.Add(e.Warmup)})
		}
	}
	slices.SortFunc(p.list, func(a, b Accepting) int { return cmp.Compare(a.Number, b.Number) })
}

// indexPool adds a record to the pool of its service and failure domain, and marks the list of
// the pool as outdated.
func (r *Registry) indexPool(rec *record) {
	key := Pool{rec.endpoint.Service, rec.endpoint.Domain}
	if rec.pool != key {
		r.removeFromPool(rec)
		rec.pool = key
	}
	pool := r.pools[key]
	if pool == nil {
		pool = &poolIndex{records: map[*record]bool{}}
		r.pools[key] = pool
	}
	pool.records[rec] = true
	pool.current = false
}

// removeFromPool removes a record from its pool, and a pool without records.
func (r *Registry) removeFromPool(rec *record) {
	pool := r.pools[rec.pool]
	if pool == nil {
		return
	}
	delete(pool.records, rec)
	pool.current = false
	if len(pool.records) == 0 {
		delete(r.pools, rec.pool)
	}
}
