package instance

import (
	"context"
	"time"
)

// callQueue passes functions to the goroutine that owns some state, so that other
// goroutines can access the state without locks.
type callQueue chan func(now time.Time)

// call runs f on the owner's goroutine and waits for it to return. If the context ends
// first, f may still run.
func (q callQueue) call(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	select {
	case q <- func(now time.Time) { f(now); close(done) }:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
