package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// maxKeptBatches bounds the recent batches that are kept for links that lag. A link that
	// lags further gets a batch of its own.
	maxKeptBatches = 32
	// peerBatchDelay is how long changes are collected before they are sent to peers. The
	// acknowledgement of a leaving endpoint waits for it.
	peerBatchDelay = 3 * time.Millisecond
	// fullBatchDelay is how long changes are collected before their records are sent to
	// entries. It merges many changes into one frame while a fleet starts, and is too short to
	// matter to an entry.
	fullBatchDelay = 20 * time.Millisecond
	// summaryBatchDelay is how long changes are collected before summaries of them are sent
	// to entries that receive the records from another control instance. It gives that
	// instance time to send them first.
	summaryBatchDelay = 200 * time.Millisecond
)

type (
	// batchLog encodes endpoint changes into batches that are shared by many links, so that
	// each change is encoded and compressed only once.
	batchLog struct {
		delay    time.Duration                    // from a change to the batch that contains it
		interval time.Duration                    // between batches without a change, 0 to make batches only after changes
		changes  *notifier                        // notifies of changes to collect
		collect  func(after uint64) *wire.Reports // returns the changes after a revision
		isEmpty  func(*wire.Reports) bool         // reports whether there is nothing to send
		appended notifier                         // notifies of new batches

		mu     sync.Mutex
		recent []batch // oldest first; each begins at the revision at which the previous one ends
		last   uint64  // revision at which the newest batch ends
	}

	// batch contains the changes after revision after, up to and including revision last.
	batch struct {
		after, last uint64
		frame       *wire.Frame // nil if there is nothing to send
		hasDigest   bool        // the frame contains a digest in place of the changes
	}
)

// loop appends batches until the context is done.
func (b *batchLog) loop(ctx context.Context) error {
	changed, cancel := b.changes.subscribe()
	defer cancel()
	var tick <-chan time.Time
	if b.interval > 0 {
		ticker := time.NewTicker(b.interval)
		defer ticker.Stop()
		tick = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick:
		case <-changed:
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(b.delay):
			}
		}
		b.appendNext()
	}
}

// appendNext appends a batch of the changes since the previous one.
func (b *batchLog) appendNext() {
	b.mu.Lock()
	reports := b.collect(b.last)
	next := batch{after: b.last, last: reports.Number, hasDigest: len(reports.Digest) > 0}
	if !b.isEmpty(reports) {
		next.frame = compressFrame(reportsFrame(reports), compressFast)
	}
	if next.last > next.after || next.frame != nil {
		b.last = next.last
		b.recent = append(b.recent, next)
		if over := len(b.recent) - maxKeptBatches; over > 0 {
			b.recent = append(b.recent[:0:0], b.recent[over:]...)
		}
	}
	b.mu.Unlock()
	b.appended.notify()
}

// lastRevision returns the revision at which the newest batch ends.
func (b *batchLog) lastRevision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// after returns the non-empty batches after a revision, and the revision at which the newest
// batch ends. ok is false if no kept batch begins at the given revision.
func (b *batchLog) after(revision uint64) (pending []batch, last uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if revision == b.last {
		return nil, revision, true
	}
	for i, first := range b.recent {
		if first.after != revision {
			continue
		}
		for _, each := range b.recent[i:] {
			if each.frame != nil {
				pending = append(pending, each)
			}
		}
		return pending, b.last, true
	}
	return nil, revision, false
}

// singleBatch returns a batch for a single link that lags too far behind the kept batches.
func singleBatch(reports *wire.Reports) []batch {
	return []batch{{frame: compressFrame(reportsFrame(reports), compressFast), hasDigest: len(reports.Digest) > 0}}
}

// nothingForEntry reports whether reports contain nothing for an entry.
func nothingForEntry(r *wire.Reports) bool {
	return len(r.Endpoints)+len(r.Sums)+len(r.Silent)+len(r.Heard)+len(r.Digest) == 0
}
