package node

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
)

const (
	// callTimeout is how long an order or a leave may wait for its confirmation:
	// callers turn elsewhere after a second.
	callTimeout = 800 * time.Millisecond
	// leaderPollInterval is how often an order looks for a leader.
	leaderPollInterval = 40 * time.Millisecond
)

// Put offers a document and waits until it is committed, or its version is
// known not to be above the one in force. Where another instance leads, the
// error is of kind NotCurrent and elsewhere is that one's address for
// operators. Where nobody is known to lead, or too few answer within callMost,
// elsewhere is empty and the kind NotCurrent or NoQuorum; while the disk fails
// it is DataFolder.
func (c *Control) Put(ctx context.Context, doc *document.Document) (elsewhere string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := c.config.Now()
	elsewhere, err = c.retryWithoutLeader(ctx, func() (string, error) { return c.proposeDocument(ctx, doc) })
	observeSince(c.timings.order, c.config.Now, start, err)
	return elsewhere, err
}

// retryWithoutLeader asks until this instance or another one leads.
func (c *Control) retryWithoutLeader(ctx context.Context, ask func() (string, error)) (string, error) {
	for {
		elsewhere, err := ask()
		if err == nil || elsewhere != "" || fault.KindOf(err) != fault.NotCurrent {
			return elsewhere, err
		}
		select {
		case <-ctx.Done():
			return "", err
		case <-time.After(leaderPollInterval):
		}
	}
}

// proposeDocument proposes the document where this instance leads, and waits.
func (c *Control) proposeDocument(ctx context.Context, doc *document.Document) (elsewhere string, err error) {
	return c.propose(ctx, func(now time.Time, d *directory.Directory) (uint64, bool, error) { return d.Put(now, doc) })
}

// proposalResult is what came of an offer in the loop.
type proposalResult struct {
	elsewhere string
	err       error
}

// propose offers something to the log where this instance leads, and waits
// until it is committed. What the loop comes to only after the caller was turned
// away is not offered: it may be out of turn by then.
func (c *Control) propose(ctx context.Context, proposeIn func(now time.Time, d *directory.Directory) (index uint64, done bool, err error)) (elsewhere string, err error) {
	committed := make(chan bool, 1)
	result := &proposalResult{} // the loop's until the call returns without an error, and for good where it does not
	callErr := c.call(ctx, func(now time.Time, d *directory.Directory) {
		if ctx.Err() != nil {
			result.err = fault.New(fault.NoQuorum, "the caller has gone")
			return
		}
		index, done, proposeErr := proposeIn(now, d)
		switch {
		case proposeErr != nil:
			result.elsewhere, result.err = c.otherLeaderAddr(d), proposeErr
		case done:
			committed <- true
		default:
			c.pendingProposals[index] = committed
		}
	})
	if callErr != nil {
		return "", callErr
	}
	if result.err != nil {
		return result.elsewhere, result.err
	}
	select {
	case ok := <-committed:
		if !ok {
			return "", fault.New(fault.NoQuorum, "the leader changed while the order was under way")
		}
		return "", nil
	case <-ctx.Done():
		return "", fault.New(fault.NoQuorum, "too few control instances hold the order")
	}
}

// otherLeaderAddr returns where the other instance that leads takes orders.
func (c *Control) otherLeaderAddr(d *directory.Directory) string {
	if front := d.Front(d.Leader()); front != c.config.Front {
		return front
	}
	return ""
}

// Read returns the document in force, if it can be shown to be the newest;
// nil is that there is none yet. Elsewhere is as for Put.
func (c *Control) Read(ctx context.Context) (doc *document.Document, elsewhere string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	elsewhere, err = c.retryWithoutLeader(ctx, func() (string, error) {
		var read *document.Document
		result := &proposalResult{}
		callErr := c.call(ctx, func(now time.Time, d *directory.Directory) {
			if read, result.err = d.Read(now); result.err != nil {
				result.elsewhere = c.otherLeaderAddr(d)
			}
		})
		if callErr != nil {
			return "", callErr
		}
		doc = read
		return result.elsewhere, result.err
	})
	return doc, elsewhere, err
}

// Malformed takes that a call which is to name an endpoint names none: which field is
// wrong, and how.
func (c *Control) Malformed(id, field, detail string) {
	if dropped, ok := c.malformed.record(field); ok {
		c.config.Log.Warn("no endpoint named", "endpoint", id, "field", field, "error", detail, "left_out", dropped)
	}
}

// Heartbeat takes the heartbeat of an endpoint. That it is leaving is
// acknowledged only once a majority of the voters knows; the error where they
// do not within callMost is of kind NoQuorum.
func (c *Control) Heartbeat(ctx context.Context, e registry.Endpoint) error {
	revision := c.endpoints.heartbeat(e)
	if !e.Leaving {
		return nil
	}
	return c.awaitMajority(ctx, revision)
}

// Leave takes the message of an endpoint that it ends; it is acknowledged only
// once a majority of the voters knows; errors are as for Heartbeat.
func (c *Control) Leave(ctx context.Context, id string) error {
	return c.awaitMajority(ctx, c.endpoints.leave(id))
}

// awaitMajority waits until a majority of the voters, this instance counted if
// it is one, holds a change of the registry.
func (c *Control) awaitMajority(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status := c.Status()
	if len(status.Voters) == 0 {
		return fault.New(fault.NoQuorum, "no control instances are known yet")
	}
	enough := len(status.Voters)/2 + 1
	if slices.Contains(status.Voters, status.Self) {
		enough--
	}
	var others []string
	for _, id := range status.Voters {
		if id != status.Self {
			others = append(others, directory.AddressOf(id))
		}
	}
	start := c.config.Now()
	err := c.endpoints.awaitAcknowledgements(ctx, revision, others, enough)
	observeSince(c.timings.leave, c.config.Now, start, err)
	return err
}
