package node

import (
	"context"
	"slices"
	"time"
	"unicode/utf8"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/fault"
)

const (
	// stallThreshold is how long the loop must have been stalled for evacuation orders to be
	// rejected afterwards. It exceeds a slow sync, and is below the second after which
	// callers try another instance.
	stallThreshold = 600 * time.Millisecond
	// rejectAfterStall is how long evacuation orders are rejected after a stall: until all
	// orders that arrived during the stall have been read. Their callers have sent them to
	// other instances already, and perhaps a contrary order since.
	rejectAfterStall = time.Second
	// disconnectWait delays an order before it is proposed, to detect that the caller has
	// already disconnected: if a network partition delayed the order, the end of the
	// connection arrives right after it. Orders have no ID or deadline that would distinguish a
	// late one from a new one.
	disconnectWait = 2 * time.Millisecond
)

// Evacuate keeps new flows off the endpoints of a failure domain, or ends that, and waits
// until the order is committed. elsewhere and err are as for Put; the kind is NotFound if the
// failure domain is unknown.
func (c *Control) Evacuate(ctx context.Context, o evacuation.Order) (elsewhere string, err error) {
	start := c.config.Now()
	c.config.Log.Info("evacuation ordered", "order", o)
	if !c.mayExist(o.Domain) {
		err = fault.New(fault.NotFound, "unknown failure domain %q, expected one of %v", o.Domain, c.config.Domains)
	} else {
		elsewhere, err = c.evacuateDomain(ctx, o)
	}
	observeSince(c.timings.evacuation, c.config.Now, start, err)
	c.config.Log.Info("evacuation answered", "order", o, "took", c.config.Now().Sub(start), "elsewhere", elsewhere, "error", err)
	return elsewhere, err
}

// mayExist reports whether there may be a failure domain of a name. Names that are not UTF-8
// cannot be logged.
func (c *Control) mayExist(domain string) bool {
	if len(c.config.Domains) == 0 {
		return utf8.ValidString(domain)
	}
	return slices.Contains(c.config.Domains, domain)
}

// evacuateDomain proposes an order for a known failure domain.
func (c *Control) evacuateDomain(ctx context.Context, o evacuation.Order) (elsewhere string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return "", fault.New(fault.NoQuorum, "the caller has disconnected")
	case <-time.After(disconnectWait):
	}
	return c.retryWithoutLeader(ctx, func() (string, error) {
		return c.propose(ctx, func(now time.Time, d *directory.Directory) (uint64, bool, error) {
			if now.Before(c.resumedAt.Add(rejectAfterStall)) {
				return 0, false, fault.New(fault.NoQuorum, "this instance was stalled, and the order may be outdated")
			}
			return d.Evacuate(now, o)
		})
	})
}

// detectStall is called in each iteration of the loop and records if the loop was stalled
// since the previous one.
func (c *Control) detectStall(now time.Time) {
	if !c.lastIterationAt.IsZero() && now.Sub(c.lastIterationAt) > stallThreshold {
		c.resumedAt = now
	}
	c.lastIterationAt = now
}
