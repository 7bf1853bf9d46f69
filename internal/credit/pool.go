package credit

import (
	"slices"
	"time"
)

type (
	// poolKey identifies the endpoints of one service in one failure domain.
	poolKey struct{ service, domain string }

	// pool is the state of a pool at the entry.
	pool struct {
		poolKey
		holdings  map[uint64]*Holding
		attached  []*Holding        // those in holdings, in the order of their arrival
		credited  []*Holding        // those with credits
		refusedAt map[int]time.Time // last refusal by priority
		room      int               // slots without a credit, according to the last reply
		slots     int               // according to the last reply
		heardAt   time.Time         // last reply
		surplus   int               // credits to return as requests end
		returned  []uint64          // to report with the next message
		declined  []uint64          // likewise

		attempt       int       // position in the ranking of the allocator in use
		attemptUntil  time.Time // then the first one is tried again
		unanswered    int       // consecutive requests
		listDue       time.Time
		listed        bool // the last list was not empty
		listRequested bool
	}

	// Holding is what the entry holds at one endpoint.
	Holding struct {
		endpoint   uint64
		pool       *pool
		service    *service
		credits    int
		reserved   int // of these, credits that only the highest priority may use
		inProgress int // requests, and flows that have been placed and have not sent one
		idleSince  time.Time

		responses    int // since the last full list
		responseTime time.Duration
	}
)

// pool returns the state of a pool, creating it if needed.
func (a *Account) pool(key poolKey) *pool {
	p := a.pools[key]
	if p == nil {
		p = &pool{poolKey: key, holdings: map[uint64]*Holding{}, refusedAt: map[int]time.Time{}}
		a.pools[key] = p
		a.poolOrder = append(a.poolOrder, p)
	}
	return p
}

// Attach returns the Holding of an endpoint that accepts new flows from now on.
func (a *Account) Attach(service, domain string, endpoint uint64) *Holding {
	p := a.pool(poolKey{service, domain})
	h := p.holdings[endpoint]
	if h == nil {
		h = &Holding{endpoint: endpoint, pool: p, service: a.service(service)}
		p.holdings[endpoint] = h
		p.attached = append(p.attached, h)
	}
	return h
}

// Detach voids the credits of an endpoint that accepts no new flows any more. Requests in
// progress on it are still counted until they end.
func (a *Account) Detach(h *Holding) {
	p := h.pool
	h.credits, h.reserved = 0, 0
	p.updateCredited(h)
	if p.holdings[h.endpoint] == h {
		delete(p.holdings, h.endpoint)
		p.attached = slices.DeleteFunc(p.attached, func(other *Holding) bool { return other == h })
	}
}

// Start records that a flow was placed on the endpoint, or that a request started on it.
func (a *Account) Start(now time.Time, h *Holding) {
	h.service.advanceAverage(now)
	h.inProgress++
	h.service.inProgress++
}

// End records that a request ended after the given time, or with 0 that a flow ended without
// one.
func (a *Account) End(now time.Time, h *Holding, took time.Duration) {
	h.service.advanceAverage(now)
	h.inProgress--
	h.service.inProgress--
	if took > 0 {
		h.responses++
		h.responseTime += took
	}
	if h.credits <= h.inProgress {
		return
	}
	h.idleSince = now
	if h.pool.surplus > 0 {
		h.pool.surplus--
		h.giveBack()
	}
}

// Endpoint returns the number of the endpoint.
func (h *Holding) Endpoint() uint64 { return h.endpoint }

// Credits returns the credits that the entry holds at the endpoint, and the requests in progress.
func (h *Holding) Credits() (credits, inProgress int) { return h.credits, h.inProgress }

// idle returns the idle credits that a flow may use. Reserved ones are for the highest priority in
// demand.
func (h *Holding) idle(top bool) int {
	idle := h.credits - h.inProgress
	if !top {
		idle -= h.reserved
	}
	return idle
}

// grant adds a credit.
func (h *Holding) grant(now time.Time, reserved bool) {
	h.credits++
	if reserved {
		h.reserved++
	}
	h.idleSince = now
	h.pool.updateCredited(h)
}

// giveBack returns a credit with the next message.
func (h *Holding) giveBack() {
	p := h.pool
	h.credits--
	h.reserved = min(h.reserved, h.credits)
	p.returned = append(p.returned, h.endpoint)
	p.updateCredited(h)
}

// updateCredited adds the holding to the list of those with credits, or removes it.
func (p *pool) updateCredited(h *Holding) {
	i := slices.Index(p.credited, h)
	switch {
	case h.credits > 0 && i < 0:
		p.credited = append(p.credited, h)
	case h.credits == 0 && i >= 0:
		p.credited = slices.Delete(p.credited, i, i+1)
	}
}

// returnIdle returns credits that have been idle for idleLifetime.
func (p *pool) returnIdle(now time.Time) {
	for _, h := range slices.Clone(p.credited) {
		for h.credits > h.inProgress && now.Sub(h.idleSince) >= idleLifetime {
			h.giveBack()
		}
	}
}

// dropCredits forgets the credits of a service when load mode ends. The allocators drop them
// when no further message arrives.
func (a *Account) dropCredits(service string) {
	for _, p := range a.poolOrder {
		if p.service != service {
			continue
		}
		for _, h := range slices.Clone(p.credited) {
			h.credits, h.reserved = 0, 0
			p.updateCredited(h)
		}
		p.returned, p.declined, p.surplus = nil, nil, 0
	}
}

// allocator returns the position in the ranking of the allocator to ask.
func (p *pool) allocator(now time.Time) int {
	if p.attempt > 0 && !now.Before(p.attemptUntil) {
		p.attempt, p.unanswered = 0, 0
	}
	return p.attempt
}

// noteUnanswered records that an allocator left a request unanswered.
func (p *pool) noteUnanswered(now time.Time, attempt int) {
	if attempt != p.attempt {
		return
	}
	if p.unanswered++; p.unanswered >= failoverThreshold {
		p.attempt, p.unanswered = (p.attempt+1)%(maxAttempts+1), 0
		p.attemptUntil = now.Add(failoverPeriod)
	}
}
