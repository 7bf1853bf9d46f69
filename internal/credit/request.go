package credit

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/wire"
)

// udpHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const udpHeaderBytes = 28

type (
	// ticket is a new flow that waits for a credit.
	ticket struct {
		id       uint64
		flow     Flow
		since    time.Time
		usable   func(*Holding) bool
		asked    []string // failure domains whose pools have refused
		empty    int      // of these, those whose allocators know no endpoint
		declined bool     // whether there is a free slot, but at an endpoint that the entry avoids
		attempts int      // control instances that have not answered for the current pool
	}

	// request is a request without a reply.
	request struct {
		number   uint64
		pool     *pool
		priority int
		attempt  int
		deadline time.Time
		ticket   uint64 // 0 for a report
	}
)

// advance asks the next pool for a waiting flow, or decides on it.
func (a *Account) advance(now time.Time, t *ticket) Verdict {
	s, f := a.service(t.flow.Service), t.flow
	if now.Sub(t.since) >= maxWait-replyTimeout {
		return a.fallback(now, s, f)
	}
	p := a.nextPool(now, t)
	switch {
	case p == nil && t.empty > 0 && t.empty == len(t.asked):
		return a.fallback(now, s, f)
	case p == nil && t.declined:
		return Verdict{Outcome: OwnCounts} // there is a slot, if only at an endpoint that is avoided
	case p == nil:
		return Verdict{Outcome: Refused}
	}
	reserve := byteBurst / 2.0
	if s.isPreferred(now, f.Priority) {
		reserve = 0
	}
	if !a.budget.allows(now, reserve) {
		return a.withoutBudget(now, s, f)
	}
	m := &wire.CreditRequest{
		Wanted: s.wanted(now), Priority: int32(f.Priority), TargetNanos: int64(f.Target), TimeoutNanos: int64(f.Timeout),
	}
	if !a.send(now, p, m, p.allocator(now)+t.attempts, t.id) {
		return a.fallback(now, s, f)
	}
	return Verdict{Outcome: Waiting, Ticket: t.id}
}

// withoutBudget decides on a flow for which no request can be sent: by the last answer, and by the
// room that the pool had.
func (a *Account) withoutBudget(now time.Time, s *service, f Flow) Verdict {
	state := s.priority(f.Priority)
	refused := state.refused && now.Sub(state.answerAt) < knowledgeLifetime
	if refused || !s.isTop(now, f.Priority) && a.allCrowded(now, f) {
		return Verdict{Outcome: Unasked}
	}
	return Verdict{Outcome: OwnCounts}
}

// allCrowded reports whether every pool of a flow has twice as many credits as slots, as far as
// known.
func (a *Account) allCrowded(now time.Time, f Flow) bool {
	for _, domain := range f.Domains {
		p := a.pool(poolKey{f.Service, domain})
		if now.Sub(p.heardAt) < knowledgeLifetime && p.room > -p.slots {
			return false
		}
	}
	return true
}

// nextPool returns the next pool to ask: that of the preferred failure domain first, then those
// that last had most room, equal ones at random so that no failure domain is asked more than
// others. Pools that refused the priority a moment ago are left out.
func (a *Account) nextPool(now time.Time, t *ticket) *pool {
	if len(t.asked) >= maxPools || len(t.flow.Domains) == 0 {
		return nil
	}
	if p := a.askable(now, t, 0); p != nil {
		return p
	}
	var best *pool
	others := len(t.flow.Domains) - 1
	for n, first := 0, a.random.IntN(max(1, others)); n < others; n++ {
		p := a.askable(now, t, 1+(first+n)%others)
		if p != nil && (best == nil || p.knownRoom(now) > best.knownRoom(now)) {
			best = p
		}
	}
	return best
}

// askable returns the pool of the i-th failure domain of a flow, nil if it has been asked or has
// refused the priority a moment ago.
func (a *Account) askable(now time.Time, t *ticket, i int) *pool {
	domain := t.flow.Domains[i]
	p := a.pool(poolKey{t.flow.Service, domain})
	if slices.Contains(t.asked, domain) || now.Sub(p.refusedAt[t.flow.Priority]) < p.pause(i == 0) {
		return nil
	}
	return p
}

// pause returns how long a pool that refused a priority is not asked for it again. A pool that had
// no room in another failure domain is asked less often, as the clients of that domain use what it
// gets.
func (p *pool) pause(preferred bool) time.Duration {
	if preferred || p.room > 0 {
		return refusalPause
	}
	return farRefusalPause
}

// knownRoom returns the free slots according to a recent reply, 0 without one.
func (p *pool) knownRoom(now time.Time) int {
	if now.Sub(p.heardAt) >= knowledgeLifetime {
		return 0
	}
	return p.room
}

// fallback decides on a flow without an answer: by the share of refusals while it is known, then
// by the entry's own counts.
func (a *Account) fallback(now time.Time, s *service, f Flow) Verdict {
	state := s.priority(f.Priority)
	if now.Sub(state.answerAt) < knowledgeLifetime && a.random.Float64() < state.refusal {
		return Verdict{Outcome: Uncertain}
	}
	return Verdict{Outcome: OwnCounts}
}

// send completes a request and sends it. It reports false if there is no allocator.
func (a *Account) send(now time.Time, p *pool, m *wire.CreditRequest, attempt int, ticket uint64) bool {
	a.lastSent++
	m.Entry, m.Life, m.Number, m.Service, m.Domain = a.config.Entry, a.config.Life, a.lastSent, p.service, p.domain
	m.OldestPending, m.AdmittedPermille = a.oldestPending(p), a.service(p.service).admittedPermille(now)
	if p.listRequested || !now.Before(p.listDue) {
		m.Full, m.Held = true, p.list()
		p.listDue, p.listRequested, p.listed = now.Add(a.listInterval(p)), false, len(m.Held) > 0
	} else {
		m.Returned = p.returned
	}
	m.Declined = p.declined
	if !a.config.Send(attempt, m) {
		return false
	}
	p.returned, p.declined = nil, nil
	size := proto.Size(m) + udpHeaderBytes
	a.budget.spend(size)
	a.counts.messages.Requests++
	a.counts.messages.Bytes += uint64(size)
	a.requests[m.Number] = &request{
		number: m.Number, pool: p, priority: int(m.Priority), attempt: attempt, deadline: now.Add(replyTimeout), ticket: ticket,
	}
	return true
}

// listInterval returns the interval of the lists to a pool.
func (a *Account) listInterval(p *pool) time.Duration {
	if p.domain == a.config.Domain {
		return listInterval
	}
	return farListInterval
}

// oldestPending returns the lowest number of a request to a pool that has no reply, or the number
// of the last request if there is none.
func (a *Account) oldestPending(p *pool) uint64 {
	oldest := a.lastSent
	for number, r := range a.requests {
		if r.pool == p {
			oldest = min(oldest, number)
		}
	}
	return oldest
}

// list returns what the entry holds in a pool, and resets the counts of responses.
func (p *pool) list() (held []*wire.HeldCredits) {
	for _, h := range p.attached {
		if count := max(h.credits, h.inProgress); count > 0 || h.responses > 0 {
			held = append(held, &wire.HeldCredits{
				Endpoint: h.endpoint, Count: uint32(count), Responses: uint32(h.responses), ResponseNanos: int64(h.responseTime),
			})
		}
		h.responses, h.responseTime = 0, 0
	}
	return held
}

// HandleReply applies the reply of an allocator, and returns the decisions on flows that waited.
func (a *Account) HandleReply(now time.Time, m *wire.CreditReply) []Resolution {
	r := a.requests[m.Number]
	if m.Life != a.config.Life || r != nil && (r.pool.service != m.Service || r.pool.domain != m.Domain) {
		return nil
	}
	p := a.pools[poolKey{m.Service, m.Domain}]
	if p == nil {
		return nil
	}
	delete(a.requests, m.Number)
	p.heardAt, a.service(m.Service).heardAt, p.unanswered = now, now, 0
	p.slots, p.room, p.surplus = int(m.Slots), int(m.Slots)-int(m.Count), int(m.Surplus)
	p.listRequested = p.listRequested || m.Unknown
	var t *ticket
	if r != nil {
		t = a.tickets[r.ticket]
	}
	granted := a.applyGrants(now, p, m, t)
	if r == nil || r.ticket == 0 {
		return nil
	}
	a.noteAnswer(now, r, m)
	if t == nil {
		return nil
	}
	if m.Slots == 0 && !m.Learning {
		t.empty++
	}
	return a.resolveAnswered(now, t, p, granted, m)
}

// noteAnswer records whether a pool refused a priority. The refusal of an allocator that is learning,
// or knows no endpoint, says nothing about the load.
func (a *Account) noteAnswer(now time.Time, r *request, m *wire.CreditReply) {
	declined := m.Refused && m.Count < m.Slots
	if m.Refused && !m.Learning && !declined {
		r.pool.refusedAt[r.priority] = now
	}
	if m.Slots > 0 && (!m.Learning || !m.Refused) && !declined {
		a.service(m.Service).priority(r.priority).noteAnswer(now, m.Refused)
	}
}

// applyGrants adds granted credits, and returns the usable one for a waiting flow. Credits at
// endpoints that the entry does not use are declined.
func (a *Account) applyGrants(now time.Time, p *pool, m *wire.CreditReply, t *ticket) *Holding {
	var first *Holding
	for _, g := range m.Granted {
		h := p.holdings[g.Endpoint]
		if h == nil || !a.service(p.service).loaded || t != nil && !t.usable(h) {
			p.declined = append(p.declined, g.Endpoint)
			continue
		}
		h.grant(now, g.Reserved)
		if first == nil {
			first = h
		}
	}
	return first
}

// resolveAnswered decides on a flow whose request was answered, or asks the next pool for it.
func (a *Account) resolveAnswered(now time.Time, t *ticket, p *pool, granted *Holding, m *wire.CreditReply) []Resolution {
	v := Verdict{Outcome: Granted, Holding: granted}
	switch {
	case granted != nil:
	case m.Refused && m.Learning:
		v = a.fallback(now, a.service(t.flow.Service), t.flow)
	default:
		// A pool with free slots refuses only where the entry declined them a moment ago.
		t.declined = t.declined || len(m.Granted) > 0 || m.Count < m.Slots
		t.asked, t.attempts = append(t.asked, p.domain), 0
		if v = a.advance(now, t); v.Outcome == Waiting {
			return nil
		}
	}
	return []Resolution{a.resolve(now, t, v)}
}

// resolve ends the wait of a flow.
func (a *Account) resolve(now time.Time, t *ticket, v Verdict) Resolution {
	delete(a.tickets, t.id)
	v = a.decided(now, a.service(t.flow.Service), t.flow, v)
	return Resolution{Ticket: t.id, Verdict: v, Waited: now.Sub(t.since)}
}
