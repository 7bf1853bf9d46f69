package node

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// checkAfter is how long after the digest was told it is told again, and checks how
	// often, so that an entry finds out what it lacks though nothing changes any more: a
	// part of the endpoints that has not changed meanwhile and that it knows otherwise.
	checkAfter = 3 * briefGap
	checks     = 2
	// restGap is how long the rest of the first list waits for the entry to ask for
	// the document, which it needs for new flows and would otherwise have after the list,
	// 42 ms later over a link of 2 Mbit/s: several round trips between failure domains.
	restGap = 15 * time.Millisecond
	// doubtsWaiting bounds the frames about doubts that an entry has not been told of yet.
	doubtsWaiting = 64
	// rosterEvery is how often an entry is told of the control instances: three
	// times within linkIdle, so that its link stays while nothing changes.
	rosterEvery = 2 * frameEvery
)

// entryFeed sends one entry what it lacks, once it has subscribed; before that only
// which control instances there are, so that it can choose.
type entryFeed struct {
	control *Control
	stream  wire.DRPCDirectory_LinkStream
	name    string                  // of the entry
	domain  string                  // of the entry
	wants   chan uint64             // the version that the entry holds, when it asks
	records chan *wire.RecordsWant  // what the entry asks for
	doubts  chan *wire.Frame        // about doubts
	modes   chan *wire.Subscription // how it is told from now on
	told    bool                    // it has subscribed
	listens string                  // where it listens for announcements, "" for nowhere
	unlink  func()                  // notes the end of the link of one that has subscribed
	brief   bool                    // another control instance tells it whole records
	sent    uint64                  // number of the last reports
	rest    []*wire.Frame           // of the first list, not sent yet
	restDue <-chan time.Time        // when it is sent at the latest, nil while there is none
	checks  int                     // how often the digest is told again
	checkAt <-chan time.Time        // when, nil while it is not
	offered *published              // what the last offer told of
	listed  *wire.Roster            // the last roster that was told whole, nil before the first
}

// newEntryFeed returns the feed of the entry that said hello on a stream.
func newEntryFeed(control *Control, stream wire.DRPCDirectory_LinkStream, hello *wire.Hello) *entryFeed {
	return &entryFeed{
		control: control, stream: stream, name: hello.Id, domain: hello.Domain,
		wants: make(chan uint64, 1), records: make(chan *wire.RecordsWant, 1), modes: make(chan *wire.Subscription, 1),
		doubts: make(chan *wire.Frame, doubtsWaiting), listens: hello.Announce, unlink: func() {},
	}
}

// end notes that the link has ended.
func (f *entryFeed) end() { f.unlink() }

// receiveLoop takes what the entry asks for until the link fails, and then
// calls failed.
func (f *entryFeed) receiveLoop(ctx context.Context, failed func()) {
	defer failed()
	for {
		frame, err := f.stream.Recv()
		if err != nil {
			return
		}
		switch body := frame.Body.(type) {
		case *wire.Frame_Want:
			hand(ctx, f.wants, body.Want.Held)
		case *wire.Frame_Records:
			hand(ctx, f.records, body.Records)
		case *wire.Frame_Subscription:
			hand(ctx, f.modes, body.Subscription)
		case *wire.Frame_Doubt:
			f.control.handleSuspicion(f, body.Doubt)
		case *wire.Frame_Receipt:
			f.control.entries.heard(f, body.Receipt)
		}
	}
}

// hand gives a value to the goroutine that owns the feed.
func hand[T any](ctx context.Context, to chan<- T, value T) {
	select {
	case to <- value:
	case <-ctx.Done():
	}
}

// run sends until the link fails.
func (f *entryFeed) run(ctx context.Context) error {
	whole, cancelWhole := f.control.endpoints.whole.made.subscribe()
	defer cancelWhole()
	brief, cancelBrief := f.control.endpoints.brief.made.subscribe()
	defer cancelBrief()
	documents, cancelDocuments := f.control.documents.subscribe()
	defer cancelDocuments()
	ticker := time.NewTicker(rosterEvery)
	defer ticker.Stop()
	err := f.sendRoster()
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-whole:
			err = f.sendBatches(false)
		case <-brief:
			err = f.sendBatches(true)
		case <-documents:
			err = f.sendOffer()
		case <-f.restDue:
			err = f.sendRest()
		case held := <-f.wants:
			err = f.answerWant(held)
		case want := <-f.records:
			err = f.stream.Send(pack(reportsFrame(f.answerRecords(want)), packFast))
		case frame := <-f.doubts:
			err = f.stream.Send(frame)
		case s := <-f.modes:
			err = f.subscribe(s)
		case <-f.checkAt:
			err = f.check()
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
	made := f.control.roster.Load()
	roster := made.roster
	told := &wire.Roster{Same: true}
	if f.listed == nil || !namesSame(f.listed, roster) {
		f.listed = roster
		told = &wire.Roster{Instances: roster.Instances, Voters: roster.Voters, Leader: roster.Leader}
	}
	current := made.vouched(f.control.config.Now()) != nil
	told.Leads, told.Current, told.Whole = roster.Leads, roster.Current && current, f.control.endpoints.allHeard()
	return f.stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: told}})
}

// namesSame reports whether two rosters differ in ages alone, which entries have no
// use for.
func namesSame(a, b *wire.Roster) bool {
	sameInstance := func(a, b *wire.ControlInstance) bool {
		return a.Id == b.Id && a.Address == b.Address && a.Domain == b.Domain && a.Front == b.Front
	}
	return a.Leader == b.Leader && slices.Equal(a.Voters, b.Voters) && slices.EqualFunc(a.Instances, b.Instances, sameInstance)
}

// sendOffer offers a document that came in force, and tells of evacuations.
func (f *entryFeed) sendOffer() error {
	p := f.control.published.Load()
	if p == f.offered || p.document() == nil || !f.told {
		return nil
	}
	f.offered = p
	return f.stream.Send(p.offer())
}

// reportsFrame returns the frame that tells of endpoints.
func reportsFrame(reports *wire.Reports) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Reports{Reports: reports}}
}

// answerWant sends the document to an entry that asks for it, and then what it
// has held up.
func (f *entryFeed) answerWant(held uint64) error {
	if err := f.sendDocument(held); err != nil {
		return err
	}
	return f.sendRest()
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
