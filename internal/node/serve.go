package node

import (
	"context"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// linkHandler serves the links that others open to a control instance.
type linkHandler struct {
	control *Control
}

// Link serves one link until it ends.
func (h *linkHandler) Link(stream wire.DRPCDirectory_LinkStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return fault.New(fault.Usage, "a link begins with a hello")
	}
	if hello.Control {
		return h.servePeer(stream)
	}
	return h.serveEntry(stream)
}

// servePeer takes what another control instance sends.
func (h *linkHandler) servePeer(stream wire.DRPCDirectory_LinkStream) error {
	for {
		frame, err := stream.Recv()
		if err != nil {
			return err
		}
		switch body := frame.Body.(type) {
		case *wire.Frame_Log:
			h.control.step(body.Log)
		case *wire.Frame_Roster:
			h.control.hear(body.Roster)
		case *wire.Frame_Reports:
			h.control.endpoints.update(func(now time.Time, r *registry.Registry) { r.Merge(now, body.Reports) })
			if err := stream.Send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: &wire.Receipt{Number: body.Reports.Number}}}); err != nil {
				return err
			}
		}
	}
}

// serveEntry sends an entry all that is known, then what changes.
func (h *linkHandler) serveEntry(stream wire.DRPCDirectory_LinkStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	feed := &entryFeed{control: h.control, stream: stream, wants: make(chan uint64, 1)}
	go func() {
		defer cancel()
		feed.receiveLoop(ctx)
	}()
	return feed.run(ctx)
}

// entryFeed sends one entry what it lacks.
type entryFeed struct {
	control *Control
	stream  wire.DRPCDirectory_LinkStream
	wants   chan uint64 // the version that the entry holds, when it asks
	sent    uint64      // number of the last reports
	offered *published
}

// receiveLoop takes what the entry asks for until the link fails.
func (f *entryFeed) receiveLoop(ctx context.Context) {
	for {
		frame, err := f.stream.Recv()
		if err != nil {
			return
		}
		want := frame.GetWant()
		if want == nil {
			continue // it just shows that it listens
		}
		select {
		case f.wants <- want.Held:
		case <-ctx.Done():
			return
		}
	}
}

// run sends until the link fails.
func (f *entryFeed) run(ctx context.Context) error {
	changed, cancel := f.control.endpoints.changes.subscribe()
	defer cancel()
	documents, cancelDocuments := f.control.documents.subscribe()
	defer cancelDocuments()
	ticker := time.NewTicker(2 * frameEvery)
	defer ticker.Stop()
	for {
		if err := f.sendNews(); err != nil {
			return err
		}
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-documents:
		case held := <-f.wants:
			err = f.sendDocument(held)
		case <-ticker.C:
			err = f.stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: f.control.roster.Load()}})
		}
		if err != nil {
			return err
		}
	}
}

// sendNews offers a document that came in force, and reports endpoints.
func (f *entryFeed) sendNews() error {
	if p := f.control.published.Load(); p != f.offered && p.document() != nil {
		offer := &wire.DocumentOffer{Version: p.document().Version(), Confirmed: p.confirmed}
		if err := f.stream.Send(&wire.Frame{Body: &wire.Frame_Offer{Offer: offer}}); err != nil {
			return err
		}
		f.offered = p
	}
	reports := f.control.endpoints.changesAfter(f.sent)
	if len(reports.Endpoints) == 0 && f.sent > 0 {
		return nil
	}
	f.sent = reports.Number
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Reports{Reports: reports}})
}

// sendDocument sends what is in force, as what differs from the version that
// the entry holds where that one is remembered.
func (f *entryFeed) sendDocument(held uint64) error {
	p := f.control.published.Load()
	if p.document() == nil {
		return nil
	}
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Document{Document: p.frame(held)}})
}
