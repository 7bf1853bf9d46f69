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
	// doubtGap is how long doubts gather before entries are told of them again; the first
	// is told at once.
	doubtGap = 50 * time.Millisecond
	// doubtAgain is for how long all entries are told of an endpoint once.
	doubtAgain = 2 * time.Second
	// doubtsMost bounds the endpoints that gather: a tenth of the largest fleet's, which
	// may be lost at once.
	doubtsMost = 5500
)

// tell queues that other entries are told of an endpoint, without waiting; where
// the queue is full they find out for themselves.
func (e *Entry) tell(id string) { e.queueDoubt(&wire.Doubt{Id: id}) }

// tellHung queues that an endpoint does not answer a request, without waiting.
func (e *Entry) tellHung(id string) { e.queueDoubt(&wire.Doubt{Id: id, Hung: true}) }

func (e *Entry) queueDoubt(d *wire.Doubt) {
	select {
	case e.doubts <- d:
	default:
	}
}

// doubtLoop tells one control instance, which tells the other entries, of
// endpoints that left a question or a request without an answer, until the context
// ends.
func (e *Entry) doubtLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-e.doubts:
			e.mu.Lock()
			link := e.links[e.primary.chosen]
			e.mu.Unlock()
			if link != nil {
				_ = link.send(doubtFrame(d)) // a link that fails is noticed where it is read
			}
		}
	}
}

// takeDoubts has endpoints asked that another entry missed an answer of, and has new
// flows avoid those that several entries say fail requests.
func (e *Entry) takeDoubts(d *wire.Doubts) {
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

// doubtBoard gathers what entries say of endpoints, so that all of it is told in few
// frames, and of each endpoint once.
type doubtBoard struct {
	now func() time.Time

	mu         sync.Mutex
	unanswered map[string]bool
	hung       map[string]bool
	toldAt     map[string]time.Time // of those that left a question without an answer
	some       notifier
}

func newDoubtBoard(now func() time.Time) *doubtBoard {
	return &doubtBoard{now: now, unanswered: map[string]bool{}, hung: map[string]bool{}, toldAt: map[string]time.Time{}}
}

// add has others told of an endpoint, unless they were told of the same a moment ago.
func (b *doubtBoard) add(d *wire.Doubt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	switch {
	case len(b.unanswered)+len(b.hung) >= doubtsMost:
		return
	case d.Hung:
		b.hung[d.Id] = true
	case !b.toldAt[d.Id].IsZero() && now.Sub(b.toldAt[d.Id]) < doubtAgain:
		return
	default:
		b.unanswered[d.Id], b.toldAt[d.Id] = true, now
	}
	b.some.notify()
}

// take returns the frame that tells of what has gathered, nil for nothing.
func (b *doubtBoard) take() *wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	maps.DeleteFunc(b.toldAt, func(_ string, at time.Time) bool { return now.Sub(at) >= doubtAgain })
	if len(b.unanswered)+len(b.hung) == 0 {
		return nil
	}
	told := &wire.Doubts{Unanswered: slices.Sorted(maps.Keys(b.unanswered)), Hung: slices.Sorted(maps.Keys(b.hung))}
	clear(b.unanswered)
	clear(b.hung)
	return pack(&wire.Frame{Body: &wire.Frame_Doubts{Doubts: told}}, packFast)
}

// doubtLoop tells the entries of this instance, and by the others theirs, of endpoints
// until the context ends.
func (c *Control) doubtLoop(ctx context.Context) error {
	some, cancel := c.doubts.some.subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-some:
		}
		if frame := c.doubts.take(); frame != nil {
			c.entries.spread(frame)
			c.peers.spread(frame)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(doubtGap):
		}
	}
}

// takeDoubt takes what an entry says of an endpoint. Others are told that it
// left a question without an answer, which each asks again by itself; that it fails
// requests that it took only once several entries have said so.
func (c *Control) takeDoubt(from *entryFeed, d *wire.Doubt) {
	if !d.Hung {
		c.doubts.add(d)
		return
	}
	now := c.config.Now()
	c.judging.Lock()
	verdict := c.outliers.Report(now, d.Id, from.name)
	c.judging.Unlock()
	if verdict {
		c.config.Log.Warn("endpoint fails requests", "endpoint", d.Id, "entry", from.name)
		c.doubts.add(d)
	}
}

// spread tells all entries that are linked. One that has not taken the frames before
// finds out for itself.
func (l *entryList) spread(frame *wire.Frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		select {
		case e.feed.doubts <- frame:
		default:
		}
	}
}

// doubtFrame returns the frame by which an entry tells of a doubt.
func doubtFrame(d *wire.Doubt) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Doubt{Doubt: d}}
}
