package demo

import (
	"context"
	"sync"
	"time"
)

const (
	// downFor is how long an instance that was killed stays down.
	downFor = 3 * time.Second
	// cutFor is how long a failure domain stays cut off: longer than it waits before it
	// serves by itself.
	cutFor = 6 * time.Second
)

type (
	// outage is an entry that was killed and starts again.
	outage struct {
		fleet *fleet
		entry string // name
	}

	// domainCut is a failure domain that is cut off and comes back.
	domainCut struct {
		fleet  *fleet
		domain string
	}

	// callerWait tells when all callers have ended.
	callerWait struct {
		callers *sync.WaitGroup
		done    chan<- struct{}
	}
)

// run starts the entry again after a while.
func (o outage) run(ctx context.Context) {
	time.Sleep(downFor)
	if ctx.Err() == nil {
		_ = o.fleet.start(ctx, o.entry)
	}
}

// run has the failure domain come back after a while.
func (c domainCut) run(ctx context.Context) {
	select {
	case <-time.After(cutFor):
	case <-ctx.Done():
	}
	c.fleet.ledger.Unplanned()
	c.fleet.cutOff(c.domain, false)
}

// run waits for the callers.
func (w callerWait) run() {
	w.callers.Wait()
	close(w.done)
}
