package demo

import (
	"context"
	"sync"
	"time"
)

const (
	// downtime is how long a killed instance stays down.
	downtime = 3 * time.Second
	// partitionDuration is how long a failure domain stays cut off: long enough
	// for its entries to begin to serve on their own.
	partitionDuration = 6 * time.Second
)

type (
	// delayedRestart restarts a killed entry after downtime.
	delayedRestart struct {
		fleet *fleet
		entry string // name
	}

	// delayedRejoin reconnects a failure domain after partitionDuration.
	delayedRejoin struct {
		fleet  *fleet
		domain string
	}

	// clientWait closes done when all clients have ended.
	clientWait struct {
		clients *sync.WaitGroup
		done    chan<- struct{}
	}
)

func (d delayedRestart) run(ctx context.Context) {
	time.Sleep(downtime)
	if ctx.Err() == nil {
		_ = d.fleet.start(ctx, d.entry)
	}
}

func (d delayedRejoin) run(ctx context.Context) {
	select {
	case <-time.After(partitionDuration):
	case <-ctx.Done():
	}
	d.fleet.recorder.RecordUnplannedEvent()
	d.fleet.setPartitioned(d.domain, false)
}

func (w clientWait) run() {
	w.clients.Wait()
	close(w.done)
}
