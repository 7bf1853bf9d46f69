package work

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// retryBudget limits retries to a share of first attempts plus a minimum rate, so that
// retries can't multiply the load.
type retryBudget struct {
	perSecond float64 // minimum rate of retries
	balance   float64
	updatedAt time.Time
}

const maxRetryBalance = 100 // retries that can accumulate

func newRetryBudget(rate float64) retryBudget { return retryBudget{perSecond: rate, balance: rate} }

// deposit adds the share of a retry that a first attempt allows.
func (b *retryBudget) deposit(share float64) { b.balance = min(b.balance+share, maxRetryBalance) }

// withdraw takes one retry from the budget and reports whether there was one.
func (b *retryBudget) withdraw(now time.Time) bool {
	if !b.updatedAt.IsZero() {
		b.balance = min(b.balance+b.perSecond*now.Sub(b.updatedAt).Seconds(), maxRetryBalance)
	}
	b.updatedAt = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// isRefusal reports whether the backend server refused the request without running
// it, by 5.03 (Service Unavailable).
func isRefusal(m Message) bool { return m.Code == codes.ServiceUnavailable }

// retry queues a request again, for another endpoint, if the deadline and the retry
// budget allow it. It must be called only if the last attempt hasn't run or the request
// is repeatable.
func (e *Engine) retry(now time.Time, o *ownership, r *request, cause Cause) {
	hasEndpoint := false
	for _, c := range o.endpoints {
		hasEndpoint = hasEndpoint || e.eligible(r, c)
	}
	switch {
	case !now.Before(r.deadline):
		e.giveUp(now, o, r, DeadlinePassed)
	case !hasEndpoint:
		e.giveUp(now, o, r, cause)
	case !o.retries.withdraw(now):
		e.giveUp(now, o, r, NoRetryLeft)
	default:
		e.stats.Retries++
		e.transition(o, r, Queued, cause, 0)
		o.queue.push(r)
	}
}

// giveUp answers "unknown" if an attempt may have run, and refuses the request
// otherwise.
func (e *Engine) giveUp(now time.Time, o *ownership, r *request, cause Cause) {
	if r.mayHaveRun {
		e.finish(o, r, Unknown, cause, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	e.refuse(now, o, r, cause)
}
