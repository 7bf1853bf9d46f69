package node

import (
	"context"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// linkHandler serves the links that entries and peers open to a control instance.
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
		return fault.New(fault.Usage, "the first frame of a link must be a hello")
	}
	if hello.Control {
		return h.servePeer(stream)
	}
	return h.serveEntry(stream, hello)
}

// servePeer handles the frames of a peer.
func (h *linkHandler) servePeer(stream wire.DRPCDirectory_LinkStream) error {
	for {
		frame, err := stream.Recv()
		if err == nil {
			frame, err = decompressFrame(frame)
		}
		if err != nil {
			return err
		}
		switch body := frame.Body.(type) {
		case *wire.Frame_Log:
			h.control.handleLogMessage(body.Log)
		case *wire.Frame_Roster:
			h.control.handleRoster(body.Roster)
		case *wire.Frame_Doubts:
			h.control.entries.broadcast(frame)
		case *wire.Frame_Reports:
			h.control.endpoints.merge(body.Reports)
			if err := stream.Send(&wire.Frame{Body: &wire.Frame_Receipt{Receipt: &wire.Receipt{Number: body.Reports.Number}}}); err != nil {
				return err
			}
		}
	}
}

// serveEntry runs the feed of an entry.
func (h *linkHandler) serveEntry(stream wire.DRPCDirectory_LinkStream, hello *wire.Hello) error {
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	feed := newEntryFeed(h.control, stream, hello)
	defer feed.end()
	go feed.receiveLoop(ctx, cancel)
	return feed.run(ctx)
}
