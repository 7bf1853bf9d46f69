// Package utilisation counts how many requests the endpoints of one service in one failure
// domain hold over all entries, from the messages of the entries. The counts are soft
// state: each entry's part is replaced by its full lists and expires without messages.
// The package performs no I/O, and callers pass in the current time.
package utilisation

import (
	"math/rand/v2"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// Expiry is how long an entry counts after its last message. Entries send four lists
	// in this time.
	Expiry = time.Second
	// LearningPeriod is how long a pool is learning after its first message. Within it
	// each entry sends a full list.
	LearningPeriod = 300 * time.Millisecond
	// MaxEntries bounds the entries of a pool, including those remembered.
	MaxEntries = 10000
	// memory is how long the life and the last number of an entry are remembered after
	// its last message, so that late messages do not count.
	memory   = time.Minute
	permille = 1000
	// sampleAbove is the number of endpoints above which a grant considers only a sample.
	sampleAbove = 256
	// sampleSize is the size of the sample, and of that of the endpoints with free slots.
	sampleSize = 64
)

// The outcomes of a message.
const (
	Counted Outcome = iota
	// Stale is a late, repeated or reordered message, or one of an earlier process.
	Stale
	// Full is a message of one entry too many.
	Full
)

type (
	// Outcome is what became of a message.
	Outcome int

	// Endpoint is an endpoint of the pool that may be granted.
	Endpoint struct {
		Number uint64
		Slots  int  // requests processed at once; less than 1 counts as 1
		Cold   bool // only just started
	}

	// Pool holds the counts of the endpoints of one service in one failure domain. It is
	// not safe for concurrent use.
	Pool struct {
		endpoints    []Endpoint // as set last
		loads        map[uint64]*Load
		order        []*Load // all, in any order
		free         []*Load // those with free slots, in any order
		entries      map[string]*Holder
		living       int
		count        int
		slots        int
		responses    responses
		learnUntil   time.Time
		meanAdmitted int
		nextExpiry   time.Time // no entry expires earlier
		candidates   []*Load   // of the last call of Candidates
	}
)

// New returns a Pool without endpoints and entries.
func New() *Pool { return &Pool{loads: map[uint64]*Load{}, entries: map[string]*Holder{}} }

// SetEndpoints sets the endpoints of the pool. Counts at endpoints that are no longer
// among them are void. It must be called regularly, also with unchanged endpoints, since it
// updates the work times of endpoints without responses.
func (p *Pool) SetEndpoints(now time.Time, endpoints []Endpoint) {
	if !slices.Equal(endpoints, p.endpoints) {
		p.endpoints = append(p.endpoints[:0], endpoints...)
		p.changeEndpoints(now)
	}
	p.updateMeanAdmitted()
	p.learnAll(now)
}

// learnAll updates the work times of all endpoints.
func (p *Pool) learnAll(now time.Time) {
	mean := p.responses.mean()
	for _, l := range p.order {
		l.learn(now, mean)
	}
}

func (p *Pool) changeEndpoints(now time.Time) {
	before := p.loads
	p.loads, p.order, p.free, p.slots, p.count = make(map[uint64]*Load, len(p.endpoints)), nil, nil, 0, 0
	for _, e := range p.endpoints {
		if p.loads[e.Number] != nil {
			continue
		}
		l := before[e.Number]
		if l == nil {
			l = &Load{number: e.Number, averaged: now, responses: responses{at: now}}
		}
		l.slots, l.cold, l.free = max(e.Slots, 1), e.Cold, -1
		p.loads[e.Number] = l
		p.order = append(p.order, l)
		p.slots += l.slots
		p.count += l.count
		p.sortFree(l)
	}
	for number, l := range before {
		l.removed = p.loads[number] == nil
	}
}

// Apply counts a message and returns its entry. The entry is nil unless the message was
// counted, and valid until the next call.
//
// Returned and declined credits are taken back before the list of the same message, which
// shows what the entry holds without them. An entry must not use the credits of a reply to
// a request before the oldest pending one of a message that it has sent: the next full list
// replaces these grants.
func (p *Pool) Apply(now time.Time, r *wire.CreditRequest) (*Holder, Outcome) {
	p.expire(now)
	e := p.entries[r.Entry]
	switch {
	case e == nil && len(p.entries) >= MaxEntries && !p.forget(now):
		return nil, Full
	case e == nil:
		e = &Holder{life: r.Life}
		if r.Number == 0 {
			return nil, Stale
		}
		p.entries[r.Entry] = e
	case r.Life < e.life, r.Life == e.life && r.Number <= e.number:
		return nil, Stale
	}
	if r.Life > e.life {
		p.drop(now, e)
		e.life = r.Life
	}
	p.revive(now, e)
	e.number, e.last, e.admitted = r.Number, now, int(min(r.AdmittedPermille, permille))
	e.settle(min(r.OldestPending, r.Number))
	p.takeBack(now, e, r.Returned)
	p.takeBack(now, e, r.Declined)
	e.decline(now, r.Declined)
	if r.Full {
		p.replace(now, e, r.Held)
	} else {
		p.update(now, e, r.Held)
	}
	return e, Counted
}

// Grant counts a credit as granted to a request of an entry. Numbers must not decrease.
func (p *Pool) Grant(now time.Time, e *Holder, number uint64, l *Load) {
	e.grants = append(e.grants, grant{number, l})
	p.add(now, l, 1)
}

// add changes the count of an endpoint and of the pool.
func (p *Pool) add(now time.Time, l *Load, delta int) {
	before := l.count
	l.add(now, delta)
	if !l.removed {
		p.count += l.count - before
		p.sortFree(l)
	}
}

// sortFree keeps an endpoint among those with free slots if it has some.
func (p *Pool) sortFree(l *Load) {
	switch {
	case l.Free() && l.free < 0:
		l.free = len(p.free)
		p.free = append(p.free, l)
	case !l.Free() && l.free >= 0:
		last := p.free[len(p.free)-1]
		p.free[l.free], last.free = last, l.free
		p.free = p.free[:len(p.free)-1]
		l.free = -1
	}
}

// learn counts responses of an endpoint with the sum of their response times.
func (p *Pool) learn(now time.Time, l *Load, count uint32, nanos int64) {
	if count == 0 || nanos < 0 {
		return
	}
	first := p.responses.count == 0
	work := l.workOf(now, nanos)
	l.responses.add(now, count, work)
	p.responses.add(now, count, work)
	if first { // otherwise endpoints without responses would seem to answer at once
		p.learnAll(now)
		return
	}
	l.learn(now, p.responses.mean())
}

// Candidates returns the endpoints that a grant considers: all, or in a large pool a random
// sample of all and one of those with free slots. The result is valid until the next call.
func (p *Pool) Candidates(random *rand.Rand) []*Load {
	if len(p.order) <= sampleAbove {
		return p.order
	}
	p.candidates = p.candidates[:0]
	for i := range sampleSize {
		p.candidates = append(p.candidates, p.order[random.IntN(len(p.order))])
		if i < len(p.free) {
			p.candidates = append(p.candidates, p.free[random.IntN(len(p.free))])
		}
	}
	return p.candidates
}

// Free returns all endpoints with free slots. The result is valid until the next call of
// another method.
func (p *Pool) Free() []*Load { return p.free }

// Count returns the credits and the requests in progress over all entries.
func (p *Pool) Count(now time.Time) int {
	p.expire(now)
	return p.count
}

// Slots returns the slots of all endpoints.
func (p *Pool) Slots() int { return p.slots }

// Endpoints returns the number of endpoints.
func (p *Pool) Endpoints() int { return len(p.order) }

// Entries returns the number of entries that count.
func (p *Pool) Entries(now time.Time) int {
	p.expire(now)
	return p.living
}

// Age returns the time since the last message of the entry that has been silent longest
// among those that count.
func (p *Pool) Age(now time.Time) time.Duration {
	p.expire(now)
	var oldest time.Duration
	for _, e := range p.entries {
		if e.living {
			oldest = max(oldest, now.Sub(e.last))
		}
	}
	return oldest
}

// Work returns the mean work time of a request, 0 if there were no responses.
func (p *Pool) Work() time.Duration { return duration(p.responses.mean()) }

// Learning reports whether the pool has only just begun to learn what entries hold.
func (p *Pool) Learning(now time.Time) bool { return now.Before(p.learnUntil) }
