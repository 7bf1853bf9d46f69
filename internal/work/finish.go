package work

import (
	"slices"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/wire"
)

const maxTransfers = 4096

// refuse answers "not run" with a time to retry after, or "unknown" if it can't be
// excluded that the request has run.
func (e *Engine) refuse(now time.Time, o *ownership, r *request, cause Cause) {
	if r.mayHaveRun || r.openAttempt() != nil {
		e.stats.InvariantViolations++ // refuse must not be called for a request that may have run
		e.finish(o, r, Unknown, cause, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	if !now.Before(e.view.LeaseUntil) {
		// Another entry may own the service since the lease ended, and may have run
		// the request.
		e.finish(o, r, Unknown, LeaseLost, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	if r.repeatable() && (now.Before(o.uncertainUntil) || e.view.Table.Uncertain()) {
		// A lost owner or an isolated failure domain may have dispatched the request, and
		// the second holder stores no keys of repeatable requests.
		e.finish(o, r, Unknown, OwnerLost, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	lowestShare := e.view.Table.Service(o.service).Policy().LowestShare
	retryAfter := max(o.estimateWait(r.class.Priority, lowestShare), time.Second)
	e.finish(o, r, Refused, cause, NotRunMessage(r.message.Token, r.message.MessageID, retryAfter))
}

// finish sends a request's final answer and stores it for duplicates.
func (e *Engine) finish(o *ownership, r *request, s State, cause Cause, answer Message) {
	answer.Token = r.message.Token
	answer.Type = message.NonConfirmable
	answer.MessageID = r.message.MessageID
	r.answer = &answer
	e.transition(o, r, s, cause, 0)
	e.sendToClient(r.tuple, answer)
}

func (e *Engine) sendToClient(client packet.Tuple, m Message) {
	inner, err := buildPacket(client.Reverse(), m)
	if err != nil {
		e.stats.Overflow++
		return
	}
	o := Output{Kind: ToClient, Inner: inner}
	if m.Code == codes.ServiceUnavailable && !e.view.Isolated {
		o.ExpiresAt = e.view.LeaseUntil
	}
	e.out = append(e.out, o)
}

// cancel ends the request with the given message ID of a client and sends a
// cancellation to its backend server.
func (e *Engine) cancel(now time.Time, o *ownership, tuple packet.Tuple, id int32) {
	r := o.requests[o.byMessage[messageKey{e.config.Hasher.Flow(tuple), id}]]
	if r == nil || r.state.final() {
		return
	}
	if r.state == Queued {
		o.queue.remove(r)
	}
	e.abandonAttempt(o, r)
	e.transition(o, r, Cancelled, ClientCancelled, 0)
	e.dispatch(now, o)
}

// abandonAttempt gives up on the open attempt, frees its slot and sends a
// cancellation to the backend server.
func (e *Engine) abandonAttempt(o *ownership, r *request) {
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
	if inner, err := buildPacket(r.tuple, CancelMessage(a.messageID)); err == nil {
		e.out = append(e.out, Output{Kind: ToBackend, Endpoint: endpoint, Inner: inner})
	}
}

// Tick runs the engine's timers.
func (e *Engine) Tick(now time.Time) {
	e.dirty = true
	for _, o := range e.sortedOwnerships() {
		e.tickOwnership(now, o)
	}
	for id, k := range e.keptKeys {
		k.expire(now)
		if len(k.keys) == 0 && e.view.Table.Service(id) == nil {
			delete(e.keptKeys, id)
		}
	}
}

func (e *Engine) tickOwnership(now time.Time, o *ownership) {
	if o.phase == waiting && !now.Before(o.nextWanted) {
		o.nextWanted = now.Add(e.config.HoldRetryInterval)
		e.sendToPeer(o.formerOwner, &wire.Peer{Body: &wire.Peer_Wanted{Wanted: &wire.Wanted{Service: o.service, Index: o.index}}})
	}
	if o.interimOwner != "" && e.isMember(o.interimOwner) && !now.Before(o.nextWanted) {
		o.nextWanted = now.Add(e.config.HoldRetryInterval)
		e.sendToPeer(o.interimOwner, &wire.Peer{Body: &wire.Peer_Wanted{Wanted: &wire.Wanted{Service: o.service, Index: o.index}}})
	}
	switch {
	case o.handover != nil && !e.isMember(o.handover.to):
		e.abandonHandover(o)
	case o.handover != nil:
		e.runHandover(now, o)
	case e.unfetched(now, o):
		e.finishUnfetched(now, o)
	}
	if o.phase == serving {
		e.updateSecond(o)
		e.resendHolds(now, o)
		e.expireRequests(now, o)
		e.dispatch(now, o)
	}
	o.expire(now)
}

// expireRequests finishes requests whose deadline has passed, and retries repeatable
// ones whose attempt has timed out.
func (e *Engine) expireRequests(now time.Time, o *ownership) {
	for _, r := range slices.Clone(o.active) {
		a := r.openAttempt()
		switch {
		case r.state != Dispatched && !now.Before(r.deadline):
			if r.state == Queued {
				o.queue.remove(r)
			}
			e.giveUp(now, o, r, DeadlinePassed)
		case r.state == Dispatched && !now.Before(r.deadline):
			e.abandonAttempt(o, r)
			e.finish(o, r, Unknown, DeadlinePassed, UnknownMessage(r.message.Token, r.message.MessageID))
		case r.state == Dispatched && a != nil && !now.Before(a.timeoutAt) && r.repeatable():
			e.abandonAttempt(o, r)
			e.retry(now, o, r, DeadlinePassed)
		}
	}
}

// expire forgets requests and transfers that have expired. Above maxTransfers, arbitrary
// transfers are forgotten too.
func (o *ownership) expire(now time.Time) {
	for len(o.expiry) > 0 && now.After(o.expiry[0].expires) {
		r := o.expiry[0]
		if !r.state.final() {
			break // not answered yet
		}
		o.expiry = o.expiry[1:]
		delete(o.requests, r.id)
		delete(o.unconfirmed, r.id)
		if o.byMessage[r.key] == r.id {
			delete(o.byMessage, r.key)
		}
	}
	for key, t := range o.transfers {
		if now.After(t.expires) || len(o.transfers) > maxTransfers {
			delete(o.transfers, key)
		}
	}
}
