package work

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// The phases of an ownership.
const (
	waiting phase = iota // for the former owner to hand over
	serving
	former // another entry is the owner now
)

type (
	phase int

	// ownership is what the owner of a service's work holds.
	ownership struct {
		service     uint32
		index       uint64 // of the table by which it became the owner
		phase       phase
		before      string    // the former owner, while waiting
		blankUntil  time.Time // until then an old request cannot be told from a new one
		doubtUntil  time.Time // until then a repeatable one, which no second holds, cannot
		requests    map[route.FlowID]*request
		expiry      []*request // in the order they were received
		active      []*request // without a final answer, in the order they came
		byMessage   map[messageKey]route.FlowID
		queue       queue
		grants      grants
		endpoints   []*route.Endpoint // that take new work
		retries     retryBudget
		transfers   map[transferKey]transfer
		early       []earlyPacket // answers and requests that came while waiting
		second      string
		unheld      map[route.FlowID]*request
		toHold      []*request
		holds       []*sentHold // in the order of sequences
		complete    bool        // the second holder was told that it has every key
		handover    *outgoing
		gaveAway    bool // another entry has been given the requests
		formerSince time.Time
		absorb      string // an owner in between, which is asked for its part only so that it can let go
		wantedAt    time.Time
	}

	messageKey struct {
		caller    route.FlowID
		messageID int32
	}

	// transfer pins the blocks of one answer to the endpoint that began it.
	transfer struct {
		endpoint uint32
		until    time.Time
	}

	transferKey struct {
		caller route.FlowID
		path   string
	}

	earlyPacket struct {
		endpoint uint32 // 0 for a request
		inner    []byte
	}

	// Engine decides on work for one entry.
	Engine struct {
		config   Config
		view     *View
		owned    map[uint32]*ownership
		kept     map[uint32]*keptKeys
		out      []Out
		events   []Event
		sequence uint64
		touched  bool // something may have to be sent
		stats    Stats
	}
)

// New returns an engine that owns nothing.
func New(c Config) *Engine {
	return &Engine{
		config: c, view: &View{Table: route.Empty()},
		owned: map[uint32]*ownership{}, kept: map[uint32]*keptKeys{},
	}
}

// TakeOut returns what is to be sent and forgets it; valid until the next call.
func (e *Engine) TakeOut() []Out {
	if !e.touched {
		return nil // it is asked after every packet, and most are no work
	}
	e.touched = false
	e.flushHolds()
	out := e.out
	e.out = e.out[:0]
	return out
}

// TakeEvents returns the steps taken since the last call; valid until the next.
func (e *Engine) TakeEvents() []Event {
	events := e.events
	e.events = e.events[:0]
	return events
}

// Stats returns counts of what the engine holds and has done.
func (e *Engine) Stats() Stats {
	s := e.stats
	for _, o := range e.owned {
		s.Requests += len(o.requests)
		s.Queue += o.queue.len()
	}
	for _, k := range e.kept {
		s.Kept += len(k.keys)
	}
	return s
}

// rank returns the owner and the second holder of a service's work.
func (v *View) rank(service uint32) (owner, second string) {
	return route.Rank(v.Table.Members(), service, route.WorkBucket)
}

// SetView takes a new view; an older table is refused. Each change of the
// entries since the last view is gone through in order, so that no owner in
// between is missed.
func (e *Engine) SetView(now time.Time, next *View) {
	e.touched = true
	if next.Table.Index() < e.view.Table.Index() {
		return
	}
	for _, t := range next.Steps {
		if t.Index() > e.view.Table.Index() && t.Index() < next.Table.Index() {
			e.setTable(now, next, t)
		}
	}
	if next.Table == e.view.Table {
		e.view = next
		return
	}
	e.setTable(now, next, next.Table)
}

func (e *Engine) setTable(now time.Time, next *View, t *route.Table) {
	previous := e.view.Table
	view := *next
	view.Table = t
	e.view = &view
	self, listed := t.Member(e.config.Self)
	if !listed || self.Incarnation() != e.config.Incarnation {
		// The others have gone on without this entry: what it holds is old.
		clear(e.owned)
		clear(e.kept)
		return
	}
	before, wasListed := previous.Member(e.config.Self)
	wasListed = wasListed && before.JoinedAt() == self.JoinedAt() && before.Incarnation() == self.Incarnation()
	t.Services(func(s *route.Service) {
		if hasWork(s) {
			e.updateService(now, s, previous, wasListed)
		}
	})
	for _, o := range e.inOrder() {
		if t.Service(o.service) == nil {
			e.drop(o)
		}
	}
	for service, k := range e.kept {
		if _, second := e.view.rank(service); second != e.config.Self {
			k.complete = false // the owner tells another one from here on
		}
	}
}

// inOrder returns the ownerships by service, so that a run can be replayed.
func (e *Engine) inOrder() []*ownership {
	all := make([]*ownership, 0, len(e.owned))
	for _, id := range slices.Sorted(maps.Keys(e.owned)) {
		all = append(all, e.owned[id])
	}
	return all
}

func (e *Engine) drop(o *ownership) { delete(e.owned, o.service) }

func hasWork(s *route.Service) bool {
	for _, c := range s.Classes() {
		if c.Work {
			return true
		}
	}
	return false
}

func (e *Engine) updateService(now time.Time, s *route.Service, previous *route.Table, wasListed bool) {
	owner, _ := e.view.rank(s.ID())
	o := e.owned[s.ID()]
	switch {
	case owner == e.config.Self && (o == nil || o.phase == former):
		before, known := e.formerOwner(s, previous, wasListed)
		o = e.takeOver(now, s, o, before, known)
	case owner != e.config.Self && o != nil && o.phase == serving:
		o.phase, o.formerSince = former, now
	case owner != e.config.Self && o != nil && o.phase == waiting && owner == o.before:
		// What was waited for is the present owner's own again.
		e.drop(o)
		return
	}
	if o != nil {
		e.refresh(now, s, o, previous)
	}
}

// refresh brings what an ownership holds of the table up to date.
func (e *Engine) refresh(now time.Time, s *route.Service, o *ownership, previous *route.Table) {
	if previous.Uncertain() || e.view.Table.Uncertain() {
		// A domain that serves by itself may run what may be repeated.
		o.doubtUntil = now.Add(s.Policy().RequestLife)
	}
	o.endpoints = workEndpoints(e.view.Table, s)
	for _, r := range o.active {
		r.class = classOf(s, r)
	}
	if o.phase == waiting && !e.lives(o.before) {
		e.afterLoss(now, s, o, o.before)
	}
	e.chooseSecond(o)
}

func classOf(s *route.Service, r *request) *route.Class {
	for i := range s.Classes() {
		if c := &s.Classes()[i]; c.Key.Addr == r.tuple.Dst() {
			return c
		}
	}
	return r.class
}

// workEndpoints returns the endpoints that take new work: those that are not
// leaving and have a bucket, which the placer takes from an unhealthy one.
func workEndpoints(t *route.Table, s *route.Service) []*route.Endpoint {
	placed := map[uint32]bool{}
	for b := range uint32(s.BucketCount()) {
		placed[s.Current(b)] = true
	}
	var found []*route.Endpoint
	for _, e := range t.EndpointsOf(s.ID()) {
		if placed[e.ID()] && !e.Leaving() {
			found = append(found, e)
		}
	}
	return found
}

func (e *Engine) lives(name string) bool {
	_, ok := e.view.Table.Member(name)
	return ok
}

// takeOver begins an ownership. What is known of the former owner decides
// how: nobody was before, it lives and hands over, or it is lost.
func (e *Engine) takeOver(now time.Time, s *route.Service, o *ownership, before string, known bool) *ownership {
	e.stats.Takeovers++
	if o == nil || o.gaveAway {
		o = e.newOwnership(s.ID())
	}
	// Whoever owned it in between and was not given what is kept here could
	// not tell old requests from new ones, and ran none for one life.
	kept := o.phase == former && now.Sub(o.formerSince) < s.Policy().RequestLife-e.config.Linger
	o.index = e.view.Table.Index()
	o.complete, o.second = false, ""
	if kept && before != e.config.Self {
		o.absorb = before // it needs to be asked, or it would keep its part for ever
	}
	switch {
	case kept || known && (before == "" || before == e.config.Self):
		o.phase = serving
	case known && e.lives(before):
		o.phase, o.before, o.wantedAt = waiting, before, time.Time{}
	default:
		e.afterLoss(now, s, o, before)
	}
	return o
}

func (e *Engine) newOwnership(service uint32) *ownership {
	o := &ownership{
		service: service, requests: map[route.FlowID]*request{},
		byMessage: map[messageKey]route.FlowID{}, grants: newGrants(), transfers: map[transferKey]transfer{},
		unheld: map[route.FlowID]*request{}, retries: newRetryBudget(e.config.RetryFloor),
	}
	e.owned[service] = o
	return o
}

// formerOwner returns who owned the service before, "" for nobody, and
// whether that can be told.
func (e *Engine) formerOwner(s *route.Service, previous *route.Table, wasListed bool) (string, bool) {
	t := e.view.Table
	if wasListed {
		if previous.Service(s.ID()) == nil {
			return "", true
		}
		owner, _ := route.Rank(previous.Members(), s.ID(), route.WorkBucket)
		return owner, true
	}
	// The first table of this life. The owner before it ranked among the
	// entries that were listed earlier; one that was lost since, or with this
	// entry's former life, is not known.
	self, _ := t.Member(e.config.Self)
	if t.LossIndex() >= self.JoinedAt() && t.LossIndex() > s.CreatedAt() {
		return "", false
	}
	var earlier []route.Member
	for _, m := range t.Members() {
		if m.JoinedAt() < self.JoinedAt() {
			earlier = append(earlier, m)
		}
	}
	owner, _ := route.Rank(earlier, s.ID(), route.WorkBucket)
	return owner, owner != "" || t.LossIndex() <= s.CreatedAt()
}

// afterLoss takes over from an owner that is lost. Its complete second holder
// knows every key that it can have dispatched; any other entry cannot tell an
// old request from a new one and must refuse until the longest life is over.
func (e *Engine) afterLoss(now time.Time, s *route.Service, o *ownership, before string) {
	e.begin(o)
	o.doubtUntil = now.Add(s.Policy().RequestLife)
	kept := e.kept[s.ID()]
	if kept == nil || !kept.complete || kept.owner != before {
		e.stats.Blanks++
		o.blankUntil = now.Add(s.Policy().RequestLife)
	}
	if kept == nil {
		return
	}
	ids := slices.SortedFunc(maps.Keys(kept.keys), func(a, b route.FlowID) int {
		return cmp.Or(kept.keys[a].Compare(kept.keys[b]), compareIDs(a, b))
	})
	for _, id := range ids {
		if _, known := o.requests[id]; !known {
			o.add(&request{id: id, state: Lost, received: now, expires: kept.keys[id], held: true})
		}
	}
	delete(e.kept, s.ID())
}

// begin ends the wait for the former owner. An entry that is no longer the
// owner itself by then has nothing to do but to hand on what it was given.
func (e *Engine) begin(o *ownership) {
	o.phase, o.before = serving, ""
	if owner, _ := e.view.rank(o.service); owner != e.config.Self && !e.view.Island {
		o.phase = former // not formerSince: what it was given may be old
	}
}

func (o *ownership) add(r *request) {
	o.requests[r.id] = r
	o.expiry = append(o.expiry, r)
	if !r.state.final() {
		o.active = append(o.active, r)
	}
}

// step notes a request's step and its cause.
func (e *Engine) step(o *ownership, r *request, s State, c Cause, endpoint uint32) {
	r.state = s
	e.stats.States[s]++
	if s.final() {
		o.active = slices.DeleteFunc(o.active, func(a *request) bool { return a == r })
	}
	e.events = append(e.events, Event{ID: r.id, Service: o.service, Token: r.message.Token, Caller: r.tuple, State: s, Cause: c, Endpoint: endpoint})
}

func (e *Engine) peer(name string, m *wire.Peer) {
	m.From = e.config.Self
	e.out = append(e.out, Out{Kind: ToPeer, Peer: name, Message: m})
}
