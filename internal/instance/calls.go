package instance

import (
	"context"
	"time"
)

// callQueue hands functions to the goroutine that owns some state, so that
// other goroutines read and change it without locks.
type callQueue chan func(now time.Time)

// call runs something on the owner's goroutine and waits for it.
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
