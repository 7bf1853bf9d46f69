package node

import (
	"context"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// feedGap is how long a feed lets changes of endpoints gather before it tells
// them: far below the time that an entry has for any of them, and one frame
// instead of many when a fleet starts.
const feedGap = 20 * time.Millisecond

// entryFeed sends one entry what it lacks.
type entryFeed struct {
	control *Control
	stream  wire.DRPCDirectory_LinkStream
	name    string          // of the entry
	domain  string          // of the entry
	known   registry.Digest // what the entry knew when the link began
	wants   chan uint64     // the version that the entry holds, when it asks
	sent    uint64          // number of the last reports, 0 before the first
	offered *published      // what the last offer told of
}

// receiveLoop takes what the entry asks for until the link fails, and then
// calls failed.
func (f *entryFeed) receiveLoop(ctx context.Context, failed func()) {
	defer failed()
	for {
		frame, err := f.stream.Recv()
		if err != nil {
			return
		}
		want := frame.GetWant()
		if want == nil {
			f.control.entries.heard(f, frame.GetReceipt().GetVersion())
			continue
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
			time.Sleep(feedGap)
		case <-documents:
		case held := <-f.wants:
			err = f.sendDocument(held)
		case <-ticker.C:
			err = f.stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: f.control.roster.Load().roster}})
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
	reports := f.reports()
	if len(reports.Endpoints) == 0 && f.sent > 0 {
		return nil
	}
	f.sent = reports.Number
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Reports{Reports: reports}})
}

// reports returns what the entry lacks, and later what has changed.
func (f *entryFeed) reports() *wire.Reports {
	if f.sent == 0 {
		return f.control.endpoints.lacking(f.known)
	}
	return f.control.endpoints.changesAfter(f.sent)
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
