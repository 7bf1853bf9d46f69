package node

import (
	"context"

	"oxbowsaddle/internal/wire"
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

// takeDoubt has an endpoint asked that another entry missed an answer of, or new
// flows avoid one that several entries say fails requests.
func (e *Entry) takeDoubt(d *wire.Doubt) {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !d.Hung {
		e.steerer.Doubted(now, d.Id)
	} else if e.steerer.TakeHung(now, d.Id) {
		e.config.Log.Warn("endpoint avoided", "endpoint", d.Id, "why", "several entries say that it fails requests")
	}
}

// takeDoubt takes what an entry says of an endpoint. Others are told at once that it
// left a question without an answer, which each asks again by itself; that it fails
// requests that it took only once several entries have said so.
func (c *Control) takeDoubt(from *entryFeed, d *wire.Doubt) {
	if !d.Hung {
		c.entries.spread(from, d)
		return
	}
	now := c.config.Now()
	c.judging.Lock()
	verdict := c.outliers.Report(now, d.Id, from.name)
	c.judging.Unlock()
	if verdict {
		c.config.Log.Warn("endpoint fails requests", "endpoint", d.Id, "entry", from.name)
		c.entries.spread(nil, d)
	}
}

// spread tells all entries but one of an endpoint. One that has not taken the
// doubts before finds out for itself.
func (l *entryList) spread(from *entryFeed, d *wire.Doubt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.feed == from {
			continue
		}
		select {
		case e.feed.doubts <- d:
		default:
		}
	}
}

// doubtFrame returns the frame that tells of a doubt.
func doubtFrame(d *wire.Doubt) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Doubt{Doubt: d}}
}
