package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// batchesKept is how many batches are remembered for links that are behind; one that is
	// further behind is told what it lacks by itself.
	batchesKept = 32
	// peerGap is how long changes gather before other control instances are told: an
	// endpoint that leaves waits for it.
	peerGap = 3 * time.Millisecond
	// feedGap is the same for entries that are told whole records: far below the time that
	// an entry has for any of them, and one frame instead of many when a fleet starts.
	feedGap = 20 * time.Millisecond
	// briefGap is the same for entries that another control instance tells them whole:
	// long enough for that one to have told them, and still far below the time that an
	// entry has.
	briefGap = 200 * time.Millisecond
)

type (
	// batches makes what is told of endpoints to many links once for all of them, so that
	// a change costs its encoding and compression once, and a link its bytes alone.
	batches struct {
		gap     time.Duration
		every   time.Duration // a batch is made at least so often, 0 for only after changes
		changes *notifier     // of what is told of
		reports func(after uint64) *wire.Reports
		empty   func(*wire.Reports) bool
		made    notifier

		mu   sync.Mutex
		kept []batch // the newest last; each goes on where the one before ends
		last uint64  // number up to which batches were made
	}

	// batch tells of the changes after a number, up to another one.
	batch struct {
		after, number uint64
		frame         *wire.Frame // nil where there is nothing to tell
		summed        bool        // it tells the digest in place of what has changed
	}
)

// loop makes batches until the context ends.
func (b *batches) loop(ctx context.Context) error {
	changed, cancel := b.changes.subscribe()
	defer cancel()
	var due <-chan time.Time
	if b.every > 0 {
		ticker := time.NewTicker(b.every)
		defer ticker.Stop()
		due = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-due:
		case <-changed:
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(b.gap):
			}
		}
		b.make()
	}
}

// make makes a batch of what has changed since the last one.
func (b *batches) make() {
	b.mu.Lock()
	reports := b.reports(b.last)
	next := batch{after: b.last, number: reports.Number, summed: len(reports.Digest) > 0}
	if !b.empty(reports) {
		next.frame = pack(reportsFrame(reports), packFast)
	}
	if next.number > next.after || next.frame != nil {
		b.last = next.number
		b.kept = append(b.kept, next)
		if over := len(b.kept) - batchesKept; over > 0 {
			b.kept = append(b.kept[:0:0], b.kept[over:]...)
		}
	}
	b.mu.Unlock()
	b.made.notify()
}

// upTo returns the number up to which batches were made.
func (b *batches) upTo() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// after returns the batches after a number that tell anything, and the number of the last
// one. It reports false where no batch that is remembered begins there.
func (b *batches) after(number uint64) (told []batch, last uint64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if number == b.last {
		return nil, number, true
	}
	for i, first := range b.kept {
		if first.after != number {
			continue
		}
		for _, each := range b.kept[i:] {
			if each.frame != nil {
				told = append(told, each)
			}
		}
		return told, b.last, true
	}
	return nil, number, false
}

// batchOf returns the batch that tells one link what no batch does.
func batchOf(reports *wire.Reports) []batch {
	return []batch{{frame: pack(reportsFrame(reports), packFast), summed: len(reports.Digest) > 0}}
}

// nothingTold reports whether reports tell an entry nothing.
func nothingTold(r *wire.Reports) bool {
	return len(r.Endpoints)+len(r.Sums)+len(r.Silent)+len(r.Heard)+len(r.Digest) == 0
}
