package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

// entryLink is the link of an entry to one control instance. The instance sends rosters
// from the start, and everything else once the link is active.
type entryLink struct {
	manager *linkManager
	address string
	stream  wire.DRPCDirectory_LinkClient
	sendMu  sync.Mutex

	// Used by the goroutine of serve only.
	active     bool
	rosterSeen bool   // at least one roster has been received
	finishLoad func() // releases the load slot once the endpoint list has been received

	lastFrameAt time.Time // zero before the first
}

// serve sends a hello and handles frames until the link fails or ctx is done; rootCtx is
// the parent context of all links.
func (l *entryLink) serve(ctx, rootCtx context.Context) error {
	entry := l.manager.entry
	hello := &wire.Hello{Id: entry.config.Name, Domain: entry.config.Domain}
	if entry.config.OperatorAddr.IsValid() {
		hello.Announce = entry.config.OperatorAddr.String()
	}
	if err := l.send(helloFrame(hello)); err != nil {
		return err
	}
	for {
		frame, err := l.stream.Recv()
		if err == nil {
			frame, err = decompressFrame(frame)
		}
		if err != nil {
			return err
		}
		l.lastFrameAt = entry.config.Now()
		if err := l.handleFrame(ctx, rootCtx, frame); err != nil {
			return err
		}
	}
}

// activate subscribes to the control instance if the link manager selects this link.
func (l *entryLink) activate(ctx, rootCtx context.Context) error {
	rosterSeen := l.rosterSeen
	l.rosterSeen = true
	if l.active || !l.manager.activate(ctx, rootCtx, l.address, rosterSeen) {
		return nil
	}
	l.active = true
	entry := l.manager.entry
	entry.config.Log.Info("control instance reached", "control", l.address)
	l.finishLoad = l.manager.acquireLoadSlot(ctx)
	return entry.addLink(l)
}

// send sends one frame. It is safe for concurrent use.
func (l *entryLink) send(frame *wire.Frame) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(frame)
}

// subscribe subscribes to every change of endpoints, or, if brief, to summaries only.
func (l *entryLink) subscribe(brief bool) error {
	digest := l.manager.entry.digest()
	return l.send(&wire.Frame{Body: &wire.Frame_Subscription{Subscription: &wire.Subscription{Brief: brief, Digest: digest[:]}}})
}

// handleFrame dispatches one received frame.
func (l *entryLink) handleFrame(ctx, rootCtx context.Context, frame *wire.Frame) error {
	entry := l.manager.entry
	switch body := frame.Body.(type) {
	case *wire.Frame_Offer:
		entry.handleOffer(l.address, body.Offer)
	case *wire.Frame_Document:
		entry.handleDocument(l.address, body.Document)
	case *wire.Frame_Reports:
		return l.handleReports(body.Reports)
	case *wire.Frame_Doubts:
		entry.handleSuspicions(body.Doubts)
	case *wire.Frame_Roster:
		return l.handleRoster(ctx, rootCtx, body.Roster)
	}
	return nil
}

// handleReports applies endpoint reports and requests missing records.
func (l *entryLink) handleReports(reports *wire.Reports) error {
	if reports.More {
		l.manager.loadStarted.Store(true)
	} else {
		defer l.finishLoad()
	}
	request := l.manager.entry.handleReports(l.address, reports)
	if request == nil {
		return nil
	}
	return l.send(&wire.Frame{Body: &wire.Frame_Records{Records: request}})
}

// handleRoster applies the list of control instances and replies with a receipt, which
// shows that the entry is alive.
func (l *entryLink) handleRoster(ctx, rootCtx context.Context, roster *wire.Roster) error {
	entry := l.manager.entry
	l.manager.setFollowsLeader(l.address, roster.Current)
	if roster.Same {
		l.manager.reconcile(rootCtx)
	} else {
		l.manager.setRoster(rootCtx, l.address, roster)
		entry.setSourceDomain(l.address, roster)
	}
	if err := l.activate(ctx, rootCtx); err != nil || !l.active {
		return err
	}
	entry.recordSourceState(l.address, roster)
	if entry.admission != nil {
		entry.admission.handleRoster(l.address, roster, l.manager.listed())
	}
	entry.requestDocument() // again, if the last request has timed out
	return l.send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: entry.appliedReceipt()}})
}
