package work

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// Phases of an ownership.
const (
	waiting phase = iota // for the former owner's handover
	serving
	former // another entry is the owner now
)

type (
	phase int

	// ownership is an entry's state for a service whose requests it owns or has owned.
	ownership struct {
		service          uint32
		index            uint64 // of the table by which this entry became the owner
		phase            phase
		formerOwner      string    // set while waiting
		keysUnknownUntil time.Time // before this, a seemingly new request may have run already
		uncertainUntil   time.Time // the same for repeatable requests, whose keys aren't stored
		requests         map[route.FlowID]*request
		expiry           []*request // in the order they were added
		active           []*request // without a final state, in the order they were added
		byMessage        map[messageKey]route.FlowID
		queue            queue
		grants           grants
		endpoints        []*route.Endpoint // that take new requests
		retries          retryBudget
		transfers        map[transferKey]transfer
		earlyPackets     []earlyPacket // packets that arrived while waiting
		secondHolder     string
		unconfirmed      map[route.FlowID]*request // whose keys the second holder hasn't confirmed
		holdQueue        []*request                // whose keys haven't been sent to the second holder
		unackedHolds     []*unackedHold            // in the order of their sequence numbers
		secondComplete   bool                      // the second holder's set of keys was marked as complete
		handover         *outgoingHandover         // to a new owner, nil if none is in progress
		handedOff        bool                      // the requests were given to another entry
		formerSince      time.Time                 // when the phase changed from serving to former
		unfetchedSince   time.Time                 // when the phase changed to former
		interimOwner     string                    // an owner between two ownerships of this entry, asked for a handover only to end its ownership
		nextWanted       time.Time                 // when to ask again for a handover
	}

	// messageKey identifies a client's message by its CoAP message ID.
	messageKey struct {
		client    route.FlowID // of the client's tuple
		messageID int32
	}

	// transfer is the endpoint that serves a block-wise transfer.
	transfer struct {
		endpoint uint32
		expires  time.Time
	}

	// transferKey identifies a block-wise transfer.
	transferKey struct {
		client route.FlowID // of the client's tuple
		path   string
	}

	earlyPacket struct {
		endpoint uint32 // 0 for a request
		inner    []byte
	}

	// Engine processes the requests of all services for one entry.
	Engine struct {
		config   Config
		view     *View
		owned    map[uint32]*ownership
		keptKeys map[uint32]*keptKeys
		out      []Output
		events   []Event
		sequence uint64
		dirty    bool // there may be output or holds to send
		stats    Stats
	}
)

// New returns an engine without ownerships.
func New(c Config) *Engine {
	return &Engine{
		config: c, view: &View{Table: route.Empty()},
		owned: map[uint32]*ownership{}, keptKeys: map[uint32]*keptKeys{},
	}
}

// TakeOutput returns and clears the pending output, which is valid until the next
// call.
func (e *Engine) TakeOutput() []Output {
	if !e.dirty {
		return nil // fast path: called after every packet, most of which aren't requests
	}
	e.dirty = false
	e.flushHolds()
	out := e.out
	e.out = e.out[:0]
	return out
}

// TakeEvents returns the events since the last call. They are valid until the next
// call.
func (e *Engine) TakeEvents() []Event {
	events := e.events
	e.events = e.events[:0]
	return events
}

// Stats returns the current statistics.
func (e *Engine) Stats() Stats {
	s := e.stats
	for _, o := range e.owned {
		s.Requests += len(o.requests)
		s.Queued += o.queue.len()
	}
	for _, k := range e.keptKeys {
		s.StoredKeys += len(k.keys)
	}
	return s
}

// rank returns the owner and the second holder of a service's requests.
func (v *View) rank(service uint32) (owner, second string) {
	return route.Rank(v.Table.Members(), service, route.WorkBucket)
}

// SetView applies a new view, unless its table is older than the current one. All
// membership changes since the last view are applied in order, so that no owner in
// between is missed.
func (e *Engine) SetView(now time.Time, next *View) {
	e.dirty = true
	if next.Table.Index() < e.view.Table.Index() {
		return
	}
	for _, t := range next.MembershipTables {
		if t.Index() > e.view.Table.Index() && t.Index() < next.Table.Index() {
			e.applyTable(now, next, t)
		}
	}
	if next.Table == e.view.Table {
		e.view = next
		return
	}
	e.applyTable(now, next, next.Table)
}

// applyTable applies one table with the rest of the new view.
func (e *Engine) applyTable(now time.Time, next *View, t *route.Table) {
	previous := e.view.Table
	view := *next
	view.Table = t
	e.view = &view
	self, listed := t.Member(e.config.Self)
	if !listed || self.Incarnation() != e.config.Incarnation {
		// The entry was removed, so its state is outdated.
		clear(e.owned)
		clear(e.keptKeys)
		return
	}
	before, wasListed := previous.Member(e.config.Self)
	wasListed = wasListed && before.JoinedAt() == self.JoinedAt() && before.Incarnation() == self.Incarnation()
	t.Services(func(s *route.Service) {
		if hasWork(s) {
			e.updateService(now, s, previous, wasListed)
		}
	})
	for _, o := range e.sortedOwnerships() {
		if t.Service(o.service) == nil {
			e.drop(o)
		}
	}
	for service, k := range e.keptKeys {
		if _, second := e.view.rank(service); second != e.config.Self {
			k.complete = false // the owner now sends its keys to another entry
		}
	}
}

// sortedOwnerships returns the ownerships sorted by service, for reproducible runs.
func (e *Engine) sortedOwnerships() []*ownership {
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

// updateService starts or ends this entry's ownership of a service after a change of
// the table.
func (e *Engine) updateService(now time.Time, s *route.Service, previous *route.Table, wasListed bool) {
	owner, _ := e.view.rank(s.ID())
	o := e.owned[s.ID()]
	switch {
	case owner == e.config.Self && (o == nil || o.phase == former):
		formerOwner, known := e.formerOwner(s, previous, wasListed)
		o = e.takeOver(now, s, o, formerOwner, known)
	case owner != e.config.Self && o != nil && o.phase == serving:
		o.phase, o.formerSince, o.unfetchedSince = former, now, now
	case owner != e.config.Self && o != nil && o.phase == waiting && owner == o.formerOwner:
		// The former owner is the owner again and keeps its requests.
		e.drop(o)
		return
	}
	if o != nil {
		e.refresh(now, s, o, previous)
	}
}

// refresh updates an ownership after a change of the table.
func (e *Engine) refresh(now time.Time, s *route.Service, o *ownership, previous *route.Table) {
	if previous.Uncertain() || e.view.Table.Uncertain() {
		// An isolated failure domain may have run repeatable requests.
		o.uncertainUntil = now.Add(s.Policy().RequestLife)
	}
	o.endpoints = workEndpoints(e.view.Table, s)
	for _, r := range o.active {
		r.class = classOf(s, r)
	}
	if o.phase == waiting && !e.isMember(o.formerOwner) {
		e.takeOverLost(now, s, o, o.formerOwner)
	}
	e.updateSecond(o)
}

func classOf(s *route.Service, r *request) *route.Class {
	for i := range s.Classes() {
		if c := &s.Classes()[i]; c.Key.Addr == r.tuple.Dst() {
			return c
		}
	}
	return r.class
}

// workEndpoints returns the endpoints that take new requests: those that aren't
// leaving and have a bucket. Unhealthy endpoints have none.
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

func (e *Engine) isMember(name string) bool {
	_, ok := e.view.Table.Member(name)
	return ok
}

// takeOver starts an ownership: it serves at once if there was no former owner, waits
// for the handover of one that is a member, or takes over from a lost one. The former
// owner is valid only if known is true.
func (e *Engine) takeOver(now time.Time, s *route.Service, o *ownership, formerOwner string, known bool) *ownership {
	e.stats.Takeovers++
	if o == nil || o.handedOff {
		o = e.newOwnership(s.ID())
	}
	// If kept, this entry owned the service recently and still has its requests. An
	// owner in between that didn't get them has run no request that must not be
	// repeated, since it answers such requests with "unknown" for RequestLife.
	kept := o.phase == former && now.Sub(o.formerSince) < s.Policy().RequestLife-e.config.MaxPacketDelay
	o.index = e.view.Table.Index()
	o.secondComplete, o.secondHolder = false, ""
	if kept && formerOwner != e.config.Self {
		o.interimOwner = formerOwner // it keeps its ownership until it is asked for a handover
	}
	switch {
	case kept || known && (formerOwner == "" || formerOwner == e.config.Self):
		o.phase = serving
	case known && e.isMember(formerOwner):
		o.phase, o.formerOwner, o.nextWanted = waiting, formerOwner, time.Time{}
	default:
		e.takeOverLost(now, s, o, formerOwner)
	}
	return o
}

func (e *Engine) newOwnership(service uint32) *ownership {
	o := &ownership{
		service: service, requests: map[route.FlowID]*request{},
		byMessage: map[messageKey]route.FlowID{}, grants: newGrants(), transfers: map[transferKey]transfer{},
		unconfirmed: map[route.FlowID]*request{}, retries: newRetryBudget(e.config.MinRetriesPerSecond),
	}
	e.owned[service] = o
	return o
}

// formerOwner returns the previous owner of the service, "" if there was none, and
// whether it is known.
func (e *Engine) formerOwner(s *route.Service, previous *route.Table, wasListed bool) (string, bool) {
	t := e.view.Table
	if wasListed {
		if previous.Service(s.ID()) == nil {
			return "", true
		}
		owner, _ := route.Rank(previous.Members(), s.ID(), route.WorkBucket)
		return owner, true
	}
	// The entry has just joined, so the former owner is the highest ranked of the
	// members that joined earlier. It is unknown if a member, or an earlier incarnation of
	// this entry, was lost since this entry joined and the service was created.
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

// takeOverLost takes over from a lost owner. Its second holder, if it has all keys,
// recognizes every request that the owner may have dispatched. Any other entry can't
// distinguish old requests from new ones, and answers "unknown" until all old ones have
// expired.
func (e *Engine) takeOverLost(now time.Time, s *route.Service, o *ownership, formerOwner string) {
	e.endWait(now, o)
	o.uncertainUntil = now.Add(s.Policy().RequestLife)
	kept := e.keptKeys[s.ID()]
	if kept == nil || !kept.complete || kept.owner != formerOwner {
		e.stats.TakeoversWithoutKeys++
		o.keysUnknownUntil = now.Add(s.Policy().RequestLife)
	}
	if kept == nil {
		return
	}
	ids := slices.SortedFunc(maps.Keys(kept.keys), func(a, b route.FlowID) int {
		return cmp.Or(kept.keys[a].Compare(kept.keys[b]), compareIDs(a, b))
	})
	for _, id := range ids {
		if _, known := o.requests[id]; !known {
			o.add(&request{id: id, state: Lost, received: now, expires: kept.keys[id], keyHeld: true})
		}
	}
	delete(e.keptKeys, s.ID())
}

// endWait ends the wait for the former owner. If this entry is no longer the owner, it
// only hands over the requests that it received.
func (e *Engine) endWait(now time.Time, o *ownership) {
	o.phase, o.formerOwner = serving, ""
	if owner, _ := e.view.rank(o.service); owner != e.config.Self && !e.view.Isolated {
		o.phase, o.unfetchedSince = former, now // formerSince stays unset, so that takeOver won't reuse these requests, which may be outdated
	}
}

func (o *ownership) add(r *request) {
	o.requests[r.id] = r
	o.expiry = append(o.expiry, r)
	if !r.state.final() {
		o.active = append(o.active, r)
	}
}

// transition sets the state of a request and records an event.
func (e *Engine) transition(o *ownership, r *request, s State, c Cause, endpoint uint32) {
	r.state = s
	e.stats.States[s]++
	if s.final() {
		o.active = slices.DeleteFunc(o.active, func(a *request) bool { return a == r })
	}
	e.events = append(e.events, Event{ID: r.id, Service: o.service, Token: r.message.Token, Client: r.tuple, State: s, Cause: c, Endpoint: endpoint})
}

func (e *Engine) sendToPeer(name string, m *wire.Peer) {
	m.From = e.config.Self
	e.out = append(e.out, Output{Kind: ToPeer, Peer: name, Message: m})
}
