package node

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// digestRepeatDelay is how long after the digest was told it is told again, and checks how
	// often, so that an entry finds out what it lacks though nothing changes any more: a
	// part of the endpoints that has not changed meanwhile and that it knows otherwise.
	digestRepeatDelay = 3 * summaryBatchDelay
	digestRepeats     = 2
	// remainderDelay is how long the rest of the first list waits for the entry to ask for
	// the document, which it needs for new flows and would otherwise have after the list,
	// 42 ms later over a link of 2 Mbit/s: several round trips between failure domains.
	remainderDelay = 15 * time.Millisecond
	// maxQueuedSuspicions bounds the frames about doubts that an entry has not been told of yet.
	maxQueuedSuspicions = 64
	// rosterInterval is how often an entry is told of the control instances: three
	// times within linkIdle, so that its link stays while nothing changes.
	rosterInterval = 2 * frameInterval
)

// entryFeed sends one entry what it lacks, once it has subscribed; before that only
// which control instances there are, so that it can choose.
type entryFeed struct {
	control          *Control
	stream           wire.DRPCDirectory_LinkStream
	name             string                  // of the entry
	domain           string                  // of the entry
	documentRequests chan uint64             // the version that the entry holds, when it asks
	recordRequests   chan *wire.RecordsWant  // what the entry asks for
	suspicions       chan *wire.Frame        // about doubts
	subscriptions    chan *wire.Subscription // how it is told from now on
	subscribed       bool                    // it has subscribed
	announceAddr     string                  // where it listens for announcements, "" for nowhere
	onEnd            func()                  // notes the end of the link of one that has subscribed
	brief            bool                    // another control instance tells it whole records
	sentRevision     uint64                  // number of the last reports
	remainder        []*wire.Frame           // of the first list, not sent yet
	remainderDue     <-chan time.Time        // when it is sent at the latest, nil while there is none
	repeatsLeft      int                     // how often the digest is told again
	repeatDue        <-chan time.Time        // when, nil while it is not
	lastOffer        *publishedState         // what the last offer told of
	sentRoster       *wire.Roster            // the last roster that was told whole, nil before the first
}

// newEntryFeed returns the feed of the entry that said hello on a stream.
func newEntryFeed(control *Control, stream wire.DRPCDirectory_LinkStream, hello *wire.Hello) *entryFeed {
	return &entryFeed{
		control: control, stream: stream, name: hello.Id, domain: hello.Domain,
		documentRequests: make(chan uint64, 1), recordRequests: make(chan *wire.RecordsWant, 1), subscriptions: make(chan *wire.Subscription, 1),
		suspicions: make(chan *wire.Frame, maxQueuedSuspicions), announceAddr: hello.Announce, onEnd: func() {},
	}
}

// end notes that the link has ended.
func (f *entryFeed) end() { f.onEnd() }

// receiveLoop takes what the entry asks for until the link fails, and then
// calls failed.
func (f *entryFeed) receiveLoop(ctx context.Context, onFailure func()) {
	defer onFailure()
	for {
		frame, err := f.stream.Recv()
		if err != nil {
			return
		}
		switch body := frame.Body.(type) {
		case *wire.Frame_Want:
			sendOrDone(ctx, f.documentRequests, body.Want.Held)
		case *wire.Frame_Records:
			sendOrDone(ctx, f.recordRequests, body.Records)
		case *wire.Frame_Subscription:
			sendOrDone(ctx, f.subscriptions, body.Subscription)
		case *wire.Frame_Doubt:
			f.control.handleSuspicion(f, body.Doubt)
		case *wire.Frame_Receipt:
			f.control.entries.heard(f, body.Receipt)
		}
	}
}

// sendOrDone gives a value to the goroutine that owns the feed.
func sendOrDone[T any](ctx context.Context, to chan<- T, value T) {
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

// run sends until the link fails.
func (f *entryFeed) run(ctx context.Context) error {
	full, cancelFull := f.control.endpoints.fullBatches.appended.subscribe()
	defer cancelFull()
	summaries, cancelSummaries := f.control.endpoints.summaryBatches.appended.subscribe()
	defer cancelSummaries()
	documents, cancelDocuments := f.control.documents.subscribe()
	defer cancelDocuments()
	ticker := time.NewTicker(rosterInterval)
	defer ticker.Stop()
	err := f.sendRoster()
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-full:
			err = f.sendBatches(false)
		case <-summaries:
			err = f.sendBatches(true)
		case <-documents:
			err = f.sendOffer()
		case <-f.remainderDue:
			err = f.sendRemainder()
		case held := <-f.documentRequests:
			err = f.handleDocumentRequest(held)
		case request := <-f.recordRequests:
			err = f.stream.Send(compressFrame(reportsFrame(f.requestedRecords(request)), compressFast))
		case frame := <-f.suspicions:
			err = f.stream.Send(frame)
		case s := <-f.subscriptions:
			err = f.subscribe(s)
		case <-f.repeatDue:
			err = f.repeatDigest()
		case <-ticker.C:
			err = f.sendRoster()
		}
	}
	return err
}

// sendRoster tells of the control instances: whole where it names others than the
// last one on this link, else that they are the same. A roster of 6 is 542 bytes; told
// whole 2.5 times a second on each link they were 23 of the 35 MB that crossed a border
// between failure domains on a calm day of 89 entries.
func (f *entryFeed) sendRoster() error {
	latest := f.control.roster.Load()
	roster := latest.roster
	message := &wire.Roster{Same: true}
	if f.sentRoster == nil || !sameInstances(f.sentRoster, roster) {
		f.sentRoster = roster
		message = &wire.Roster{Instances: roster.Instances, Voters: roster.Voters, Leader: roster.Leader}
	}
	current := latest.fresh(f.control.config.Now()) != nil
	message.Leads, message.Current, message.Whole = roster.Leads, roster.Current && current, f.control.endpoints.complete()
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: message}})
}

// sameInstances reports whether two rosters differ in ages alone, which entries have no
// use for.
func sameInstances(a, b *wire.Roster) bool {
	sameInstance := func(a, b *wire.ControlInstance) bool {
		return a.Id == b.Id && a.Address == b.Address && a.Domain == b.Domain && a.Front == b.Front
	}
	return a.Leader == b.Leader && slices.Equal(a.Voters, b.Voters) && slices.EqualFunc(a.Instances, b.Instances, sameInstance)
}

// sendOffer offers a document that came in force, and tells of evacuations.
func (f *entryFeed) sendOffer() error {
	p := f.control.published.Load()
	if p == f.lastOffer || p.document() == nil || !f.subscribed {
		return nil
	}
	f.lastOffer = p
	return f.stream.Send(p.offer())
}

// reportsFrame returns the frame that tells of endpoints.
func reportsFrame(reports *wire.Reports) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Reports{Reports: reports}}
}

// handleDocumentRequest sends the document to an entry that asks for it, and then what it
// has held up.
func (f *entryFeed) handleDocumentRequest(held uint64) error {
	if err := f.sendDocument(held); err != nil {
		return err
	}
	return f.sendRemainder()
}

// sendDocument sends what is in force, as what differs from the version that
// the entry holds where that one is remembered.
func (f *entryFeed) sendDocument(held uint64) error {
	p := f.control.published.Load()
	if p.document() == nil {
		return nil
	}
	return f.stream.Send(p.frame(held))
}
