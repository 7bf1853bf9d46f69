package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
)

// runLink connects to an address, again after each failure, until ctx is done. rootCtx
// is the parent context of all links.
func (m *linkManager) runLink(ctx, rootCtx context.Context, address string, link *managedLink) {
	var backoff dialBackoff
	for ctx.Err() == nil {
		err := m.serveLink(ctx, rootCtx, address, &backoff)
		if ctx.Err() != nil {
			return
		}
		m.markUnreachable(rootCtx, address, link)
		if fault.KindOf(err) == fault.Unreachable {
			time.Sleep(backoff.nextPause(!m.entry.linked()))
		}
	}
}

// serveLink connects to a control instance and handles its frames until the link fails.
func (m *linkManager) serveLink(ctx, rootCtx context.Context, address string, backoff *dialBackoff) error {
	raw, err := backoff.dial(ctx, m.entry.config.Dial, address, !m.entry.linked())
	if err != nil {
		return fault.Wrap(fault.Unreachable, err)
	}
	stream, done, err := openLink(ctx, raw)
	if err != nil {
		return err
	}
	defer done()
	backoff.reset()
	link := &entryLink{manager: m, address: address, stream: stream, finishLoad: func() {}}
	err = link.serve(ctx, rootCtx)
	link.finishLoad()
	if link.active {
		m.entry.removeSource(address)
	}
	m.setRoster(rootCtx, address, nil)
	if ctx.Err() == nil {
		m.entry.config.Log.Warn("control instance lost", "control", address, "error", err)
	}
	return err
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
