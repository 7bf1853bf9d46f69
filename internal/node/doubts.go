package node

import (
	"context"

	"oxbowsaddle/internal/wire"
)

// tell queues that other entries are told of an endpoint, without waiting; where
// the queue is full they find out for themselves.
func (e *Entry) tell(id string) {
	select {
	case e.doubts <- id:
	default:
	}
}

// doubtLoop tells one control instance, which tells the other entries, of
// endpoints that left a question without an answer, until the context ends.
func (e *Entry) doubtLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case id := <-e.doubts:
			e.mu.Lock()
			link := e.links[e.primary.chosen]
			e.mu.Unlock()
			if link != nil {
				_ = link.send(doubtFrame(id)) // a link that fails is noticed where it is read
			}
		}
	}
}

// takeDoubt has an endpoint asked that another entry missed an answer of.
func (e *Entry) takeDoubt(id string) {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steerer.Doubted(now, id)
}

// spread tells all entries but one of an endpoint. One that has not taken the
// doubts before finds out for itself.
func (l *entryList) spread(from *entryFeed, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.entries {
		if e.feed == from {
			continue
		}
		select {
		case e.feed.doubts <- id:
		default:
		}
	}
}

// doubtFrame returns the frame that tells of a doubt.
func doubtFrame(id string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Doubt{Doubt: &wire.Doubt{Id: id}}}
}
