package admission

import (
	"math"
	"time"

	"oxbowsaddle/internal/utilisation"
	"oxbowsaddle/internal/wire"
)

const (
	// lowerQueue is how far the count of an endpoint may exceed its slots for lower priorities.
	// With fewer, credits that are idle or under way left a fifth of the slots unused.
	lowerQueue = 4
	// upperQueue is the same for the highest priority. Endpoints queue 8 requests and reject
	// the rest.
	upperQueue = 6
	// lowerResponse and upperResponse are the parts of the target latency that the expected
	// response time may take, since work times vary.
	lowerResponse = 0.35
	upperResponse = 0.75
	// refusingPeriod is how long a pool asks for surplus credits after a refusal. It is
	// the interval of the lists, so that each entry hears of it.
	refusingPeriod = 250 * time.Millisecond
	// evenWithin is how far the shares of admitted flows of entries may differ, in thousandths,
	// before credits move from one to another.
	evenWithin = 20
	// maxPending bounds the grants to an entry that it may not have received. An entry
	// sends at most 32 requests a second for at most 8 credits each, so it is a second's.
	maxPending = 256
)

// limits are the limits for one request.
type limits struct {
	onlyFree bool // nothing above the slots
	upper    bool // those of the highest priority
	response time.Duration
}

// grant grants up to the wanted credits and counts what was granted and refused.
func (a *Allocator) grant(now time.Time, p *pool, e *utilisation.Holder, r *wire.CreditRequest) []*wire.GrantedCredit {
	if r.Wanted == 0 {
		return nil
	}
	priority := level(r.Priority)
	lim := limits{
		onlyFree: p.counts.Learning(now) || !e.Listed(),
		upper:    p.shares.ask(now, priority),
		response: responseLimit(r),
	}
	lim.onlyFree = lim.onlyFree || !lim.upper && p.favoured(now, e)
	var granted []*wire.GrantedCredit
	a.options = a.options[:0]
	candidates := p.counts.Candidates(a.random)
	for range r.Wanted {
		if e.Pending() >= maxPending {
			break
		}
		if len(a.options) == 0 && !a.collect(now, candidates, e, lim) && !a.collect(now, p.counts.Free(), e, lim) {
			break
		}
		at := a.best()
		l := a.options[at].load
		granted = append(granted, &wire.GrantedCredit{Endpoint: l.Number(), Reserved: !lim.lower(l)})
		p.counts.Grant(now, e, r.Number, l)
		lim.upper = false // the reserve is for flows that wait now
		p.shares.grant(now, priority)
		a.update(at, lim)
	}
	refused := uint64(r.Wanted) - uint64(len(granted))
	if refused > 0 {
		p.lastRefusal = now
	}
	p.totals.add(uint64(len(granted)), refused)
	if t, known := a.totals[r.Service]; known || len(a.totals) < maxPools {
		t.add(uint64(len(granted)), refused)
		a.totals[r.Service] = t
	}
	return granted
}

// allow reports whether one more request may go to an endpoint. A free slot is never
// refused: a request would not wait there, and refusing it would save nothing.
func (lim limits) allow(l *utilisation.Load) bool {
	switch {
	case l.Free():
		return true
	case lim.onlyFree:
		return false
	case lim.upper:
		return l.Count() < l.Slots()+upperQueue && l.Expected() <= lim.within(upperResponse)
	}
	return lim.lower(l)
}

// lower reports whether an endpoint is within the limits for lower priorities.
func (lim limits) lower(l *utilisation.Load) bool {
	return l.Free() || (l.Count() < l.Slots()+lowerQueue && l.Expected() <= lim.within(lowerResponse))
}

// within returns a part of the longest useful response time.
func (lim limits) within(part float64) time.Duration {
	return time.Duration(part * float64(lim.response/time.Nanosecond))
}

// responseLimit returns the longest response time that is of use to the caller.
func responseLimit(r *wire.CreditRequest) time.Duration {
	limit := time.Duration(math.MaxInt64)
	if r.TargetNanos > 0 {
		limit = time.Duration(r.TargetNanos)
	}
	if r.TimeoutNanos > 0 {
		limit = min(limit, time.Duration(r.TimeoutNanos))
	}
	return limit
}

// refusing reports whether the pool refused a credit recently.
func (p *pool) refusing(now time.Time) bool { return now.Sub(p.lastRefusal) < refusingPeriod }

// surplus returns how many credits the entry should return because it admits a larger share of its
// new flows than the others. A fraction of a credit is rounded at random in its proportion, so that
// entries take turns if there are more of them than credits.
func (a *Allocator) surplus(p *pool, e *utilisation.Holder) int {
	excess := e.Admitted() - p.counts.MeanAdmitted()
	if excess <= evenWithin {
		return 0
	}
	return int(float64(e.Held())*float64(excess)/float64(e.Admitted()) + a.random.Float64())
}

// favoured reports whether an entry admits a larger share of its flows than the others while the
// pool refuses credits. It gets none above the slots for lower priorities then.
func (p *pool) favoured(now time.Time, e *utilisation.Holder) bool {
	return p.refusing(now) && e.Admitted()-p.counts.MeanAdmitted() > evenWithin
}

func (t *Totals) add(granted, refused uint64) {
	t.Granted += granted
	t.Refused += refused
}
