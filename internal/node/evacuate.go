package node

import (
	"context"
	"slices"
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/fault"
)

const (
	// stallThreshold is how long the loop must have stood still for orders about
	// evacuations to be turned away afterwards: well above a slow sync, and
	// below the second after which callers turn elsewhere, so that whoever was
	// not answered meanwhile has sent the order again.
	stallThreshold = 600 * time.Millisecond
	// rejectAfterStall is for how long they are turned away: by then all that came
	// in meanwhile has been read.
	rejectAfterStall = time.Second
	// disconnectWait is how long an order is held before it is offered, to see
	// whether its caller has hung up already: of an order that a cut held back,
	// the end of the connection comes behind it. An order has no id and no time
	// by which a late one could be told from a new one.
	disconnectWait = 2 * time.Millisecond
)

// Evacuate has nothing further sent to the endpoints of a failure domain, or ends
// that; it waits until the order is committed. Elsewhere and errors are as for
// Put; the kind is NotFound where no such failure domain is known.
func (c *Control) Evacuate(ctx context.Context, o evacuation.Order) (elsewhere string, err error) {
	start := c.config.Now()
	c.config.Log.Info("evacuation ordered", "order", o)
	if len(c.config.Domains) > 0 && !slices.Contains(c.config.Domains, o.Domain) {
		err = fault.New(fault.NotFound, "failure domain %q is not known; there are %v", o.Domain, c.config.Domains)
	} else {
		elsewhere, err = c.evacuateDomain(ctx, o)
	}
	observeSince(c.timings.evacuation, c.config.Now, start, err)
	c.config.Log.Info("evacuation answered", "order", o, "took", c.config.Now().Sub(start), "elsewhere", elsewhere, "error", err)
	return elsewhere, err
}

// evacuateDomain offers an order about a failure domain that is known.
func (c *Control) evacuateDomain(ctx context.Context, o evacuation.Order) (elsewhere string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-ctx.Done():
		return "", fault.New(fault.NoQuorum, "the caller has gone")
	case <-time.After(disconnectWait):
	}
	return c.retryWithoutLeader(ctx, func() (string, error) {
		return c.propose(ctx, func(now time.Time, d *directory.Directory) (uint64, bool, error) {
			if now.Before(c.resumedAt.Add(rejectAfterStall)) {
				return 0, false, fault.New(fault.NoQuorum, "this instance stood still, and the order may have waited meanwhile")
			}
			return d.Evacuate(now, o)
		})
	})
}

// detectStall notes, at each turn of the loop, whether it stood still since
// the one before.
func (c *Control) detectStall(now time.Time) {
	if !c.lastTurnAt.IsZero() && now.Sub(c.lastTurnAt) > stallThreshold {
		c.resumedAt = now
	}
	c.lastTurnAt = now
}
