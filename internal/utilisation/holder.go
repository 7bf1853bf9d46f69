package utilisation

import (
	"cmp"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// declinePeriod is how long an endpoint that an entry declined is not granted to it.
	declinePeriod = time.Second
	// maxDeclined bounds the remembered declined endpoints of an entry; the oldest are
	// forgotten first.
	maxDeclined = 256
)

type (
	// Holder is an entry as the pool knows it.
	Holder struct {
		life     uint64
		number   uint64 // of the last request
		last     time.Time
		living   bool // whether it counts
		listed   bool // whether it has sent a full list
		admitted int  // share of the new flows that it admitted, in thousandths
		held     []holding
		grants   []grant // not covered by a full list, in the order of their numbers
		declined []decline
	}

	// holding is what an entry holds at an endpoint, sorted by the endpoint's number.
	holding struct {
		load  *Load
		count int
	}

	// grant is a credit granted to the request of a number.
	grant struct {
		number uint64
		load   *Load
	}

	// decline is an endpoint that an entry did not want.
	decline struct {
		endpoint uint64
		until    time.Time
	}
)

// Listed reports whether the entry has sent a full list, so that its counts are complete.
func (e *Holder) Listed() bool { return e.listed }

// Admitted returns the share of the new flows that the entry admitted lately, in thousandths.
func (e *Holder) Admitted() int { return e.admitted }

// Pending returns the number of grants that may not have reached the entry yet.
func (e *Holder) Pending() int { return len(e.grants) }

// Held returns the credits and requests in progress that the entry holds in the pool.
func (e *Holder) Held() int {
	total := 0
	for _, h := range e.held {
		if !h.load.removed {
			total += h.count
		}
	}
	for _, g := range e.grants {
		if !g.load.removed {
			total++
		}
	}
	return total
}

// Declines reports whether the entry declined the endpoint within the last second.
func (e *Holder) Declines(now time.Time, l *Load) bool {
	for _, d := range e.declined {
		if d.endpoint == l.number && now.Before(d.until) {
			return true
		}
	}
	return false
}

// decline remembers endpoints that the entry does not want.
func (e *Holder) decline(now time.Time, endpoints []uint64) {
	if len(e.declined) == 0 && len(endpoints) == 0 {
		return
	}
	e.declined = slices.DeleteFunc(e.declined, func(d decline) bool {
		return !now.Before(d.until) || slices.Contains(endpoints, d.endpoint)
	})
	for _, n := range endpoints {
		e.declined = append(e.declined, decline{n, now.Add(declinePeriod)})
	}
	if extra := len(e.declined) - maxDeclined; extra > 0 {
		e.declined = slices.Delete(e.declined, 0, extra)
	}
}

// holding returns what the entry holds at an endpoint, or nil.
func (e *Holder) holding(endpoint uint64) *holding {
	at, found := slices.BinarySearchFunc(e.held, endpoint, compareHolding)
	if !found {
		return nil
	}
	return &e.held[at]
}

// hold adds to what the entry holds at an endpoint of the pool, without changing the
// endpoint's count.
func (e *Holder) hold(l *Load, count int) {
	at, found := slices.BinarySearchFunc(e.held, l.number, compareHolding)
	switch {
	case found && e.held[at].load == l:
		e.held[at].count += count
	case found: // an earlier endpoint of this number, which has been removed
		e.held[at] = holding{l, count}
	default:
		e.held = slices.Insert(e.held, at, holding{l, count})
	}
}

// sortHeld sorts what the entry holds by endpoint and joins what is at the same one.
func (e *Holder) sortHeld() {
	slices.SortFunc(e.held, func(x, y holding) int { return cmp.Compare(x.load.number, y.load.number) })
	kept := 0
	for i, h := range e.held {
		if i > 0 && h.load == e.held[kept-1].load {
			e.held[kept-1].count += h.count
			continue
		}
		e.held[kept] = h
		kept++
	}
	clear(e.held[kept:])
	e.held = e.held[:kept]
}

// settle counts the grants to requests before a number as held. The entry has received
// them, or has given up on them, and the next full list says which.
func (e *Holder) settle(before uint64) {
	settled := 0
	for ; settled < len(e.grants) && e.grants[settled].number < before; settled++ {
		if l := e.grants[settled].load; !l.removed {
			e.hold(l, 1)
		}
	}
	e.grants = slices.Delete(e.grants, 0, settled)
}

func compareHolding(h holding, endpoint uint64) int { return cmp.Compare(h.load.number, endpoint) }

// takeBack removes one credit of the entry at each of the endpoints. A credit beyond those
// that are settled must come from a grant; the oldest is taken, since the replies to later
// ones are more likely to be on their way. What the entry does not hold is ignored.
func (p *Pool) takeBack(now time.Time, e *Holder, endpoints []uint64) {
	for _, endpoint := range endpoints {
		if h := e.holding(endpoint); h != nil && h.count > 0 {
			h.count--
			p.add(now, h.load, -1)
			continue
		}
		at := slices.IndexFunc(e.grants, func(g grant) bool { return g.load.number == endpoint })
		// Before its first list, the entry may return credits that another allocator granted.
		if at >= 0 && e.listed {
			p.add(now, e.grants[at].load, -1)
			e.grants = slices.Delete(e.grants, at, at+1)
		}
	}
}

// replace replaces everything that the entry holds, except for pending grants, and learns
// work times from the responses.
func (p *Pool) replace(now time.Time, e *Holder, list []*wire.HeldCredits) {
	for _, h := range e.held {
		p.add(now, h.load, -h.count)
	}
	clear(e.held)
	e.held = e.held[:0]
	for _, m := range list {
		l := p.loads[m.GetEndpoint()]
		if l == nil {
			continue
		}
		if n := int(m.GetCount()); n > 0 {
			e.held = append(e.held, holding{l, n})
			p.add(now, l, n)
		}
		p.learn(now, l, m.GetResponses(), m.GetResponseNanos())
	}
	e.sortHeld()
	e.listed = true
}

// update replaces what the entry holds at the endpoints of an incomplete list.
func (p *Pool) update(now time.Time, e *Holder, list []*wire.HeldCredits) {
	for _, m := range list {
		l := p.loads[m.GetEndpoint()]
		if l == nil {
			continue
		}
		before := 0
		if h := e.holding(l.number); h != nil && h.load == l {
			before = h.count
		}
		if change := int(m.GetCount()) - before; change != 0 {
			e.hold(l, change)
			p.add(now, l, change)
		}
	}
}

// drop voids everything that an entry holds.
func (p *Pool) drop(now time.Time, e *Holder) {
	for _, h := range e.held {
		p.add(now, h.load, -h.count)
	}
	for _, g := range e.grants {
		p.add(now, g.load, -1)
	}
	e.held, e.grants, e.declined, e.listed = nil, nil, nil, false
}

// MeanAdmitted returns the mean share of new flows that the entries admitted, in thousandths, as of
// the last call of SetEndpoints.
func (p *Pool) MeanAdmitted() int { return p.meanAdmitted }

func (p *Pool) updateMeanAdmitted() {
	sum := 0
	for _, e := range p.entries {
		if e.living {
			sum += e.admitted
		}
	}
	p.meanAdmitted = permille
	if p.living > 0 {
		p.meanAdmitted = sum / p.living
	}
}
