package node

import (
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// subscribe starts sending the document and endpoint reports, or changes whether the entry
// receives records or only summaries.
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

// registerEntry adds the entry to the linked entries until the link ends.
func (f *entryFeed) registerEntry() {
	f.control.entries.recordReceipt(f, &wire.Receipt{})
	untrack := f.control.announceTargets.trackLink(f.announceAddr)
	f.onEnd = func() {
		untrack()
		f.control.entries.remove(f)
	}
}

// batchLog returns the batches that this entry receives.
func (f *entryFeed) batchLog() *batchLog {
	if f.brief {
		return f.control.endpoints.summaryBatches
	}
	return f.control.endpoints.fullBatches
}

// sendSummary sends the digest and the silent endpoints.
func (f *entryFeed) sendSummary() error {
	f.sentRevision = f.batchLog().lastRevision()
	f.scheduleDigestRepeats()
	return f.stream.Send(compressFrame(reportsFrame(f.control.endpoints.summary()), compressFast))
}

// scheduleDigestRepeats schedules the digest to be sent again.
func (f *entryFeed) scheduleDigestRepeats() {
	f.repeatsLeft = digestRepeats
	f.repeatDue = time.After(digestRepeatDelay)
}

// repeatDigest sends the digest again.
func (f *entryFeed) repeatDigest() error {
	f.repeatDue = nil
	if f.repeatsLeft--; f.repeatsLeft > 0 {
		f.repeatDue = time.After(digestRepeatDelay)
	}
	return f.stream.Send(compressFrame(reportsFrame(f.control.endpoints.summary()), compressFast))
}

// sendMissing sends the records that an entry with the given digest lacks.
func (f *entryFeed) sendMissing(known registry.Digest) error {
	f.sentRevision = f.batchLog().lastRevision()
	return f.stream.Send(compressFrame(reportsFrame(f.control.endpoints.missing(known)), compressFast))
}

// requestedRecords returns the records that the entry requests.
func (f *entryFeed) requestedRecords(request *wire.RecordsWant) *wire.Reports {
	if len(request.Digest) > 0 {
		return f.control.endpoints.missing(registry.DecodeDigest(request.Digest))
	}
	return f.control.endpoints.records(request.Ids)
}

// sendBatches sends the changes since the last reports, as shared batches or, if the entry
// lags too far behind these, as a batch of its own. It does nothing unless the entry is
// subscribed in the given mode.
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

// sendInitialList sends the endpoints of the entry's own failure domain to an entry that has
// no records yet. The remainder follows later.
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

// sendRemainder sends the remainder of the initial list.
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

// unsentChanges returns the changes since the last reports sent.
func (f *entryFeed) unsentChanges() *wire.Reports {
	if f.brief {
		return f.control.endpoints.changeSummaryAfter(f.sentRevision)
	}
	return f.control.endpoints.changesAfter(f.sentRevision)
}
