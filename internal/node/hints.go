package node

import (
	"context"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

const (
	// hintsName is the file that keeps hints.
	hintsName = "hints"
	// hintsEvery bounds how often hints are written: two syncs each time.
	hintsEvery = 250 * time.Millisecond
	// hintsRest is how many times as long as a write took none follows: what is written grows
	// with the fleet, and this bounds its part of the processor and of the disk.
	hintsRest = 20
)

// loadHints reads what was known before the restart, and fills the lists of
// endpoints and of entries with it; a damaged file is none.
func (c *Control) loadHints(files storage.Files) *wire.Hints {
	hints := &wire.Hints{}
	if _, err := storage.LoadMessage(files, hintsName, hints); err != nil {
		c.config.Log.Warn("hints cannot be read", "error", err)
		return &wire.Hints{}
	}
	c.audience.restore(hints.Entries)
	if hints.Reports == nil {
		return hints
	}
	c.endpoints.update(func(now time.Time, r *registry.Registry) {
		for _, e := range hints.Reports.Endpoints {
			e.AgeNanos = 0 // each gets a full round to be heard again
		}
		r.Merge(now, hints.Reports)
	})
	return hints
}

// hintsLoop writes hints when they have changed, beside the log's loop, which
// must not wait for it.
func (c *Control) hintsLoop(ctx context.Context) error {
	ticker := time.NewTicker(hintsEvery)
	defer ticker.Stop()
	var commit, number, entries uint64
	var rested time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		began := c.config.Now()
		if began.Before(rested) {
			continue
		}
		known, changed, audience := c.Status().Commit, c.endpoints.changed(), c.audience.revision()
		if known == commit && changed == number && audience == entries {
			continue
		}
		hints := &wire.Hints{Commit: known, Reports: c.endpoints.changesAfter(0), Entries: c.audience.addresses()}
		if err := c.saveHints(hints); err != nil {
			c.config.Log.Warn("hints not written", "error", err)
			continue
		}
		commit, number, entries = known, changed, audience
		wrote := c.config.Now()
		rested = wrote.Add(hintsRest * wrote.Sub(began))
	}
}

// saveHints replaces the file and returns once it lasts.
func (c *Control) saveHints(hints *wire.Hints) error {
	files, err := c.config.Files()
	if err != nil {
		return err
	}
	return storage.SaveMessage(files, hintsName, hints)
}
