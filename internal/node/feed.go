package node

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// The digest is sent again digestRepeats times, at intervals of digestRepeatDelay, so
	// that an entry detects missing records even if nothing changes any more. One digest is
	// not enough: an entry requests only parts of the list that differ in two consecutive
	// digests and have not changed in between.
	digestRepeatDelay = 3 * summaryBatchDelay
	digestRepeats     = 2
	// remainderDelay is how long the remainder of the initial list waits for the entry to
	// request the document, which the entry needs for new flows and would otherwise receive
	// only after the whole list. It covers several round trips between failure domains.
	remainderDelay = 15 * time.Millisecond
	// maxQueuedSuspicions bounds the frames with suspicions that wait to be sent on a link.
	maxQueuedSuspicions = 64
	// rosterInterval is how often a roster is sent to an entry: three times within
	// linkIdleTimeout, so that an idle link stays up.
	rosterInterval = 2 * frameInterval
)

// entryFeed sends an entry the document, the endpoint reports and the suspicions, once the
// entry has subscribed. Before that it sends only rosters, by which the entry chooses the
// control instances to subscribe to.
type entryFeed struct {
	control          *Control
	stream           wire.DRPCDirectory_LinkStream
	name             string      // of the entry
	domain           string      // failure domain of the entry
	documentRequests chan uint64 // document version that the requesting entry has, 0 for none
	recordRequests   chan *wire.RecordsWant
	suspicions       chan *wire.Frame // frames to send
	subscriptions    chan *wire.Subscription
	subscribed       bool
	announceAddr     string           // where the entry listens for announcements, "" for nowhere
	onEnd            func()           // called when the link ends
	brief            bool             // the entry receives only summaries, and records from another control instance
	sentRevision     uint64           // revision of the last reports sent
	remainder        []*wire.Frame    // of the initial list, not sent yet
	remainderDue     <-chan time.Time // when remainder is sent at the latest, nil if there is none
	repeatsLeft      int              // how many more times the digest is sent
	repeatDue        <-chan time.Time // when the digest is sent again, nil if it is not
	lastOffer        *publishedState  // state that was offered last
	sentRoster       *wire.Roster     // last roster sent in full, nil for none
}

// newEntryFeed returns the feed of the entry that sent hello on a stream.
func newEntryFeed(control *Control, stream wire.DRPCDirectory_LinkStream, hello *wire.Hello) *entryFeed {
	return &entryFeed{
		control: control, stream: stream, name: hello.Id, domain: hello.Domain,
		documentRequests: make(chan uint64, 1), recordRequests: make(chan *wire.RecordsWant, 1), subscriptions: make(chan *wire.Subscription, 1),
		suspicions: make(chan *wire.Frame, maxQueuedSuspicions), announceAddr: hello.Announce, onEnd: func() {},
	}
}

// end records the end of the link.
func (f *entryFeed) end() { f.onEnd() }

// receiveLoop handles the frames of the entry until the link fails, and then calls onFailure.
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
			f.control.entries.recordReceipt(f, body.Receipt)
		}
	}
}

// sendOrDone sends a value to a channel, unless ctx is done first.
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
	documents, cancelDocuments := f.control.publishedChanges.subscribe()
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

// sendRoster sends the roster: in full if it lists other instances than the last one sent in
// full, otherwise only a note that it is the same. This saves most of the traffic of idle
// links.
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
	if f.control.config.AdmissionControl {
		message.Entries = uint32(f.control.entries.countInDomain(f.domain))
	}
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: message}})
}

// sameInstances reports whether two rosters differ only in the ages of instances, which
// entries do not use.
func sameInstances(a, b *wire.Roster) bool {
	sameInstance := func(a, b *wire.ControlInstance) bool {
		return a.Id == b.Id && a.Address == b.Address && a.Domain == b.Domain && a.Front == b.Front
	}
	return a.Leader == b.Leader && slices.Equal(a.Voters, b.Voters) && slices.EqualFunc(a.Instances, b.Instances, sameInstance)
}

// sendOffer offers the document in force, with the evacuations, if they have changed since
// the last offer.
func (f *entryFeed) sendOffer() error {
	p := f.control.published.Load()
	if p == f.lastOffer || p.document() == nil || !f.subscribed {
		return nil
	}
	f.lastOffer = p
	return f.stream.Send(p.offer())
}

// reportsFrame returns the frame that carries reports.
func reportsFrame(reports *wire.Reports) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Reports{Reports: reports}}
}

// handleDocumentRequest sends the requested document, and then the remainder of the initial
// list, which was held back for it.
func (f *entryFeed) handleDocumentRequest(held uint64) error {
	if err := f.sendDocument(held); err != nil {
		return err
	}
	return f.sendRemainder()
}

// sendDocument sends the document in force, as a difference from the version that the entry has
// if that version is still kept.
func (f *entryFeed) sendDocument(held uint64) error {
	p := f.control.published.Load()
	if p.document() == nil {
		return nil
	}
	return f.stream.Send(p.frame(held))
}
