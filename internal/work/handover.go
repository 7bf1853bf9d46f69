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

// maxUnackedHandovers is the maximum number of unacknowledged requests on their way
// to a new owner.
const maxUnackedHandovers = 64

// outgoingHandover is the progress of a handover to a new owner.
type outgoingHandover struct {
	to       string
	unsent   []*request
	unacked  map[uint64]*wire.Handover
	resendAt time.Time
	lastSent bool
}

// HandlePeer processes a message from another entry.
func (e *Engine) HandlePeer(now time.Time, m *wire.Peer) {
	e.dirty = true
	switch body := m.Body.(type) {
	case *wire.Peer_Hold:
		e.handleHold(now, m.From, body.Hold)
	case *wire.Peer_Held:
		e.handleHeld(now, m.From, body.Held)
	case *wire.Peer_Wanted:
		e.handleWanted(now, m.From, body.Wanted)
	case *wire.Peer_Handover:
		e.handleHandover(now, m.From, body.Handover)
	case *wire.Peer_HandedOver:
		e.handleHandedOver(now, m.From, body.HandedOver)
	}
}

// handleWanted starts the handover that a new owner asks for. The message is ignored
// until this entry has applied the same table, as it may still dispatch before.
func (e *Engine) handleWanted(now time.Time, from string, w *wire.Wanted) {
	if e.view.Table.Index() < w.Index {
		return
	}
	owner, _ := e.view.rank(w.Service)
	o := e.owned[w.Service]
	if owner == e.config.Self || o != nil && o.phase == waiting {
		return // the peer's table is outdated, or this entry waits for a handover itself
	}
	if o != nil && o.handover != nil && o.handover.to == from {
		return
	}
	if o == nil || o.handedOff {
		e.replyKeysUnknown(from, w.Service)
		return
	}
	o.handedOff = true
	o.handover = &outgoingHandover{to: from, unacked: map[uint64]*wire.Handover{}}
	for _, id := range slices.SortedFunc(maps.Keys(o.requests), compareIDs) {
		o.handover.unsent = append(o.handover.unsent, o.requests[id])
	}
	e.runHandover(now, o)
}

// replyKeysUnknown reports to a new owner that this entry has no requests to hand over,
// because it didn't own the service or has handed it over already. The new owner
// then can't distinguish old requests from new ones for Policy.RequestLife.
func (e *Engine) replyKeysUnknown(to string, service uint32) {
	s := e.view.Table.Service(service)
	if s == nil {
		return
	}
	e.sequence++
	e.sendToPeer(to, &wire.Peer{Body: &wire.Peer_Handover{Handover: &wire.Handover{
		Service: service, Sequence: e.sequence, Last: true, BlankNanos: int64(s.Policy().RequestLife), DoubtNanos: int64(s.Policy().RequestLife),
	}}})
}

func compareIDs(a, b route.FlowID) int {
	return cmp.Or(cmp.Compare(a.High, b.High), cmp.Compare(a.Low, b.Low))
}

func (e *Engine) runHandover(now time.Time, o *ownership) {
	h := o.handover
	if !h.resendAt.IsZero() && !now.Before(h.resendAt) {
		for _, sequence := range slices.Sorted(maps.Keys(h.unacked)) {
			e.sendToPeer(h.to, &wire.Peer{Body: &wire.Peer_Handover{Handover: h.unacked[sequence]}})
		}
		h.resendAt = now.Add(e.config.HoldRetryInterval)
	}
	for len(h.unsent) > 0 && len(h.unacked) < maxUnackedHandovers {
		e.sendHandover(now, h, e.encodeRequest(now, o, h.unsent[0]))
		h.unsent = h.unsent[1:]
	}
	if len(h.unsent) == 0 && len(h.unacked) == 0 && !h.lastSent {
		h.lastSent = true
		e.sendHandover(now, h, &wire.Handover{Service: o.service, Last: true, BlankNanos: int64(max(o.keysUnknownUntil.Sub(now), 0)), DoubtNanos: int64(max(o.uncertainUntil.Sub(now), 0))})
	}
}

func (e *Engine) sendHandover(now time.Time, h *outgoingHandover, m *wire.Handover) {
	e.sequence++
	m.Sequence = e.sequence
	h.unacked[m.Sequence] = m
	h.resendAt = now.Add(e.config.HoldRetryInterval)
	e.sendToPeer(h.to, &wire.Peer{Body: &wire.Peer_Handover{Handover: m}})
}

func (e *Engine) encodeRequest(now time.Time, o *ownership, r *request) *wire.Handover {
	m := &wire.Handover{
		Service: o.service, State: uint32(r.state), MayHaveRun: r.mayHaveRun, DeadlineNanos: int64(r.deadline.Sub(now)),
		Key: &wire.HeldKey{High: r.id.High, Low: r.id.Low, LifeNanos: int64(r.expires.Sub(now))},
	}
	if r.message.Code != 0 {
		if inner, err := buildPacket(r.tuple, r.message); err == nil {
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
		m.Endpoint = r.attempts[n-1].endpoint // later blocks of the answer come from there
	}
	return m
}

func (e *Engine) handleHandedOver(now time.Time, from string, h *wire.HandedOver) {
	o := e.owned[h.Service]
	if o == nil || o.handover == nil || o.handover.to != from {
		return
	}
	delete(o.handover.unacked, h.Sequence)
	if o.handover.lastSent && len(o.handover.unacked) == 0 {
		o.handover = nil
		if o.phase == former {
			e.drop(o)
		}
		return
	}
	e.runHandover(now, o)
}

// DescribeOwnerships returns a summary of this entry's ownerships for the log.
func (e *Engine) DescribeOwnerships() string {
	var text strings.Builder
	for _, o := range e.sortedOwnerships() {
		fmt.Fprintf(&text, "%d:%s before=%s gave=%v requests=%d;", o.service, [...]string{"waiting", "serving", "former"}[o.phase], o.formerOwner, o.handedOff, len(o.requests))
	}
	return text.String()
}

// handleHandover takes over one request, or starts serving after the last message.
func (e *Engine) handleHandover(now time.Time, from string, h *wire.Handover) {
	e.sendToPeer(from, &wire.Peer{Body: &wire.Peer_HandedOver{HandedOver: &wire.HandedOver{Service: h.Service, Sequence: h.Sequence}}})
	o := e.owned[h.Service]
	s := e.view.Table.Service(h.Service)
	if o != nil && h.Last && from == o.interimOwner {
		o.interimOwner = ""
	}
	if o == nil || s == nil || o.phase != waiting || o.formerOwner != from {
		return
	}
	if !h.Last {
		e.restoreRequest(now, s, o, h)
		return
	}
	e.endWait(now, o)
	if keysUnknownUntil := now.Add(time.Duration(h.BlankNanos)); h.BlankNanos > 0 && keysUnknownUntil.After(o.keysUnknownUntil) {
		o.keysUnknownUntil = keysUnknownUntil
	}
	if uncertainUntil := now.Add(time.Duration(h.DoubtNanos)); h.DoubtNanos > 0 && uncertainUntil.After(o.uncertainUntil) {
		o.uncertainUntil = uncertainUntil
	}
	e.updateSecond(o)
	e.replayEarly(now, s, o)
	e.dispatch(now, o)
}

// restoreRequest adds a request of the former owner. A queued request is queued
// again, and a dispatched one occupies its slot.
func (e *Engine) restoreRequest(now time.Time, s *route.Service, o *ownership, h *wire.Handover) {
	id := route.FlowID{High: h.Key.High, Low: h.Key.Low}
	if _, known := o.requests[id]; known {
		return
	}
	r := &request{
		id: id, state: State(h.State), received: now, keyHeld: true, mayHaveRun: h.MayHaveRun,
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
		e.pinTransfer(now, o, r, h.Endpoint, *r.answer)
	}
	switch r.state {
	case Received, Queued:
		e.transition(o, r, Queued, HandedOver, 0)
		o.queue.push(r)
	case Dispatched:
		if endpoint := e.view.Table.Endpoint(h.Endpoint); endpoint != nil && endpoint.Service() == s.ID() {
			o.grants.take(endpoint)
		}
		r.attempts = []attempt{{endpoint: h.Endpoint, messageID: int32(h.MessageId), sentAt: now, timeoutAt: r.deadline, open: true}}
	}
}

// replayEarly processes the packets that arrived before the handover was complete.
func (e *Engine) replayEarly(now time.Time, s *route.Service, o *ownership) {
	early := o.earlyPackets
	o.earlyPackets = nil
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
			e.matchAnswer(now, o, kept.endpoint, p.Tuple().Reverse(), m)
			continue
		}
		if _, class := e.view.Table.Lookup(route.ServiceKey{Addr: p.Tuple().Dst(), Transport: packet.UDP}); class != nil {
			e.handleClient(now, s, o, class, p.Tuple(), m)
		}
	}
}
