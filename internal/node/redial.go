package node

import (
	"context"
	"net"
	"time"
)

const (
	// dialInterval is how soon an attempt at an address is followed by another one
	// beside it, while nobody is linked: a host without power says nothing, an
	// attempt that began before it is back is not answered, and it may be back
	// within a moment. Several times the round trip between failure domains.
	dialInterval = 40 * time.Millisecond
	// maxDialTimeout is how long attempts may take, for slow hosts.
	maxDialTimeout = 500 * time.Millisecond
	// minDialPause is the pause between two attempts at one address; while others are linked
	// it doubles with each, up to redialMost: many entries try an instance that refuses.
	minDialPause = 20 * time.Millisecond
	maxDialPause = 640 * time.Millisecond
)

type (
	// dialBackoff paces the attempts at one address.
	dialBackoff struct {
		timeout time.Duration // of the next attempt, 0 for dialEvery
		pause   time.Duration // after the last attempt, 0 before the first
	}

	// dialAttempt is one of several attempts beside each other.
	dialAttempt struct {
		dial    Dialer
		address string
		results chan<- dialResult
	}

	// dialResult is what came of an attempt.
	dialResult struct {
		conn net.Conn
		err  error
	}
)

// dial opens a connection. Where nobody else is linked, attempts overlap: the
// first one that is answered counts. Otherwise one is made, for twice as long as
// the one before.
func (r *dialBackoff) dial(ctx context.Context, dial Dialer, address string, isolated bool) (net.Conn, error) {
	if isolated {
		return dialOverlapping(ctx, dial, address)
	}
	if r.timeout == 0 {
		r.timeout = dialInterval
	}
	timeout := r.timeout
	r.timeout = min(2*r.timeout, maxDialTimeout)
	return dial(ctx, address, timeout)
}

// nextPause returns how long to wait after an attempt that failed, where nobody is linked or
// others are.
func (r *dialBackoff) nextPause(isolated bool) time.Duration {
	if isolated {
		r.pause = 0
		return minDialPause
	}
	r.pause = min(max(minDialPause, 2*r.pause), maxDialPause)
	return r.pause
}

// reset makes the next attempt a first one again.
func (r *dialBackoff) reset() { r.timeout, r.pause = 0, 0 }

// dialOverlapping makes attempts beside each other for dialMost in all.
func dialOverlapping(ctx context.Context, dial Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, maxDialTimeout)
	results := make(chan dialResult)
	pending := 0
	defer func() {
		cancel()
		go closeUnused(pending, func() net.Conn { return (<-results).conn })
	}()
	next := time.NewTicker(dialInterval)
	defer next.Stop()
	startAttempt := func() {
		pending++
		go dialAttempt{dial, address, results}.run(ctx)
	}
	startAttempt()
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				return result.conn, result.err // with nothing under way, the host is up and refuses
			}
		case <-next.C:
			if ctx.Err() == nil {
				startAttempt()
			}
		}
	}
}

// run makes the attempt and tells what came of it.
func (a dialAttempt) run(ctx context.Context) {
	conn, err := a.dial(ctx, a.address, maxDialTimeout)
	a.results <- dialResult{conn, err}
}

// closeUnused closes the connections of attempts that another one has overtaken.
func closeUnused(pending int, next func() net.Conn) {
	for range pending {
		if conn := next(); conn != nil {
			_ = conn.Close()
		}
	}
}
