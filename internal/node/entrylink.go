package node

import (
	"context"
	"sync"

	"oxbowsaddle/internal/wire"
)

// entryLink is the link of an entry to one control instance. First the instance says
// which there are; what else it tells it tells once the link is used.
type entryLink struct {
	watch   *watch
	address string
	stream  wire.DRPCDirectory_LinkClient
	sending sync.Mutex

	// Owned by serve.
	used   bool
	waited bool   // a roster has come before
	loaded func() // gives the turn on once the endpoints have come
}

// serve says hello and takes what comes until the link fails, or ctx ends; all is the
// context of every link.
func (l *entryLink) serve(ctx, all context.Context) error {
	entry := l.watch.entry
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
		if err := l.take(ctx, all, frame); err != nil {
			return err
		}
	}
}

// use has the instance tell what is in force, if the link is wanted for that.
func (l *entryLink) use(ctx, all context.Context) error {
	waited := l.waited
	l.waited = true
	if l.used || !l.watch.use(ctx, all, l.address, waited) {
		return nil
	}
	l.used = true
	entry := l.watch.entry
	entry.config.Log.Info("control instance reached", "control", l.address)
	l.loaded = l.watch.awaitTurn(ctx)
	return entry.reach(l)
}

// send sends one frame; several goroutines may call it.
func (l *entryLink) send(frame *wire.Frame) error {
	l.sending.Lock()
	defer l.sending.Unlock()
	return l.stream.Send(frame)
}

// subscribe has the control instance tell every change of endpoints, or tell
// them briefly.
func (l *entryLink) subscribe(brief bool) error {
	digest := l.watch.entry.digest()
	return l.send(&wire.Frame{Body: &wire.Frame_Subscription{Subscription: &wire.Subscription{Brief: brief, Digest: digest[:]}}})
}

// take does what one frame asks for.
func (l *entryLink) take(ctx, all context.Context, frame *wire.Frame) error {
	entry := l.watch.entry
	switch body := frame.Body.(type) {
	case *wire.Frame_Offer:
		entry.takeOffer(l.address, body.Offer)
	case *wire.Frame_Document:
		entry.takeDocument(l.address, body.Document)
	case *wire.Frame_Reports:
		return l.takeReports(body.Reports)
	case *wire.Frame_Doubts:
		entry.takeDoubts(body.Doubts)
	case *wire.Frame_Roster:
		return l.takeRoster(ctx, all, body.Roster)
	}
	return nil
}

// takeReports takes what is reported of endpoints, and asks for what is lacking.
func (l *entryLink) takeReports(reports *wire.Reports) error {
	if reports.More {
		l.watch.loading.Store(true)
	} else {
		defer l.loaded()
	}
	want := l.watch.entry.takeReports(l.address, reports)
	if want == nil {
		return nil
	}
	return l.send(&wire.Frame{Body: &wire.Frame_Records{Records: want}})
}

// takeRoster takes which control instances there are, and shows that somebody still
// listens.
func (l *entryLink) takeRoster(ctx, all context.Context, roster *wire.Roster) error {
	entry := l.watch.entry
	l.watch.noteCurrent(l.address, roster.Current)
	if roster.Same {
		l.watch.reconnect(all)
	} else {
		l.watch.takeRoster(all, l.address, roster)
		entry.locate(l.address, roster)
	}
	if err := l.use(ctx, all); err != nil || !l.used {
		return err
	}
	entry.noteState(l.address, roster)
	entry.askDocument() // where the one that was asked has not answered
	return l.send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: entry.inForce()}})
}
