package node

import (
	"context"
	"sync"

	"oxbowsaddle/internal/wire"
)

// entryLink is the link of an entry to one control instance. First the instance says
// which there are; what else it tells it tells once the link is used.
type entryLink struct {
	manager *linkManager
	address string
	stream  wire.DRPCDirectory_LinkClient
	sendMu  sync.Mutex

	// Owned by serve.
	active     bool
	rosterSeen bool   // a roster has come before
	finishLoad func() // gives the turn on once the endpoints have come
}

// serve says hello and takes what comes until the link fails, or ctx ends; all is the
// context of every link.
func (l *entryLink) serve(ctx, rootCtx context.Context) error {
	entry := l.manager.entry
	hello := &wire.Hello{Id: entry.config.Name, Domain: entry.config.Domain}
	if entry.config.Operators.IsValid() {
		hello.Announce = entry.config.Operators.String()
	}
	if err := l.send(helloFrame(hello)); err != nil {
		return err
	}
	for {
		frame, err := l.stream.Recv()
		if err == nil {
			frame, err = unpack(frame)
		}
		if err != nil {
			return err
		}
		if err := l.handleFrame(ctx, rootCtx, frame); err != nil {
			return err
		}
	}
}

// activate has the instance tell what is in force, if the link is wanted for that.
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
	return entry.reach(l)
}

// send sends one frame; several goroutines may call it.
func (l *entryLink) send(frame *wire.Frame) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(frame)
}

// subscribe has the control instance tell every change of endpoints, or tell
// them briefly.
func (l *entryLink) subscribe(brief bool) error {
	digest := l.manager.entry.digest()
	return l.send(&wire.Frame{Body: &wire.Frame_Subscription{Subscription: &wire.Subscription{Brief: brief, Digest: digest[:]}}})
}

// handleFrame does what one frame asks for.
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

// handleReports takes what is reported of endpoints, and asks for what is lacking.
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

// handleRoster takes which control instances there are, and shows that somebody still
// listens.
func (l *entryLink) handleRoster(ctx, rootCtx context.Context, roster *wire.Roster) error {
	entry := l.manager.entry
	l.manager.setFollowsLeader(l.address, roster.Current)
	if roster.Same {
		l.manager.reconcile(rootCtx)
	} else {
		l.manager.setRoster(rootCtx, l.address, roster)
		entry.locate(l.address, roster)
	}
	if err := l.activate(ctx, rootCtx); err != nil || !l.active {
		return err
	}
	entry.noteState(l.address, roster)
	entry.requestDocument() // where the one that was asked has not answered
	return l.send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: entry.appliedReceipt()}})
}
