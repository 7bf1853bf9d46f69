package demo

import (
	"context"
	"sync"
	"time"
)

const (
	// downtime is how long an instance that was killed stays down.
	downtime = 3 * time.Second
	// partitionDuration is how long a failure domain stays cut off: longer than it waits before it
	// serves by itself.
	partitionDuration = 6 * time.Second
)

type (
	// restart is an entry that was killed and starts again.
	restart struct {
		fleet *fleet
		entry string // name
	}

	// partition is a failure domain that is cut off and comes back.
	partition struct {
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
func (o restart) run(ctx context.Context) {
	time.Sleep(downtime)
	if ctx.Err() == nil {
		_ = o.fleet.start(ctx, o.entry)
	}
}

// run has the failure domain come back after a while.
func (c partition) run(ctx context.Context) {
	select {
	case <-time.After(partitionDuration):
	case <-ctx.Done():
	}
	c.fleet.ledger.RecordUnplannedEvent()
	c.fleet.setPartitioned(c.domain, false)
}

// run waits for the callers.
func (w callerWait) run() {
	w.callers.Wait()
	close(w.done)
}
