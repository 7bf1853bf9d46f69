package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
)

const (
	// callTimeout is how long an order or a leave may wait to be acknowledged. It is below
	// the second after which callers try another instance.
	callTimeout = 800 * time.Millisecond
	// leaderPollInterval is the time between two attempts at an order while no leader is
	// known.
	leaderPollInterval = 40 * time.Millisecond
	// maxLoggedIDLength is how many characters of a malformed call's endpoint ID are logged.
	maxLoggedIDLength = 64
)

// Put proposes a document and waits until it is committed, or until the version in force is
// known to be at least as high. If another instance leads, err is of kind NotCurrent and
// elsewhere is the address for operators of that instance. If no leader is known, or too few
// instances respond within callTimeout, elsewhere is empty and err is of kind NotCurrent or
// NoQuorum. While the disk has failed, err is of kind DataFolder.
func (c *Control) Put(ctx context.Context, doc *document.Document) (elsewhere string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := c.config.Now()
	elsewhere, err = c.retryWithoutLeader(ctx, func() (string, error) { return c.proposeDocument(ctx, doc) })
	observeSince(c.timings.order, c.config.Now, start, err)
	return elsewhere, err
}

// retryWithoutLeader calls ask, and repeats the call while it fails because no leader is
// known.
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

// proposeDocument proposes a document if this instance leads, and waits until it is
// committed.
func (c *Control) proposeDocument(ctx context.Context, doc *document.Document) (elsewhere string, err error) {
	return c.propose(ctx, func(now time.Time, d *directory.Directory) (uint64, bool, error) { return d.Put(now, doc) })
}

// proposalResult is the error of an order or a read that was rejected in the loop, with the
// address of the leader if another instance leads.
type proposalResult struct {
	elsewhere string
	err       error
}

// propose runs proposeIn in the loop and waits until its proposal is committed. If the caller
// has given up before the loop runs proposeIn, nothing is proposed: the order may be outdated by
// then.
func (c *Control) propose(ctx context.Context, proposeIn func(now time.Time, d *directory.Directory) (index uint64, done bool, err error)) (elsewhere string, err error) {
	committed := make(chan bool, 1)
	// result is written by the loop. It is read only if call succeeds, as the loop may still
	// write to it otherwise.
	result := &proposalResult{}
	callErr := c.call(ctx, func(now time.Time, d *directory.Directory) {
		if ctx.Err() != nil {
			result.err = fault.New(fault.NoQuorum, "the caller has disconnected")
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
			return "", fault.New(fault.NoQuorum, "the leader changed before the order was committed")
		}
		return "", nil
	case <-ctx.Done():
		return "", fault.New(fault.NoQuorum, "too few control instances acknowledged the order")
	}
}

// otherLeaderAddr returns the address for operators of the leader, "" if no other instance
// leads.
func (c *Control) otherLeaderAddr(d *directory.Directory) string {
	if front := d.Front(d.Leader()); front != c.config.Front {
		return front
	}
	return ""
}

// Read returns the document in force if it is certain to be the newest, nil if there is no
// document yet. elsewhere and err are as for Put.
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

// Malformed counts and logs a call that does not identify an endpoint. field is the malformed
// field, and detail says why it is malformed. The id is logged with escapes, since it may contain
// any bytes.
func (c *Control) Malformed(id, field, detail string) {
	if dropped, ok := c.malformed.record(field); ok {
		c.config.Log.Warn("no endpoint named", "endpoint", fmt.Sprintf("%.*q", maxLoggedIDLength, id), "field", field, "error", detail, "left_out", dropped)
	}
}

// Heartbeat records the heartbeat of an endpoint. If the endpoint is leaving, Heartbeat waits
// until a majority of the voters has acknowledged that; the error is of kind NoQuorum if that
// takes longer than callTimeout. If the endpoint is invalid, the error is of kind InvalidChange,
// and nothing is recorded.
func (c *Control) Heartbeat(ctx context.Context, e registry.Endpoint) error {
	if err := e.Validate(); err != nil {
		return err
	}
	revision := c.endpoints.heartbeat(e)
	if !e.Leaving {
		return nil
	}
	return c.awaitMajority(ctx, revision)
}

// Leave records that an endpoint has ended, and waits until a majority of the voters has
// acknowledged that. The error is as for Heartbeat.
func (c *Control) Leave(ctx context.Context, id string) error {
	if err := (registry.Endpoint{ID: id}).Validate(); err != nil {
		return err
	}
	return c.awaitMajority(ctx, c.endpoints.leave(id))
}

// awaitMajority waits until a majority of the voters, including this instance if it is one,
// has acknowledged a revision of the registry.
func (c *Control) awaitMajority(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status := c.Status()
	if len(status.Voters) == 0 {
		return fault.New(fault.NoQuorum, "no voters are known yet")
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
