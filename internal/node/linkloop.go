package node

import (
	"context"
	"net"
	"sync"
	"time"
)

// runLink connects to an address, again after each failure, until ctx is done. rootCtx
// is the parent context of all links.
func (m *linkManager) runLink(ctx, rootCtx context.Context, address string, link *managedLink) {
	for ctx.Err() == nil {
		pause := m.serveLink(ctx, rootCtx, address, link.backoff)
		if ctx.Err() != nil {
			return
		}
		m.markUnreachable(rootCtx, address, link)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// serveLink connects to a control instance and handles its frames until the link fails. It
// returns the pause before the next attempt.
func (m *linkManager) serveLink(ctx, rootCtx context.Context, address string, backoff *dialBackoff) (pause time.Duration) {
	raw, err := backoff.dial(ctx, m.entry.config.Dial, address, !m.entry.linked())
	if err != nil {
		return backoff.nextPause(!m.entry.linked())
	}
	carried, err := m.serveConn(ctx, rootCtx, address, raw)
	if ctx.Err() == nil {
		m.entry.config.Log.Warn("control instance lost", "control", address, "error", err)
	}
	return backoff.pauseAfterLink(carried, m.jitter())
}

// serveConn handles the frames of a control instance on a connection until the link fails.
// carried is the time from the connection to the last frame received, 0 if there was none.
func (m *linkManager) serveConn(ctx, rootCtx context.Context, address string, raw net.Conn) (carried time.Duration, err error) {
	stream, done, err := openLink(ctx, raw)
	if err != nil {
		return 0, err
	}
	defer done()
	link := &entryLink{manager: m, address: address, stream: stream, finishLoad: func() {}}
	connectedAt := m.entry.config.Now()
	err = link.serve(ctx, rootCtx)
	link.finishLoad()
	if link.active {
		m.entry.removeSource(address)
	}
	m.setRoster(rootCtx, address, nil)
	if link.lastFrameAt.IsZero() {
		return 0, err
	}
	return link.lastFrameAt.Sub(connectedAt), err
}

// acquireLoadSlot waits until no other link loads its initial endpoint list, so that the
// first load gets the full bandwidth and later ones transfer only the differences. It returns
// the function that releases the slot. The wait ends without the slot after
// maxLoadStartWait if the other load has not started, and after maxLoadWait in any case.
func (m *linkManager) acquireLoadSlot(ctx context.Context) (finish func()) {
	startDeadline, loadDeadline := time.After(maxLoadStartWait), time.After(maxLoadWait)
	for {
		select {
		case m.loadSlot <- struct{}{}:
			return sync.OnceFunc(func() {
				m.loadStarted.Store(false)
				<-m.loadSlot
			})
		case <-startDeadline:
			if !m.loadStarted.Load() {
				return func() {}
			}
		case <-loadDeadline:
			return func() {}
		case <-ctx.Done():
			return func() {}
		}
	}
}
