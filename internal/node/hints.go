package node

import (
	"context"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

const (
	// hintsFile is the name of the file with hints: state that speeds up a restart and may be
	// lost.
	hintsFile = "hints"
	// hintsInterval is the minimum time between two writes, each of which takes two syncs.
	hintsInterval = 250 * time.Millisecond
	// hintsPauseFactor is the ratio of the pause after a write to the duration of the write.
	// It bounds the load on the processor and the disk, since the size of the hints grows
	// with the fleet.
	hintsPauseFactor = 20
)

// loadHints reads the hints and initializes the lists of endpoints and of entries with them.
// A damaged file counts as empty.
func (c *Control) loadHints(files storage.Files) *wire.Hints {
	hints := &wire.Hints{}
	if _, err := storage.LoadMessage(files, hintsFile, hints); err != nil {
		c.config.Log.Warn("cannot read hints", "error", err)
		return &wire.Hints{}
	}
	c.announceTargets.restore(hints.Entries)
	if hints.Reports == nil {
		return hints
	}
	c.endpoints.update(func(now time.Time, r *registry.Registry) {
		for _, e := range hints.Reports.Endpoints {
			e.AgeNanos = 0 // each endpoint gets the full time to send a heartbeat
		}
		r.Merge(now, hints.Reports)
	})
	return hints
}

// hintsLoop writes the hints after changes. It runs in a goroutine of its own, so that
// Control.loop does not wait for these writes.
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
			c.config.Log.Warn("cannot write hints", "error", err)
			continue
		}
		savedCommit, savedRevision, savedEntries = commit, revision, entries
		finished := c.config.Now()
		pauseEnd = finished.Add(hintsPauseFactor * finished.Sub(start))
	}
}

// saveHints replaces the hints file durably.
func (c *Control) saveHints(hints *wire.Hints) error {
	files, err := c.config.OpenFiles()
	if err != nil {
		return err
	}
	return storage.SaveMessage(files, hintsFile, hints)
}
