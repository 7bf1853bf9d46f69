package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
)

// run keeps the link to one address up until ctx ends; all is the context of
// every link, which ends later.
func (w *watch) run(ctx, all context.Context, address string, link *watched) {
	var pace redial
	for ctx.Err() == nil {
		err := w.follow(ctx, all, address, &pace)
		if ctx.Err() != nil {
			return
		}
		w.fail(all, address, link)
		if fault.KindOf(err) == fault.Unreachable {
			time.Sleep(pace.rest(!w.entry.linked()))
		}
	}
}

// follow takes what a control instance sends until the link fails.
func (w *watch) follow(ctx, all context.Context, address string, pace *redial) error {
	raw, err := pace.dial(ctx, w.entry.config.Dial, address, !w.entry.linked())
	if err != nil {
		return fault.Wrap(fault.Unreachable, err)
	}
	stream, done, err := openLink(ctx, raw)
	if err != nil {
		return err
	}
	defer done()
	pace.reached()
	link := &entryLink{watch: w, address: address, stream: stream, loaded: func() {}}
	err = link.serve(ctx, all)
	link.loaded()
	if link.used {
		w.entry.forget(address)
	}
	w.takeRoster(all, address, nil)
	if ctx.Err() == nil {
		w.entry.config.Log.Warn("control instance lost", "control", address, "error", err)
	}
	return err
}

// awaitTurn lets links load their first table one after the other, so that the
// first one is not held up by the others on a small link, and what it brought need
// not come again. It returns what gives the turn on; nobody waits for longer than
// turnMost for one that has not begun, or than turnLoads.
func (w *watch) awaitTurn(ctx context.Context) (loaded func()) {
	begun, last := time.After(turnMost), time.After(turnLoads)
	for {
		select {
		case w.turn <- struct{}{}:
			return sync.OnceFunc(func() {
				w.loading.Store(false)
				<-w.turn
			})
		case <-begun:
			if !w.loading.Load() {
				return func() {}
			}
		case <-last:
			return func() {}
		case <-ctx.Done():
			return func() {}
		}
	}
}
