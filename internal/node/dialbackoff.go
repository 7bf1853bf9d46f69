package node

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	// dialInterval is the time between overlapping attempts while no link is active. A host
	// that is still starting does not respond to an attempt made before it was up, so only a
	// new attempt reaches it quickly. The interval covers several round trips between failure
	// domains.
	dialInterval = 40 * time.Millisecond
	// maxDialTimeout bounds the timeout of an attempt; it allows for slow hosts.
	maxDialTimeout = 500 * time.Millisecond
	// minDialPause is the pause between two attempts at one address. While other links are
	// active, it doubles with each attempt up to maxDialPause, so that many entries do not
	// overload an instance that refuses connections.
	minDialPause = 20 * time.Millisecond
	maxDialPause = 640 * time.Millisecond
	// stableLinkAge is for how long a link must have carried frames before its end counts as a
	// new failure, after which the instance is dialled at once. It covers two rosters.
	stableLinkAge = time.Second
	// The pause after a link that ended sooner is between half of a maximum and all of it. The
	// maximum grows from minDialPause by shortLinkPauseGrowth up to maxShortLinkPause, also while
	// no link is active: an instance that accepts connections and closes them at once is dialled by
	// an entry 3 times in the first second, and then at most every 1.28 s. That makes less than
	// 1,000 attempts a second by 985 entries.
	shortLinkPauseGrowth = 16
	maxShortLinkPause    = 2560 * time.Millisecond
)

type (
	// dialBackoff determines timeouts and pauses of the attempts at one address. It is safe for
	// concurrent use, since a link to an address may begin before the previous one has ended.
	dialBackoff struct {
		mu             sync.Mutex
		timeout        time.Duration // of the next attempt, 0 for dialInterval
		pause          time.Duration // after the last attempt that failed, 0 before the first
		shortLinkPause time.Duration // maximum after the last link that ended early, 0 before the first
	}

	// dialAttempt is one of several overlapping attempts.
	dialAttempt struct {
		dial    Dialer
		address string
		results chan<- dialResult
	}

	// dialResult is the result of an attempt.
	dialResult struct {
		conn net.Conn
		err  error
	}
)

// dial opens a connection. If isolated, that is while no link is active, it makes overlapping
// attempts and returns the first connection. Otherwise it makes a single attempt with twice
// the timeout of the previous one.
func (b *dialBackoff) dial(ctx context.Context, dial Dialer, address string, isolated bool) (net.Conn, error) {
	if isolated {
		return dialOverlapping(ctx, dial, address)
	}
	return dial(ctx, address, b.nextTimeout())
}

// nextTimeout returns the timeout of the next attempt.
func (b *dialBackoff) nextTimeout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	timeout := max(b.timeout, dialInterval)
	b.timeout = min(2*timeout, maxDialTimeout)
	return timeout
}

// nextPause returns the pause after a failed attempt. isolated is as for dial.
func (b *dialBackoff) nextPause(isolated bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if isolated {
		b.pause = 0
		return minDialPause
	}
	b.pause = min(max(minDialPause, 2*b.pause), maxDialPause)
	return b.pause
}

// pauseAfterLink returns the pause after the end of a link that carried frames for the given
// time: none after a stable link, which restarts the backoff. jitter is in [0, 1).
func (b *dialBackoff) pauseAfterLink(carried time.Duration, jitter float64) time.Duration {
	if carried >= stableLinkAge {
		b.reset()
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shortLinkPause = min(max(minDialPause, shortLinkPauseGrowth*b.shortLinkPause), maxShortLinkPause)
	half := b.shortLinkPause / 2
	return half + time.Duration(jitter*float64(half))
}

// reset restarts the backoff after a success.
func (b *dialBackoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.timeout, b.pause, b.shortLinkPause = 0, 0, 0
}

// dialOverlapping makes overlapping attempts for at most maxDialTimeout in total.
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
			// A failure with no other attempt pending means that the host is up and refuses
			// connections.
			if result.err == nil || pending == 0 {
				return result.conn, result.err
			}
		case <-next.C:
			if ctx.Err() == nil {
				startAttempt()
			}
		}
	}
}

// run makes the attempt and reports its result.
func (a dialAttempt) run(ctx context.Context) {
	conn, err := a.dial(ctx, a.address, maxDialTimeout)
	a.results <- dialResult{conn, err}
}

// closeUnused closes the connections of pending attempts after another attempt has succeeded.
func closeUnused(pending int, next func() net.Conn) {
	for range pending {
		if conn := next(); conn != nil {
			_ = conn.Close()
		}
	}
}
