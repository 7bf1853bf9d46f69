package work

import (
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/wire"
)

const mostTransfers = 4096

// refuse gives a request that was not run its final answer at once, with when
// to come back.
func (e *Engine) refuse(now time.Time, o *ownership, r *request, cause Cause) {
	if r.mayHaveRun || r.openAttempt() != nil {
		e.stats.Broken++ // asserted: "not run" is said only while it is provable
		e.finish(o, r, Unknown, cause, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	if !now.Before(e.view.LeaseUntil) {
		// Another owner may have run it since this one's lease ran out, or on
		// the other side of a cut.
		e.finish(o, r, Unknown, LeaseLost, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	if r.repeatable() && (now.Before(o.doubtUntil) || e.view.Table.Uncertain()) {
		// A lost owner or a domain that is cut off may have dispatched it;
		// nobody holds keys of such requests.
		e.finish(o, r, Unknown, OwnerLost, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	floor := e.view.Table.Service(o.service).Policy().LowestShare
	again := max(o.wait(r.class.Priority, floor), time.Second)
	e.finish(o, r, Refused, cause, NotRunMessage(r.message.Token, r.message.MessageID, again))
}

// finish gives a request its final answer and keeps it for repetitions.
func (e *Engine) finish(o *ownership, r *request, s State, cause Cause, answer Message) {
	answer.Token = r.message.Token
	answer.Type = message.NonConfirmable
	answer.MessageID = r.message.MessageID
	r.answer = &answer
	e.step(o, r, s, cause, 0)
	e.toCaller(r.tuple, answer)
}

func (e *Engine) toCaller(caller packet.Tuple, m Message) {
	inner, err := wrap(caller.Reverse(), m)
	if err != nil {
		e.stats.Overflow++
		return
	}
	o := Out{Kind: ToCaller, Inner: inner}
	if m.Code == codes.ServiceUnavailable && !e.view.Island {
		o.Until = e.view.LeaseUntil
	}
	e.out = append(e.out, o)
}

// cancel ends a request by its caller's word: its slot is free at once, and
// the backend server is told.
func (e *Engine) cancel(now time.Time, o *ownership, tuple packet.Tuple, id int32) {
	r := o.requests[o.byMessage[messageKey{e.config.Hasher.Flow(tuple), id}]]
	if r == nil || r.state.final() {
		return
	}
	if r.state == Queued {
		o.queue.remove(r)
	}
	e.abandon(o, r)
	e.step(o, r, Cancelled, CallerCancelled, 0)
	e.dispatch(now, o)
}

// abandon closes the open attempt and tells its backend server.
func (e *Engine) abandon(o *ownership, r *request) {
	a := r.openAttempt()
	if a == nil {
		return
	}
	a.open = false
	r.mayHaveRun = true
	o.grants.release(a.endpoint)
	endpoint := e.view.Table.Endpoint(a.endpoint)
	if endpoint == nil {
		return
	}
	if inner, err := wrap(r.tuple, CancelMessage(a.messageID)); err == nil {
		e.out = append(e.out, Out{Kind: ToBackend, Endpoint: endpoint, Inner: inner})
	}
}

// Tick does what is due.
func (e *Engine) Tick(now time.Time) {
	e.touched = true
	for _, o := range e.inOrder() {
		e.tickOwned(now, o)
	}
	for id, k := range e.kept {
		k.expire(now)
		if len(k.keys) == 0 && e.view.Table.Service(id) == nil {
			delete(e.kept, id)
		}
	}
}

func (e *Engine) tickOwned(now time.Time, o *ownership) {
	if o.phase == waiting && !now.Before(o.wantedAt) {
		o.wantedAt = now.Add(e.config.HoldRetry)
		e.peer(o.before, &wire.Peer{Body: &wire.Peer_Wanted{Wanted: &wire.Wanted{Service: o.service, Index: o.index}}})
	}
	if o.absorb != "" && e.lives(o.absorb) && !now.Before(o.wantedAt) {
		o.wantedAt = now.Add(e.config.HoldRetry)
		e.peer(o.absorb, &wire.Peer{Body: &wire.Peer_Wanted{Wanted: &wire.Wanted{Service: o.service, Index: o.index}}})
	}
	if o.handover != nil {
		e.runHandover(now, o)
	}
	if o.phase == serving {
		e.chooseSecond(o)
		e.resendHolds(now, o)
		e.expireActive(now, o)
		e.dispatch(now, o)
	}
	o.expire(now)
}

// expireActive ends what has run out of time.
func (e *Engine) expireActive(now time.Time, o *ownership) {
	for _, r := range slices.Clone(o.active) {
		a := r.openAttempt()
		switch {
		case r.state != Dispatched && !now.Before(r.deadline):
			if r.state == Queued {
				o.queue.remove(r)
			}
			e.giveUp(now, o, r, DeadlinePassed)
		case r.state == Dispatched && !now.Before(r.deadline):
			e.abandon(o, r)
			e.finish(o, r, Unknown, DeadlinePassed, UnknownMessage(r.message.Token, r.message.MessageID))
		case r.state == Dispatched && a != nil && !now.Before(a.until) && r.repeatable():
			e.abandon(o, r)
			e.again(now, o, r, DeadlinePassed)
		}
	}
}

// expire forgets requests after their longest life.
func (o *ownership) expire(now time.Time) {
	for len(o.expiry) > 0 && now.After(o.expiry[0].expires) {
		r := o.expiry[0]
		if !r.state.final() {
			break // its final answer comes first
		}
		o.expiry = o.expiry[1:]
		delete(o.requests, r.id)
		delete(o.unheld, r.id)
		if o.byMessage[r.key] == r.id {
			delete(o.byMessage, r.key)
		}
	}
	for key, t := range o.transfers {
		if now.After(t.until) || len(o.transfers) > mostTransfers {
			delete(o.transfers, key)
		}
	}
}
