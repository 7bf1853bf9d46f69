package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// maxKeptBatches is how many batches are remembered for links that are behind; one that is
	// further behind is told what it lacks by itself.
	maxKeptBatches = 32
	// peerBatchDelay is how long changes gather before other control instances are told: an
	// endpoint that leaves waits for it.
	peerBatchDelay = 3 * time.Millisecond
	// fullBatchDelay is the same for entries that are told whole records: far below the time that
	// an entry has for any of them, and one frame instead of many when a fleet starts.
	fullBatchDelay = 20 * time.Millisecond
	// summaryBatchDelay is the same for entries that another control instance tells them whole:
	// long enough for that one to have told them, and still far below the time that an
	// entry has.
	summaryBatchDelay = 200 * time.Millisecond
)

type (
	// batchLog makes what is told of endpoints to many links once for all of them, so that
	// a change costs its encoding and compression once, and a link its bytes alone.
	batchLog struct {
		delay    time.Duration
		interval time.Duration // a batch is made at least so often, 0 for only after changes
		changes  *notifier     // of what is told of
		collect  func(after uint64) *wire.Reports
		isEmpty  func(*wire.Reports) bool
		appended notifier

		mu     sync.Mutex
		recent []batch // the newest last; each goes on where the one before ends
		last   uint64  // number up to which batches were made
	}

	// batch tells of the changes after a number, up to another one.
	batch struct {
		after, last uint64
		frame       *wire.Frame // nil where there is nothing to tell
		hasDigest   bool        // it tells the digest in place of what has changed
	}
)

// loop makes batches until the context ends.
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

// appendNext makes a batch of what has changed since the last one.
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

// lastRevision returns the number up to which batches were made.
func (b *batchLog) lastRevision() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// after returns the batches after a number that tell anything, and the number of the last
// one. It reports false where no batch that is remembered begins there.
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

// singleBatch returns the batch that tells one link what no batch does.
func singleBatch(reports *wire.Reports) []batch {
	return []batch{{frame: compressFrame(reportsFrame(reports), compressFast), hasDigest: len(reports.Digest) > 0}}
}

// nothingForEntry reports whether reports tell an entry nothing.
func nothingForEntry(r *wire.Reports) bool {
	return len(r.Endpoints)+len(r.Sums)+len(r.Silent)+len(r.Heard)+len(r.Digest) == 0
}
