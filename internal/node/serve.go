package node

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

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
	go func() {
		defer cancel()
		for {
			if _, err := stream.Recv(); err != nil {
				return
			}
		}
	}()
	feed := &entryFeed{control: h.control, stream: stream}
	return feed.run(ctx)
}

// entryFeed sends one entry what it lacks.
type entryFeed struct {
	control *Control
	stream  wire.DRPCDirectory_LinkStream
	sent    uint64 // number of the last reports
	last    *published
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
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-documents:
		case <-ticker.C:
			if err := f.stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: f.control.roster.Load()}}); err != nil {
				return err
			}
		}
	}
}

func (f *entryFeed) sendNews() error {
	if p := f.control.published.Load(); p != f.last && p.document != nil {
		m := proto.CloneOf(p.document.Message())
		m.Source = nil // entries have no use for it
		if err := f.stream.Send(&wire.Frame{Body: &wire.Frame_Document{Document: &wire.DocumentFrame{Document: m, Confirmed: p.confirmed}}}); err != nil {
			return err
		}
		f.last = p
	}
	reports := f.control.endpoints.changesAfter(f.sent)
	if len(reports.Endpoints) == 0 && f.sent > 0 {
		return nil
	}
	f.sent = reports.Number
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Reports{Reports: reports}})
}
