package node

import (
	"context"
	"sync"

	"oxbowsaddle/internal/wire"
)

// entryLink is the link of an entry to one control instance.
type entryLink struct {
	watch   *watch
	address string
	stream  wire.DRPCDirectory_LinkClient
	sending sync.Mutex
}

// serve says hello and takes what comes; loaded is called once the endpoints
// have come.
func (l *entryLink) serve(ctx context.Context, loaded func()) error {
	entry := l.watch.entry
	digest := entry.digest()
	hello := &wire.Hello{Id: entry.config.Name, Domain: entry.config.Domain, Digest: digest[:], Brief: true}
	if entry.config.Operators.IsValid() {
		hello.Announce = entry.config.Operators.String()
	}
	if err := l.send(helloFrame(hello)); err != nil {
		return err
	}
	entry.reach(l)
	for {
		frame, err := l.stream.Recv()
		if err == nil {
			frame, err = unpack(frame)
		}
		if err != nil {
			return err
		}
		if err := l.take(ctx, frame); err != nil {
			return err
		}
		if reports := frame.GetReports(); reports != nil && !reports.More {
			loaded()
		}
	}
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
	return l.send(&wire.Frame{Body: &wire.Frame_Subscription{Subscription: &wire.Subscription{Brief: brief}}})
}

// take does what one frame asks for.
func (l *entryLink) take(ctx context.Context, frame *wire.Frame) error {
	entry := l.watch.entry
	switch body := frame.Body.(type) {
	case *wire.Frame_Offer:
		entry.takeOffer(l.address, body.Offer)
	case *wire.Frame_Document:
		entry.takeDocument(l.address, body.Document)
	case *wire.Frame_Reports:
		if lacking := entry.takeReports(l.address, body.Reports); len(lacking) > 0 {
			return l.send(&wire.Frame{Body: &wire.Frame_Records{Records: &wire.RecordsWant{Ids: lacking}}})
		}
	case *wire.Frame_Doubt:
		entry.takeDoubt(body.Doubt)
	case *wire.Frame_Roster:
		entry.noteState(l.address, body.Roster)
		if body.Roster.Same {
			l.watch.reconnect(ctx)
		} else {
			l.watch.takeRoster(ctx, l.address, body.Roster)
			entry.locate(l.address, body.Roster)
		}
		entry.askDocument() // where the one that was asked has not answered
		// Shows the control instance that somebody still listens.
		return l.send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: entry.inForce()}})
	}
	return nil
}
