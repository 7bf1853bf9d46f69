package node

import (
	"context"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

const (
	// hintsFile is the file that keeps hints.
	hintsFile = "hints"
	// hintsInterval bounds how often hints are written: two syncs each time.
	hintsInterval = 250 * time.Millisecond
	// hintsPauseFactor is how many times as long as a write took none follows: what is written grows
	// with the fleet, and this bounds its part of the processor and of the disk.
	hintsPauseFactor = 20
)

// loadHints reads what was known before the restart, and fills the lists of
// endpoints and of entries with it; a damaged file is none.
func (c *Control) loadHints(files storage.Files) *wire.Hints {
	hints := &wire.Hints{}
	if _, err := storage.LoadMessage(files, hintsFile, hints); err != nil {
		c.config.Log.Warn("hints cannot be read", "error", err)
		return &wire.Hints{}
	}
	c.announceTargets.restore(hints.Entries)
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
	ticker := time.NewTicker(hintsInterval)
	defer ticker.Stop()
	var savedCommit, savedRevision, savedEntries uint64
	var pauseEnd time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		start := c.config.Now()
		if start.Before(pauseEnd) {
			continue
		}
		commit, revision, entries := c.Status().Commit, c.endpoints.lastChange(), c.announceTargets.revision()
		if commit == savedCommit && revision == savedRevision && entries == savedEntries {
			continue
		}
		hints := &wire.Hints{Commit: commit, Reports: c.endpoints.changesAfter(0), Entries: c.announceTargets.addresses()}
		if err := c.saveHints(hints); err != nil {
			c.config.Log.Warn("hints not written", "error", err)
			continue
		}
		savedCommit, savedRevision, savedEntries = commit, revision, entries
		finished := c.config.Now()
		pauseEnd = finished.Add(hintsPauseFactor * finished.Sub(start))
	}
}

// saveHints replaces the file and returns once it lasts.
func (c *Control) saveHints(hints *wire.Hints) error {
	files, err := c.config.Files()
	if err != nil {
		return err
	}
	return storage.SaveMessage(files, hintsFile, hints)
}
