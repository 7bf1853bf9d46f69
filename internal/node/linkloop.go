package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
)

// maintainLink keeps the link to one address up until ctx ends; all is the context of
// every link, which ends later.
func (w *linkManager) maintainLink(ctx, rootCtx context.Context, address string, link *managedLink) {
	var backoff redial
	for ctx.Err() == nil {
		err := w.serveLink(ctx, rootCtx, address, &backoff)
		if ctx.Err() != nil {
			return
		}
		w.markUnreachable(rootCtx, address, link)
		if fault.KindOf(err) == fault.Unreachable {
			time.Sleep(backoff.rest(!w.entry.linked()))
		}
	}
}

// serveLink takes what a control instance sends until the link fails.
func (w *linkManager) serveLink(ctx, rootCtx context.Context, address string, backoff *redial) error {
	raw, err := backoff.dial(ctx, w.entry.config.Dial, address, !w.entry.linked())
	if err != nil {
		return fault.Wrap(fault.Unreachable, err)
	}
	stream, done, err := openLink(ctx, raw)
	if err != nil {
		return err
	}
	defer done()
	backoff.reached()
	link := &entryLink{manager: w, address: address, stream: stream, finishLoad: func() {}}
	err = link.serve(ctx, rootCtx)
	link.finishLoad()
	if link.active {
		w.entry.forget(address)
	}
	w.setRoster(rootCtx, address, nil)
	if ctx.Err() == nil {
		w.entry.config.Log.Warn("control instance lost", "control", address, "error", err)
	}
	return err
}

// acquireLoadSlot lets links load their first table one after the other, so that the
// first one is not held up by the others on a small link, and what it brought need
// not come again. It returns what gives the turn on; nobody waits for longer than
// turnMost for one that has not begun, or than turnLoads.
func (w *linkManager) acquireLoadSlot(ctx context.Context) (finish func()) {
	startDeadline, loadDeadline := time.After(maxLoadStartWait), time.After(maxLoadWait)
	for {
		select {
		case w.loadSlot <- struct{}{}:
			return sync.OnceFunc(func() {
				w.loadStarted.Store(false)
				<-w.loadSlot
			})
		case <-startDeadline:
			if !w.loadStarted.Load() {
				return func() {}
			}
		case <-loadDeadline:
			return func() {}
		case <-ctx.Done():
			return func() {}
		}
	}
}
