package node

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

const (
	// feedGap is how long a feed lets changes of endpoints gather before it
	// tells them: far below the time that an entry has for any of them, and one
	// frame instead of many when a fleet starts.
	feedGap = 20 * time.Millisecond
	// briefGap is the same for an entry that another control instance tells
	// them whole: long enough for that one to have told them, and still far
	// below the time that an entry has.
	briefGap = 200 * time.Millisecond
	// restGap is how long the rest of the first list waits for the entry to ask for
	// the document, which it needs for new flows and would otherwise have after the list,
	// 42 ms later over a link of 2 Mbit/s: several round trips between failure domains.
	restGap = 15 * time.Millisecond
	// doubtsWaiting bounds the doubts that an entry has not been told of yet: more
	// endpoints than a failure domain of the largest deployment played has.
	doubtsWaiting = 64
	// rosterEvery is how often an entry is told of the control instances: three
	// times within linkIdle, so that its link stays while nothing changes.
	rosterEvery = 2 * frameEvery
)

// entryFeed sends one entry what it lacks.
type entryFeed struct {
	control *Control
	stream  wire.DRPCDirectory_LinkStream
	name    string           // of the entry
	domain  string           // of the entry
	known   registry.Digest  // what the entry knew when the link began
	wants   chan uint64      // the version that the entry holds, when it asks
	records chan []string    // the endpoints that the entry asks for
	doubts  chan *wire.Doubt // of other entries
	modes   chan bool        // whether it is told briefly from now on
	brief   bool             // another control instance tells it whole records
	due     <-chan time.Time // when changes have gathered, nil while there are none
	sent    uint64           // number of the last reports, 0 before the first
	rest    []*wire.Frame    // of the first list, not sent yet
	restDue <-chan time.Time // when it is sent at the latest, nil while there is none
	offered *published       // what the last offer told of
	listed  *wire.Roster     // the last roster that was told whole, nil before the first
}

// newEntryFeed returns the feed of the entry that said hello on a stream.
func newEntryFeed(control *Control, stream wire.DRPCDirectory_LinkStream, hello *wire.Hello) *entryFeed {
	return &entryFeed{
		control: control, stream: stream, name: hello.Id, domain: hello.Domain,
		known: registry.DigestOf(hello.Digest), brief: hello.Brief,
		wants: make(chan uint64, 1), records: make(chan []string, 1), modes: make(chan bool, 1),
		doubts: make(chan *wire.Doubt, doubtsWaiting),
	}
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
		switch body := frame.Body.(type) {
		case *wire.Frame_Want:
			hand(ctx, f.wants, body.Want.Held)
		case *wire.Frame_Records:
			hand(ctx, f.records, body.Records.Ids)
		case *wire.Frame_Subscription:
			hand(ctx, f.modes, body.Subscription.Brief)
		case *wire.Frame_Doubt:
			f.control.takeDoubt(f, body.Doubt)
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
	changed, cancel := f.control.endpoints.changes.subscribe()
	defer cancel()
	documents, cancelDocuments := f.control.documents.subscribe()
	defer cancelDocuments()
	ticker := time.NewTicker(rosterEvery)
	defer ticker.Stop()
	err := f.sendOffer()
	if err == nil {
		err = f.sendReports()
	}
	for err == nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			f.gather()
		case <-f.due:
			err = f.sendReports()
		case <-documents:
			err = f.sendOffer()
		case <-f.restDue:
			err = f.sendRest()
		case held := <-f.wants:
			err = f.answerWant(held)
		case ids := <-f.records:
			err = f.stream.Send(reportsFrame(f.control.endpoints.records(ids)))
		case d := <-f.doubts:
			err = f.stream.Send(doubtFrame(d))
		case f.brief = <-f.modes:
			err = f.sendReports()
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
	roster := f.control.roster.Load().roster
	told := &wire.Roster{Same: true}
	if f.listed == nil || !namesSame(f.listed, roster) {
		f.listed = roster
		told = &wire.Roster{Instances: roster.Instances, Voters: roster.Voters, Leader: roster.Leader}
	}
	told.Leads, told.Whole = roster.Leads, f.control.endpoints.whole()
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

// gather lets further changes come before those that have are told.
func (f *entryFeed) gather() {
	gap := feedGap
	if f.brief {
		gap = briefGap
	}
	if f.due == nil {
		f.due = time.After(gap)
	}
}

// sendOffer offers a document that came in force, and tells of evacuations.
func (f *entryFeed) sendOffer() error {
	p := f.control.published.Load()
	if p == f.offered || p.document() == nil {
		return nil
	}
	f.offered = p
	return f.stream.Send(p.offer())
}

// sendReports tells the entry of endpoints.
func (f *entryFeed) sendReports() error {
	f.due = nil
	if f.sent == 0 && f.known == (registry.Digest{}) {
		return f.sendFirstList()
	}
	reports := f.reports()
	if len(reports.Endpoints)+len(reports.Sums) == 0 && f.sent > 0 {
		return nil
	}
	f.sent = reports.Number
	return f.stream.Send(pack(reportsFrame(reports), packFast))
}

// sendFirstList tells an entry that knows nothing of the endpoints of its own
// failure domain; the rest follows, with what has changed since the list was made.
func (f *entryFeed) sendFirstList() error {
	frames, number := f.control.firstList.get(f.domain)
	f.sent = number
	if f.control.endpoints.changed() > number {
		f.gather()
	}
	if f.rest = frames[1:]; len(f.rest) > 0 {
		f.restDue = time.After(restGap)
	}
	return f.stream.Send(frames[0])
}

// sendRest tells the rest of the first list.
func (f *entryFeed) sendRest() error {
	frames := f.rest
	f.rest, f.restDue = nil, nil
	for _, frame := range frames {
		if err := f.stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// reportsFrame returns the frame that tells of endpoints.
func reportsFrame(reports *wire.Reports) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Reports{Reports: reports}}
}

// reports returns what the entry lacks, and later what has changed.
func (f *entryFeed) reports() *wire.Reports {
	switch {
	case f.sent == 0:
		return f.control.endpoints.lacking(f.known)
	case f.brief:
		return f.control.endpoints.changesBrieflyAfter(f.sent)
	default:
		return f.control.endpoints.changesAfter(f.sent)
	}
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
