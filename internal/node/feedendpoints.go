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
	if !f.subscribed {
		f.subscribed = true
		f.registerEntry()
	}
	if err := f.sendOffer(); err != nil {
		return err
	}
	known := registry.DecodeDigest(s.Digest)
	switch {
	case known == (registry.Digest{}):
		return f.sendInitialList()
	case f.brief:
		return f.sendSummary()
	default:
		f.repeatDue = nil
		return f.sendMissing(known)
	}
}

// registerEntry notes that the entry is linked.
func (f *entryFeed) registerEntry() {
	f.control.entries.heard(f, &wire.Receipt{})
	untrack := f.control.announceTargets.trackLink(f.announceAddr)
	f.onEnd = func() {
		untrack()
		f.control.entries.lost(f)
	}
}

// batchLog returns those that the feed sends.
func (f *entryFeed) batchLog() *batchLog {
	if f.brief {
		return f.control.endpoints.summaryBatches
	}
	return f.control.endpoints.fullBatches
}

// sendSummary tells an entry that is told briefly what is known of endpoints, in sum.
func (f *entryFeed) sendSummary() error {
	f.sentRevision = f.batchLog().lastRevision()
	f.scheduleDigestRepeats()
	return f.stream.Send(compressFrame(reportsFrame(f.control.endpoints.summary()), compressFast))
}

// scheduleDigestRepeats has the digest told again.
func (f *entryFeed) scheduleDigestRepeats() {
	f.repeatsLeft = digestRepeats
	f.repeatDue = time.After(digestRepeatDelay)
}

// repeatDigest tells the digest once more.
func (f *entryFeed) repeatDigest() error {
	f.repeatDue = nil
	if f.repeatsLeft--; f.repeatsLeft > 0 {
		f.repeatDue = time.After(digestRepeatDelay)
	}
	return f.stream.Send(compressFrame(reportsFrame(f.control.endpoints.summary()), compressFast))
}

// sendMissing tells the entry the parts of the list in which it knows something else.
func (f *entryFeed) sendMissing(known registry.Digest) error {
	f.sentRevision = f.batchLog().lastRevision()
	return f.stream.Send(compressFrame(reportsFrame(f.control.endpoints.missing(known)), compressFast))
}

// requestedRecords returns what the entry asks for.
func (f *entryFeed) requestedRecords(request *wire.RecordsWant) *wire.Reports {
	if len(request.Digest) > 0 {
		return f.control.endpoints.missing(registry.DecodeDigest(request.Digest))
	}
	return f.control.endpoints.records(request.Ids)
}

// sendBatches tells the entry what has changed since it was told last, if it is told so
// at present. One that is too far behind is told it by itself.
func (f *entryFeed) sendBatches(brief bool) error {
	if !f.subscribed || f.brief != brief {
		return nil
	}
	pending, revision, ok := f.batchLog().after(f.sentRevision)
	if !ok {
		revision = f.batchLog().lastRevision()
		pending = singleBatch(f.unsentChanges())
	}
	for _, each := range pending {
		if err := f.stream.Send(each.frame); err != nil {
			return err
		}
		if each.hasDigest {
			f.scheduleDigestRepeats()
		}
	}
	f.sentRevision = revision
	return nil
}

// sendInitialList tells an entry that knows nothing of the endpoints of its own
// failure domain; the rest follows, and what has changed since the list was made.
func (f *entryFeed) sendInitialList() error {
	frames, revision := f.control.initialList.get(f.domain, f.batchLog())
	f.sentRevision = revision
	if f.remainder = frames[1:]; len(f.remainder) > 0 {
		f.remainderDue = time.After(remainderDelay)
	}
	if err := f.stream.Send(frames[0]); err != nil {
		return err
	}
	return f.sendBatches(f.brief)
}

// sendRemainder tells the rest of the first list.
func (f *entryFeed) sendRemainder() error {
	frames := f.remainder
	f.remainder, f.remainderDue = nil, nil
	for _, frame := range frames {
		if err := f.stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// unsentChanges returns what has changed since the entry was told last.
func (f *entryFeed) unsentChanges() *wire.Reports {
	if f.brief {
		return f.control.endpoints.changeSummaryAfter(f.sentRevision)
	}
	return f.control.endpoints.changesAfter(f.sentRevision)
}
