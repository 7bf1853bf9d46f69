package node

import (
	"context"
	"net"
	"time"
)

const (
	// dialEvery is how soon an attempt at an address is followed by another one
	// beside it, while nobody is linked: a host without power says nothing, an
	// attempt that began before it is back is not answered, and it may be back
	// within a moment. Several times the round trip between failure domains.
	dialEvery = 40 * time.Millisecond
	// dialMost is how long attempts may take, for slow hosts.
	dialMost = 500 * time.Millisecond
	// redialAfter is the pause between two attempts at one address; while others are linked
	// it doubles with each, up to redialMost: many entries try an instance that refuses.
	redialAfter = 20 * time.Millisecond
	redialMost  = 640 * time.Millisecond
)

type (
	// redial paces the attempts at one address.
	redial struct {
		timeout time.Duration // of the next attempt, 0 for dialEvery
		pause   time.Duration // after the last attempt, 0 before the first
	}

	// dialAttempt is one of several attempts beside each other.
	dialAttempt struct {
		dial    Dialer
		address string
		done    chan<- dialed
	}

	// dialed is what came of an attempt.
	dialed struct {
		conn net.Conn
		err  error
	}
)

// dial opens a connection. Where nobody else is linked, attempts overlap: the
// first one that is answered counts. Otherwise one is made, for twice as long as
// the one before.
func (r *redial) dial(ctx context.Context, dial Dialer, address string, alone bool) (net.Conn, error) {
	if alone {
		return dialOverlapping(ctx, dial, address)
	}
	if r.timeout == 0 {
		r.timeout = dialEvery
	}
	now := r.timeout
	r.timeout = min(2*r.timeout, dialMost)
	return dial(ctx, address, now)
}

// rest returns how long to wait after an attempt that failed, where nobody is linked or
// others are.
func (r *redial) rest(alone bool) time.Duration {
	if alone {
		r.pause = 0
		return redialAfter
	}
	r.pause = min(max(redialAfter, 2*r.pause), redialMost)
	return r.pause
}

// reached makes the next attempt a first one again.
func (r *redial) reached() { r.timeout, r.pause = 0, 0 }

// dialOverlapping makes attempts beside each other for dialMost in all.
func dialOverlapping(ctx context.Context, dial Dialer, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialMost)
	attempts := make(chan dialed)
	pending := 0
	defer func() {
		cancel()
		go closeLate(pending, func() net.Conn { return (<-attempts).conn })
	}()
	next := time.NewTicker(dialEvery)
	defer next.Stop()
	begin := func() {
		pending++
		go dialAttempt{dial, address, attempts}.run(ctx)
	}
	begin()
	for {
		select {
		case a := <-attempts:
			pending--
			if a.err == nil || pending == 0 {
				return a.conn, a.err // with nothing under way, the host is up and refuses
			}
		case <-next.C:
			if ctx.Err() == nil {
				begin()
			}
		}
	}
}

// run makes the attempt and tells what came of it.
func (a dialAttempt) run(ctx context.Context) {
	conn, err := a.dial(ctx, a.address, dialMost)
	a.done <- dialed{conn, err}
}

// closeLate closes the connections of attempts that another one has overtaken.
func closeLate(pending int, next func() net.Conn) {
	for range pending {
		if conn := next(); conn != nil {
			_ = conn.Close()
		}
	}
}
