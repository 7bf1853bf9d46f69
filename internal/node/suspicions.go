package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// suspicionBatchInterval is the minimum time between two batches sent to entries.
	suspicionBatchInterval = 50 * time.Millisecond
	// suspicionRepeatInterval is the minimum time between two reports of an unanswered probe
	// of the same endpoint.
	suspicionRepeatInterval = 2 * time.Second
	// maxPendingSuspicions bounds the suspicions in a batch; it allows for a tenth of 55,000
	// endpoints that fail at once.
	maxPendingSuspicions = 5500
)

// reportUnanswered queues a report to other entries that an endpoint did not answer a probe.
// It does not block: a report that finds the queue full is dropped.
func (e *Entry) reportUnanswered(id string) { e.queueSuspicion(&wire.Doubt{Id: id}) }

// reportOutlier queues a report that an endpoint accepts connections but fails requests.
// It does not block.
func (e *Entry) reportOutlier(id string) { e.queueSuspicion(&wire.Doubt{Id: id, Hung: true}) }

func (e *Entry) queueSuspicion(d *wire.Doubt) {
	select {
	case e.suspicions <- d:
	default:
	}
}

// suspicionLoop sends queued suspicions to the primary control instance, which forwards
// them to the other entries, until the context is done.
func (e *Entry) suspicionLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-e.suspicions:
			e.mu.Lock()
			link := e.links[e.primary.chosen]
			e.mu.Unlock()
			if link != nil {
				_ = link.send(suspicionFrame(d)) // the reader of the link handles its failure
			}
		}
	}
}

// handleSuspicions probes endpoints that did not answer another entry, and keeps new flows
// off endpoints that several entries have reported as failing requests.
func (e *Entry) handleSuspicions(d *wire.Doubts) {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range d.Unanswered {
		e.steerer.PeerMissed(now, id)
	}
	for _, id := range d.Hung {
		if e.steerer.EjectOutlier(now, id) {
			e.config.Log.Warn("endpoint avoided", "endpoint", id, "why", "several entries report that it fails requests")
		}
	}
}

// suspicionBatcher collects suspicions of entries into batches and drops duplicates.
type suspicionBatcher struct {
	now func() time.Time

	mu         sync.Mutex
	unanswered map[string]bool
	hung       map[string]bool
	sentAt     map[string]time.Time // last report of an unanswered probe, by endpoint
	pending    notifier
}

func newSuspicionBatcher(now func() time.Time) *suspicionBatcher {
	return &suspicionBatcher{now: now, unanswered: map[string]bool{}, hung: map[string]bool{}, sentAt: map[string]time.Time{}}
}

// add adds a suspicion to the next batch, unless it was reported a moment ago or the batch
// is full.
func (b *suspicionBatcher) add(d *wire.Doubt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch {
	case len(b.unanswered)+len(b.hung) >= maxPendingSuspicions:
		return
	case d.Hung:
		b.hung[d.Id] = true
	case !b.sentAt[d.Id].IsZero() && now.Sub(b.sentAt[d.Id]) < suspicionRepeatInterval:
		return
	default:
		b.unanswered[d.Id], b.sentAt[d.Id] = true, now
	}
	b.pending.notify()
}

// flush returns a frame with the collected suspicions and clears them, nil if there are none.
func (b *suspicionBatcher) flush() *wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	maps.DeleteFunc(b.sentAt, func(_ string, at time.Time) bool { return now.Sub(at) >= suspicionRepeatInterval })
	if len(b.unanswered)+len(b.hung) == 0 {
		return nil
	}
	batch := &wire.Doubts{Unanswered: slices.Sorted(maps.Keys(b.unanswered)), Hung: slices.Sorted(maps.Keys(b.hung))}
	clear(b.unanswered)
	clear(b.hung)
	return compressFrame(&wire.Frame{Body: &wire.Frame_Doubts{Doubts: batch}}, compressFast)
}

// suspicionLoop sends batches of suspicions to the linked entries, and to the peers, which
// forward them to theirs, until the context is done.
func (c *Control) suspicionLoop(ctx context.Context) error {
	pending, cancel := c.suspicions.pending.subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pending:
		}
		if frame := c.suspicions.flush(); frame != nil {
			c.entries.broadcast(frame)
			c.peers.broadcast(frame)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(suspicionBatchInterval):
		}
	}
}

// handleSuspicion handles a suspicion from an entry. One report of an unanswered probe is
// forwarded at once, since the other entries then probe the endpoint themselves; failed requests
// are forwarded once several entries have reported them.
func (c *Control) handleSuspicion(from *entryFeed, d *wire.Doubt) {
	if !d.Hung {
		c.suspicions.add(d)
		return
	}
	now := c.config.Now()
	c.outliersMu.Lock()
	confirmed := c.outliers.Report(now, d.Id, from.name)
	c.outliersMu.Unlock()
	if confirmed {
		c.config.Log.Warn("endpoint fails requests", "endpoint", d.Id, "entry", from.name)
		c.suspicions.add(d)
	}
}

// broadcast queues a frame for every linked entry. It skips entries whose queue is full.
func (l *entryList) broadcast(frame *wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		select {
		case e.feed.suspicions <- frame:
		default:
		}
	}
}

// suspicionFrame returns the frame that carries one suspicion.
func suspicionFrame(d *wire.Doubt) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Doubt{Doubt: d}}
}
