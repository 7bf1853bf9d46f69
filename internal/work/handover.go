package work

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// handoverWindow is how many requests are under way to a new owner at a time.
const handoverWindow = 64

// outgoing is a handover to a new owner.
type outgoing struct {
	to   string
	left []*request
	open map[uint64]*wire.Handover
	due  time.Time
	last bool
}

// Peer takes a message from another entry.
func (e *Engine) Peer(now time.Time, m *wire.Peer) {
	e.touched = true
	switch body := m.Body.(type) {
	case *wire.Peer_Hold:
		e.takeHold(now, m.From, body.Hold)
	case *wire.Peer_Held:
		e.takeHeld(now, m.From, body.Held)
	case *wire.Peer_Wanted:
		e.wanted(now, m.From, body.Wanted)
	case *wire.Peer_Handover:
		e.takeHandover(now, m.From, body.Handover)
	case *wire.Peer_HandedOver:
		e.handedOver(now, m.From, body.HandedOver)
	}
}

// wanted begins to hand over to a new owner. This entry must have seen the
// change too: until then it may still dispatch.
func (e *Engine) wanted(now time.Time, from string, w *wire.Wanted) {
	if e.view.Table.Index() < w.Index {
		return
	}
	owner, _ := e.view.rank(w.Service)
	o := e.owned[w.Service]
	if owner == e.config.Self || o != nil && o.phase == waiting {
		return // the asker's view is old, or there is nothing to give yet
	}
	if o != nil && o.handover != nil && o.handover.to == from {
		return
	}
	if o == nil || o.gaveAway {
		e.cannotVouch(from, w.Service)
		return
	}
	o.gaveAway = true
	o.handover = &outgoing{to: from, open: map[uint64]*wire.Handover{}}
	for _, id := range slices.SortedFunc(maps.Keys(o.requests), compareIDs) {
		o.handover.left = append(o.handover.left, o.requests[id])
	}
	e.runHandover(now, o)
}

// cannotVouch answers an asker that takes this entry for the former owner,
// which it was not, or not the last: old requests may be anywhere.
func (e *Engine) cannotVouch(to string, service uint32) {
	s := e.view.Table.Service(service)
	if s == nil {
		return
	}
	e.sequence++
	e.peer(to, &wire.Peer{Body: &wire.Peer_Handover{Handover: &wire.Handover{
		Service: service, Sequence: e.sequence, Last: true, BlankNanos: int64(s.Policy().RequestLife), DoubtNanos: int64(s.Policy().RequestLife),
	}}})
}

func compareIDs(a, b route.FlowID) int {
	return cmp.Or(cmp.Compare(a.High, b.High), cmp.Compare(a.Low, b.Low))
}

func (e *Engine) runHandover(now time.Time, o *ownership) {
	h := o.handover
	if !h.due.IsZero() && !now.Before(h.due) {
		for _, sequence := range slices.Sorted(maps.Keys(h.open)) {
			e.peer(h.to, &wire.Peer{Body: &wire.Peer_Handover{Handover: h.open[sequence]}})
		}
		h.due = now.Add(e.config.HoldRetry)
	}
	for len(h.left) > 0 && len(h.open) < handoverWindow {
		e.sendHandover(now, h, e.describe(now, o, h.left[0]))
		h.left = h.left[1:]
	}
	if len(h.left) == 0 && len(h.open) == 0 && !h.last {
		h.last = true
		e.sendHandover(now, h, &wire.Handover{Service: o.service, Last: true, BlankNanos: int64(max(o.blankUntil.Sub(now), 0)), DoubtNanos: int64(max(o.doubtUntil.Sub(now), 0))})
	}
}

func (e *Engine) sendHandover(now time.Time, h *outgoing, m *wire.Handover) {
	e.sequence++
	m.Sequence = e.sequence
	h.open[m.Sequence] = m
	h.due = now.Add(e.config.HoldRetry)
	e.peer(h.to, &wire.Peer{Body: &wire.Peer_Handover{Handover: m}})
}

func (e *Engine) describe(now time.Time, o *ownership, r *request) *wire.Handover {
	m := &wire.Handover{
		Service: o.service, State: uint32(r.state), MayHaveRun: r.mayHaveRun, DeadlineNanos: int64(r.deadline.Sub(now)),
		Key: &wire.HeldKey{High: r.id.High, Low: r.id.Low, LifeNanos: int64(r.expires.Sub(now))},
	}
	if r.message.Code != 0 {
		if inner, err := wrap(r.tuple, r.message); err == nil {
			m.Packet = inner
		}
	}
	if r.answer != nil {
		if data, err := r.answer.Encode(); err == nil {
			m.Answer = data
		}
	}
	if a := r.openAttempt(); a != nil {
		m.Endpoint, m.MessageId = a.endpoint, uint32(a.messageID)
	} else if n := len(r.attempts); n > 0 {
		m.Endpoint = r.attempts[n-1].endpoint // where the other blocks of its answer are
	}
	return m
}

func (e *Engine) handedOver(now time.Time, from string, h *wire.HandedOver) {
	o := e.owned[h.Service]
	if o == nil || o.handover == nil || o.handover.to != from {
		return
	}
	delete(o.handover.open, h.Sequence)
	if o.handover.last && len(o.handover.open) == 0 {
		o.handover = nil
		if o.phase == former {
			e.drop(o)
		}
		return
	}
	e.runHandover(now, o)
}

// Handing reports whether this entry still has to hand something over, or
// owns work: a planned stop waits until it does not. What nobody has asked for
// within a while, and holds no request, is nothing.
func (e *Engine) Handing(now time.Time) bool {
	for _, o := range e.owned {
		asked := o.handover != nil || o.phase != former || now.Sub(o.formerSince) < e.config.Linger
		if asked || len(o.requests) > 0 {
			return true
		}
	}
	return false
}

// Owns tells each service whose work this entry still has a part in.
func (e *Engine) Owns() string {
	var text strings.Builder
	for _, o := range e.inOrder() {
		fmt.Fprintf(&text, "%d:%s before=%s gave=%v requests=%d;", o.service, [...]string{"waiting", "serving", "former"}[o.phase], o.before, o.gaveAway, len(o.requests))
	}
	return text.String()
}

// takeHandover takes over one request, or begins to serve after the last.
func (e *Engine) takeHandover(now time.Time, from string, h *wire.Handover) {
	e.peer(from, &wire.Peer{Body: &wire.Peer_HandedOver{HandedOver: &wire.HandedOver{Service: h.Service, Sequence: h.Sequence}}})
	o := e.owned[h.Service]
	s := e.view.Table.Service(h.Service)
	if o != nil && h.Last && from == o.absorb {
		o.absorb = ""
	}
	if o == nil || s == nil || o.phase != waiting || o.before != from {
		return
	}
	if !h.Last {
		e.takeRequest(now, s, o, h)
		return
	}
	e.begin(o)
	if blank := now.Add(time.Duration(h.BlankNanos)); h.BlankNanos > 0 && blank.After(o.blankUntil) {
		o.blankUntil = blank
	}
	if doubt := now.Add(time.Duration(h.DoubtNanos)); h.DoubtNanos > 0 && doubt.After(o.doubtUntil) {
		o.doubtUntil = doubt
	}
	e.chooseSecond(o)
	e.replayEarly(now, s, o)
	e.dispatch(now, o)
}

// takeRequest takes one request into the state that its former owner left it
// in. One that was queued waits again; one that was dispatched keeps its slot.
func (e *Engine) takeRequest(now time.Time, s *route.Service, o *ownership, h *wire.Handover) {
	id := route.FlowID{High: h.Key.High, Low: h.Key.Low}
	if _, known := o.requests[id]; known {
		return
	}
	r := &request{
		id: id, state: State(h.State), received: now, held: true, mayHaveRun: h.MayHaveRun,
		deadline: now.Add(time.Duration(h.DeadlineNanos)), expires: now.Add(time.Duration(h.Key.LifeNanos)),
	}
	var d packet.Decoder
	var p packet.Packet
	if d.DecodeInner(h.Packet, &p) == packet.Decoded {
		r.tuple = p.Tuple()
		if m, err := Decode(p.Payload()); err == nil {
			r.message = m
		}
	}
	_, r.class = e.view.Table.Lookup(route.ServiceKey{Addr: r.tuple.Dst(), Transport: packet.UDP})
	if m, err := Decode(h.Answer); err == nil {
		r.answer = &m
	}
	if !r.state.final() && r.class == nil {
		r.state = Lost
	}
	o.add(r)
	if !r.state.final() {
		r.key = messageKey{e.config.Hasher.Flow(r.tuple), r.message.MessageID}
		o.byMessage[r.key] = id
	}
	if r.answer != nil && r.state == Answered && h.Endpoint != 0 {
		e.noteTransfer(now, o, r, h.Endpoint, *r.answer)
	}
	switch r.state {
	case Received, Queued:
		e.step(o, r, Queued, HandedOver, 0)
		o.queue.push(r)
	case Dispatched:
		if endpoint := e.view.Table.Endpoint(h.Endpoint); endpoint != nil && endpoint.Service() == s.ID() {
			o.grants.take(endpoint)
		}
		r.attempts = []attempt{{endpoint: h.Endpoint, messageID: int32(h.MessageId), at: now, until: r.deadline, open: true}}
	}
}

// replayEarly takes the packets that came before the handover was whole.
func (e *Engine) replayEarly(now time.Time, s *route.Service, o *ownership) {
	early := o.early
	o.early = nil
	for _, kept := range early {
		var d packet.Decoder
		var p packet.Packet
		if d.DecodeInner(kept.inner, &p) != packet.Decoded {
			continue
		}
		m, err := Decode(p.Payload())
		if err != nil {
			continue
		}
		if kept.endpoint != 0 {
			e.takeAnswer(now, o, kept.endpoint, p.Tuple().Reverse(), m)
			continue
		}
		if _, class := e.view.Table.Lookup(route.ServiceKey{Addr: p.Tuple().Dst(), Transport: packet.UDP}); class != nil {
			e.take(now, s, o, class, p.Tuple(), m)
		}
	}
}
