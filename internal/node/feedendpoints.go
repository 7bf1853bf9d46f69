package node

import (
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// subscribe tells the entry of the document and of endpoints from now on, or of
// endpoints in another way.
func (f *entryFeed) subscribe(s *wire.Subscription) error {
	f.brief = s.Brief
	if !f.told {
		f.told = true
		f.begin()
	}
	if err := f.sendOffer(); err != nil {
		return err
	}
	known := registry.DecodeDigest(s.Digest)
	switch {
	case known == (registry.Digest{}):
		return f.sendFirstList()
	case f.brief:
		return f.sendView()
	default:
		f.checkAt = nil
		return f.sendLacking(known)
	}
}

// begin notes that the entry is linked.
func (f *entryFeed) begin() {
	f.control.entries.heard(f, &wire.Receipt{})
	unlisten := f.control.audience.trackLink(f.listens)
	f.unlink = func() {
		unlisten()
		f.control.entries.lost(f)
	}
}

// batches returns those that the feed sends.
func (f *entryFeed) batches() *batches {
	if f.brief {
		return f.control.endpoints.brief
	}
	return f.control.endpoints.whole
}

// sendView tells an entry that is told briefly what is known of endpoints, in sum.
func (f *entryFeed) sendView() error {
	f.sent = f.batches().upTo()
	f.beginChecks()
	return f.stream.Send(pack(reportsFrame(f.control.endpoints.view()), packFast))
}

// beginChecks has the digest told again.
func (f *entryFeed) beginChecks() {
	f.checks = checks
	f.checkAt = time.After(checkAfter)
}

// check tells the digest once more.
func (f *entryFeed) check() error {
	f.checkAt = nil
	if f.checks--; f.checks > 0 {
		f.checkAt = time.After(checkAfter)
	}
	return f.stream.Send(pack(reportsFrame(f.control.endpoints.view()), packFast))
}

// sendLacking tells the entry the parts of the list in which it knows something else.
func (f *entryFeed) sendLacking(known registry.Digest) error {
	f.sent = f.batches().upTo()
	return f.stream.Send(pack(reportsFrame(f.control.endpoints.lacking(known)), packFast))
}

// answerRecords returns what the entry asks for.
func (f *entryFeed) answerRecords(want *wire.RecordsWant) *wire.Reports {
	if len(want.Digest) > 0 {
		return f.control.endpoints.lacking(registry.DecodeDigest(want.Digest))
	}
	return f.control.endpoints.records(want.Ids)
}

// sendBatches tells the entry what has changed since it was told last, if it is told so
// at present. One that is too far behind is told it by itself.
func (f *entryFeed) sendBatches(brief bool) error {
	if !f.told || f.brief != brief {
		return nil
	}
	told, number, ok := f.batches().after(f.sent)
	if !ok {
		number = f.batches().upTo()
		told = batchOf(f.reports())
	}
	for _, each := range told {
		if err := f.stream.Send(each.frame); err != nil {
			return err
		}
		if each.summed {
			f.beginChecks()
		}
	}
	f.sent = number
	return nil
}

// sendFirstList tells an entry that knows nothing of the endpoints of its own
// failure domain; the rest follows, and what has changed since the list was made.
func (f *entryFeed) sendFirstList() error {
	frames, number := f.control.firstList.get(f.domain, f.batches())
	f.sent = number
	if f.rest = frames[1:]; len(f.rest) > 0 {
		f.restDue = time.After(restGap)
	}
	if err := f.stream.Send(frames[0]); err != nil {
		return err
	}
	return f.sendBatches(f.brief)
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

// reports returns what has changed since the entry was told last.
func (f *entryFeed) reports() *wire.Reports {
	if f.brief {
		return f.control.endpoints.changesBrieflyAfter(f.sent)
	}
	return f.control.endpoints.changesAfter(f.sent)
}
