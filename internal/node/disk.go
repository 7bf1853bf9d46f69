package node

import (
	"math/rand/v2"
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
)

const (
	// compactThreshold is the size of the log file in bytes from which on a snapshot may be taken.
	compactThreshold = 1 << 20
	// reopenDelay is the pause before a failed disk is opened again.
	reopenDelay = 250 * time.Millisecond
)

// openDisk loads the state from the data folder and creates the directory. If that fails,
// tick calls it again later.
func (c *Control) openDisk(now time.Time) {
	c.reopenAt = now.Add(reopenDelay)
	files, err := c.config.OpenFiles()
	if err != nil {
		c.config.Log.Error("cannot open data folder", "error", err)
		return
	}
	if c.diskFailed && !isWritable(files) {
		return
	}
	identity, err := loadIdentity(files, c.config)
	if err != nil {
		c.config.Log.Error("cannot load or save identity", "error", err)
		return
	}
	store, loaded, err := storage.Open(files)
	if err != nil {
		c.config.Log.Error("cannot open log", "error", err, "next", fault.KindOf(err).Answer().NextStep())
		return
	}
	d, err := directory.New(directory.Config{
		Self: identity.Id, Address: c.config.PeerAddr.String(), Front: c.config.Front, Domain: c.config.Domain,
		Founders: identity.Founders, Voters: c.config.Voters, Committed: c.loadHints(files).Commit,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}, now, loaded)
	if err != nil {
		c.config.Log.Error("cannot use log", "error", err)
		return
	}
	c.store, c.directory, c.diskFailed = store, d, false
	c.config.Log.Info("log opened", "id", identity.Id, "founders", identity.Founders, "entries", len(loaded.Entries),
		"term", loaded.HardState.Term, "torn", loaded.Torn)
}

// isWritable reports whether a disk that failed is writable again, which a successful read does
// not show. It logs nothing, since the failure has been logged already.
func isWritable(files storage.Files) bool { return storage.Probe(files) == nil }

// closeDisk drops all state of the disk until it can be opened again, as after a crash.
func (c *Control) closeDisk(now time.Time) {
	_ = c.store.Close() // the disk has failed already
	c.store, c.directory, c.diskFailed, c.reopenAt = nil, nil, true, now.Add(reopenDelay)
	c.status.Store(&timedStatus{})
	for index := range c.pendingProposals {
		c.resolveProposal(index, false)
	}
}

// persist writes the log entries that must be on disk before anything is sent. It takes a
// snapshot when compactionDue.
func (c *Control) persist(ready directory.Ready) error {
	if s := ready.Log.Snapshot; s != nil {
		if err := c.store.SaveSnapshot(s, ready.Log.HardState, nil); err != nil {
			return err
		}
	}
	if ready.Log.Record != nil {
		if err := c.store.Append(ready.Log.Record); err != nil {
			return err
		}
	}
	if !compactionDue(c.store.Size(), c.store.TailSize()) {
		return nil
	}
	snapshot, hard, after, err := c.directory.Compact()
	if err != nil || snapshot == nil {
		return err
	}
	return c.store.SaveSnapshot(snapshot, hard, after)
}

// compactionDue reports whether to take a snapshot at the given size of the log file and its
// size right after the last snapshot, both in bytes. A log that is mostly entries that no
// snapshot can cover yet must double first: otherwise each record would rewrite all of them.
func compactionDue(size, tailSize int64) bool { return size >= max(compactThreshold, 2*tailSize) }
