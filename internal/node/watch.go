package node

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// watchMost is how many control instances an entry watches at once.
const watchMost = 7

// watch keeps links from an entry to the control instances: whichever can be
// reached tells what is in force, so that no single one can hold news back.
type watch struct {
	entry *Entry

	mu    sync.Mutex
	seeds []string
	links map[string]context.CancelFunc // by address
}

func newWatch(e *Entry) *watch { return &watch{entry: e, links: map[string]context.CancelFunc{}} }

// setSeeds takes the addresses that the settings name now.
func (w *watch) setSeeds(ctx context.Context, seeds []netip.AddrPort) {
	w.mu.Lock()
	w.seeds = nil
	for _, s := range seeds {
		w.seeds = append(w.seeds, s.String())
	}
	w.mu.Unlock()
	w.connect(ctx, nil)
}

// connect keeps links to the seeds and to those that a roster lists; others
// end once a roster has come.
func (w *watch) connect(ctx context.Context, listed []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	wanted := map[string]bool{}
	for _, address := range append(listed, w.seeds...) {
		if len(wanted) == watchMost {
			break
		}
		wanted[address] = true
		if w.links[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			w.links[address] = cancel
			go w.run(linkCtx, ctx, address)
		}
	}
	for address, cancel := range w.links {
		if listed != nil && !wanted[address] {
			cancel()
			delete(w.links, address)
		}
	}
}

// run keeps the link to one address up until its context ends.
func (w *watch) run(ctx, all context.Context, address string) {
	var pace redial
	for ctx.Err() == nil {
		err := w.follow(ctx, all, address, &pace)
		if ctx.Err() == nil && fault.KindOf(err) == fault.Unreachable {
			time.Sleep(redialAfter)
		}
	}
}

// follow takes what a control instance sends until the link fails.
func (w *watch) follow(ctx, all context.Context, address string, pace *redial) error {
	stream, done, err := dialLink(ctx, address, pace.next(), &wire.Hello{Id: w.entry.config.Name})
	if err != nil {
		return err
	}
	defer done()
	pace.reached()
	w.entry.config.Log.Info("control instance reached", "control", address)
	for {
		frame, err := stream.Recv()
		if err != nil {
			w.entry.forget(address)
			w.entry.config.Log.Warn("control instance lost", "control", address, "error", err)
			return err
		}
		w.take(all, address, frame)
		if frame.GetRoster() != nil {
			// Shows the control instance that somebody still listens.
			if err := stream.Send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: &wire.Receipt{}}}); err != nil {
				return err
			}
		}
	}
}

func (w *watch) take(ctx context.Context, address string, frame *wire.Frame) {
	switch body := frame.Body.(type) {
	case *wire.Frame_Document:
		w.entry.takeDocument(body.Document)
	case *wire.Frame_Reports:
		w.entry.takeReports(address, body.Reports)
	case *wire.Frame_Roster:
		listed := make([]string, 0, len(body.Roster.Instances))
		for _, c := range body.Roster.Instances {
			listed = append(listed, c.Address)
		}
		w.connect(ctx, listed)
	}
}
