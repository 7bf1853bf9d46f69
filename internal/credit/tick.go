package credit

import (
	"cmp"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// Tick handles timeouts, ends load mode, returns idle credits and sends lists. It is called every
// few milliseconds while Idle is false, and returns the decisions on flows that waited.
func (a *Account) Tick(now time.Time) []Resolution {
	resolved := a.expireRequests(now)
	for _, s := range a.services {
		if s.loaded {
			a.updateMode(now, s)
		}
	}
	for _, p := range a.poolOrder {
		if s := a.service(p.service); s.loaded {
			a.report(now, p)
		}
	}
	return resolved
}

// expireRequests handles the requests without a reply in time, oldest first.
func (a *Account) expireRequests(now time.Time) (resolved []Resolution) {
	var expired []*request
	for _, r := range a.requests {
		if !now.Before(r.deadline) {
			expired = append(expired, r)
		}
	}
	slices.SortFunc(expired, func(x, y *request) int { return cmp.Compare(x.number, y.number) })
	for _, r := range expired {
		delete(a.requests, r.number)
		a.counts.messages.Timeouts++
		r.pool.noteUnanswered(now, r.attempt)
		t := a.tickets[r.ticket]
		if t == nil {
			continue
		}
		v := Verdict{Outcome: Waiting}
		if t.attempts++; t.attempts < maxAttempts {
			v = a.advance(now, t)
		} else {
			v = a.fallback(now, a.service(t.flow.Service), t.flow)
		}
		if v.Outcome != Waiting {
			resolved = append(resolved, a.resolve(now, t, v))
		}
	}
	return resolved
}

// report returns idle credits of a pool, and sends a list when one is due.
func (a *Account) report(now time.Time, p *pool) {
	p.returnIdle(now)
	holds := len(p.credited) > 0 || p.listed || len(p.returned) > 0 || p.busy()
	listDue := holds && (p.listRequested || !now.Before(p.listDue))
	if listDue && a.budget.allows(now, 0) {
		a.send(now, p, &wire.CreditRequest{}, p.allocator(now), 0)
	}
}

// busy reports whether requests are in progress in the pool.
func (p *pool) busy() bool {
	for _, h := range p.attached {
		if h.inProgress > 0 {
			return true
		}
	}
	return false
}
