package work

import (
	"slices"
	"time"
)

// unfetched reports whether this entry is a former owner whose requests no new owner has asked
// for within Config.MaxPacketDelay. A new owner that knows its predecessor asks for them every
// Config.HoldRetryInterval, so none will. That happens when the new owner has replaced an earlier
// incarnation of itself, or when an owner in between was lost: neither knows its predecessor.
func (e *Engine) unfetched(now time.Time, o *ownership) bool {
	return o.phase == former && o.handover == nil && !o.handedOff && now.Sub(o.unfetchedSince) >= e.config.MaxPacketDelay
}

// finishUnfetched tells the clients of unfetched requests that these may have run: at once in a
// planned stop, and otherwise at their deadline, since this entry may become the owner again.
func (e *Engine) finishUnfetched(now time.Time, o *ownership) {
	self, _ := e.view.Table.Member(e.config.Self)
	for _, r := range slices.Clone(o.active) {
		if self.Leaving() || !now.Before(r.deadline) {
			e.finishUnknown(o, r)
		}
	}
}

// abandonHandover ends a handover to a lost entry. The next owner cannot tell which requests have
// run, so none of them is handed over again, and their clients are told that they may have run.
func (e *Engine) abandonHandover(o *ownership) {
	o.handover = nil
	for _, r := range slices.Clone(o.active) {
		e.finishUnknown(o, r)
	}
	if o.phase == former {
		e.drop(o)
	}
}

// finishUnknown finishes a request that another entry may have run.
func (e *Engine) finishUnknown(o *ownership, r *request) {
	if r.state == Queued {
		o.queue.remove(r)
	}
	e.abandonAttempt(o, r)
	e.finish(o, r, Unknown, OwnerLost, UnknownMessage(r.message.Token, r.message.MessageID))
}

// HandoverPending reports whether this entry still owns a service or has requests to
// hand over, which delays a planned stop. Unfetched requests do not count once all are finished.
func (e *Engine) HandoverPending(now time.Time) bool {
	for _, o := range e.owned {
		if !e.unfetched(now, o) || len(o.active) > 0 {
			return true
		}
	}
	return false
}
