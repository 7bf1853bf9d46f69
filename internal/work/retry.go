package work

import (
	"time"

	"github.com/plgd-dev/go-coap/v3/message/codes"
)

// retryBudget allows retries as a share of first attempts, with a floor that
// is always allowed, so that retries cannot multiply the load.
type retryBudget struct {
	floor   float64 // a second
	balance float64
	last    time.Time
}

const mostRetries = 100 // that can be saved up

func newRetryBudget(floor float64) retryBudget { return retryBudget{floor: floor, balance: floor} }

// earn books a first attempt.
func (b *retryBudget) earn(share float64) { b.balance = min(b.balance+share, mostRetries) }

// spend takes one retry from the budget, if there is one.
func (b *retryBudget) spend(now time.Time) bool {
	if !b.last.IsZero() {
		b.balance = min(b.balance+b.floor*now.Sub(b.last).Seconds(), mostRetries)
	}
	b.last = now
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// isRefusal reports whether a backend server says that it did not run the
// request: 5.03 is sent before it begins.
func isRefusal(m Message) bool { return m.Code == codes.ServiceUnavailable }

// again tries a request on another endpoint. It is called only where the last
// attempt did not run, or the request may be repeated.
func (e *Engine) again(now time.Time, o *ownership, r *request, cause Cause) {
	another := false
	for _, c := range o.endpoints {
		another = another || e.may(r, c)
	}
	switch {
	case !now.Before(r.deadline):
		e.giveUp(now, o, r, DeadlinePassed)
	case !another:
		e.giveUp(now, o, r, cause)
	case !o.retries.spend(now):
		e.giveUp(now, o, r, NoRetryLeft)
	default:
		e.stats.Retries++
		e.step(o, r, Queued, cause, 0)
		o.queue.push(r)
	}
}

// giveUp says "not run" where every attempt was refused by its backend
// server, and "unknown" where one may have run.
func (e *Engine) giveUp(now time.Time, o *ownership, r *request, cause Cause) {
	if r.mayHaveRun {
		e.finish(o, r, Unknown, cause, UnknownMessage(r.message.Token, r.message.MessageID))
		return
	}
	e.refuse(now, o, r, cause)
}
