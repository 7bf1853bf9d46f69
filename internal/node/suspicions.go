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
	// suspicionBatchInterval is how long doubts gather before entries are told of them again; the first
	// is told at once.
	suspicionBatchInterval = 50 * time.Millisecond
	// suspicionRepeatInterval is for how long all entries are told of an endpoint once.
	suspicionRepeatInterval = 2 * time.Second
	// maxPendingSuspicions bounds the endpoints that gather: a tenth of the largest fleet's, which
	// may be lost at once.
	maxPendingSuspicions = 5500
)

// reportUnanswered queues that other entries are told of an endpoint, without waiting; where
// the queue is full they find out for themselves.
func (e *Entry) reportUnanswered(id string) { e.queueSuspicion(&wire.Doubt{Id: id}) }

// reportHung queues that an endpoint does not answer a request, without waiting.
func (e *Entry) reportHung(id string) { e.queueSuspicion(&wire.Doubt{Id: id, Hung: true}) }

func (e *Entry) queueSuspicion(d *wire.Doubt) {
	select {
	case e.suspicions <- d:
	default:
	}
}

// suspicionLoop tells one control instance, which tells the other entries, of
// endpoints that left a question or a request without an answer, until the context
// ends.
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
				_ = link.send(suspicionFrame(d)) // a link that fails is noticed where it is read
			}
		}
	}
}

// handleSuspicions has endpoints asked that another entry missed an answer of, and has new
// flows avoid those that several entries say fail requests.
func (e *Entry) handleSuspicions(d *wire.Doubts) {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range d.Unanswered {
		e.steerer.Doubted(now, id)
	}
	for _, id := range d.Hung {
		if e.steerer.TakeHung(now, id) {
			e.config.Log.Warn("endpoint avoided", "endpoint", id, "why", "several entries say that it fails requests")
		}
	}
}

// suspicionBatcher gathers what entries say of endpoints, so that all of it is told in few
// frames, and of each endpoint once.
type suspicionBatcher struct {
	now func() time.Time

	mu         sync.Mutex
	unanswered map[string]bool
	hung       map[string]bool
	sentAt     map[string]time.Time // of those that left a question without an answer
	pending    notifier
}

func newSuspicionBatcher(now func() time.Time) *suspicionBatcher {
	return &suspicionBatcher{now: now, unanswered: map[string]bool{}, hung: map[string]bool{}, sentAt: map[string]time.Time{}}
}

// add has others told of an endpoint, unless they were told of the same a moment ago.
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

// flush returns the frame that tells of what has gathered, nil for nothing.
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
	return pack(&wire.Frame{Body: &wire.Frame_Doubts{Doubts: batch}}, packFast)
}

// suspicionLoop tells the entries of this instance, and by the others theirs, of endpoints
// until the context ends.
func (c *Control) suspicionLoop(ctx context.Context) error {
	pending, cancel := c.doubts.pending.subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pending:
		}
		if frame := c.doubts.flush(); frame != nil {
			c.entries.broadcast(frame)
			c.peers.spread(frame)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(suspicionBatchInterval):
		}
	}
}

// handleSuspicion takes what an entry says of an endpoint. Others are told that it
// left a question without an answer, which each asks again by itself; that it fails
// requests that it took only once several entries have said so.
func (c *Control) handleSuspicion(from *entryFeed, d *wire.Doubt) {
	if !d.Hung {
		c.doubts.add(d)
		return
	}
	now := c.config.Now()
	c.judging.Lock()
	confirmed := c.outliers.Report(now, d.Id, from.name)
	c.judging.Unlock()
	if confirmed {
		c.config.Log.Warn("endpoint fails requests", "endpoint", d.Id, "entry", from.name)
		c.doubts.add(d)
	}
}

// broadcast tells all entries that are linked. One that has not taken the frames before
// finds out for itself.
func (l *entryList) broadcast(frame *wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		select {
		case e.feed.doubts <- frame:
		default:
		}
	}
}

// suspicionFrame returns the frame by which an entry tells of a doubt.
func suspicionFrame(d *wire.Doubt) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Doubt{Doubt: d}}
}
