package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// endpointList is the endpoint registry of a control instance. It also tracks which revisions
// of the registry the peers have acknowledged. It is safe for concurrent use.
type endpointList struct {
	now              func() time.Time
	changes          notifier // of changes of the registry that matter to entries
	acknowledgements notifier // of acknowledgements by peers
	// Batches for entries that receive records, for entries that receive only summaries, and
	// for peers.
	fullBatches, summaryBatches, peerBatches *batchLog

	mu           sync.Mutex
	registry     *registry.Registry
	acknowledged map[string]uint64 // revision by peer address
}

func newEndpointList(c ControlConfig) *endpointList {
	changeLog := newEndpointLog(c.Log)
	l := &endpointList{
		now: c.Now, registry: registry.New(registry.Config{HeartbeatPeriod: c.HeartbeatInterval, OnChange: changeLog.logChange}, c.Now()), acknowledged: map[string]uint64{},
	}
	l.fullBatches = &batchLog{delay: fullBatchDelay, changes: &l.changes, collect: l.changesAfter, isEmpty: nothingForEntry}
	l.summaryBatches = &batchLog{delay: summaryBatchDelay, changes: &l.changes, collect: l.changeSummaryAfter, isEmpty: nothingForEntry}
	// Empty batches are sent too, since they advance the revision that peers acknowledge.
	l.peerBatches = &batchLog{delay: peerBatchDelay, interval: frameInterval, changes: &l.changes, collect: l.peerChangesAfter, isEmpty: func(*wire.Reports) bool { return false }}
	return l
}

// setRelay sets whether reports of peers are forwarded to other peers.
func (l *endpointList) setRelay(relays bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registry.SetRelay(relays)
}

// update changes the registry, and notifies subscribers if the change matters to entries.
func (l *endpointList) update(change func(now time.Time, r *registry.Registry)) {
	l.mu.Lock()
	before := l.registry.LastChange()
	change(l.now(), l.registry)
	changed := l.registry.LastChange() != before
	l.mu.Unlock()
	if changed {
		l.changes.notify()
	}
}

// heartbeat records a heartbeat and returns the revision of the change.
func (l *endpointList) heartbeat(e registry.Endpoint) (revision uint64) {
	l.update(func(now time.Time, r *registry.Registry) { revision, _ = r.Heartbeat(now, e) })
	return revision
}

// leave marks an incarnation as gone and returns the revision of the change.
func (l *endpointList) leave(id string) (revision uint64) {
	l.update(func(now time.Time, r *registry.Registry) { revision = r.Leave(now, id) })
	return revision
}

// merge applies the reports of a peer.
func (l *endpointList) merge(reports *wire.Reports) {
	l.update(func(now time.Time, r *registry.Registry) { r.Merge(now, reports) })
}

// complete reports whether every live endpoint has had time to send a heartbeat.
func (l *endpointList) complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Complete(l.now())
}

// lastChange returns the revision of the last change that matters to entries.
func (l *endpointList) lastChange() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.LastChange()
}

// read calls reports with the registry while holding the lock.
func (l *endpointList) read(reports func(now time.Time, r *registry.Registry) *wire.Reports) *wire.Reports {
	l.mu.Lock()
	defer l.mu.Unlock()
	return reports(l.now(), l.registry)
}

// changesAfter returns, for an entry, the changes after a revision.
func (l *endpointList) changesAfter(revision uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Changes(now, revision) })
}

// changeSummaryAfter returns a summary of the changes after a revision, for an entry that
// receives the records from another control instance.
func (l *endpointList) changeSummaryAfter(revision uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.ChangeSummary(now, revision) })
}

// records returns the records of the given endpoints.
func (l *endpointList) records(ids []string) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Records(now, ids) })
}

// missing returns the records that an entry with the given digest lacks.
func (l *endpointList) missing(known registry.Digest) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Missing(now, known) })
}

// peerChangesAfter returns, for a peer, the heartbeats and changes after a revision.
func (l *endpointList) peerChangesAfter(revision uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.PeerChanges(now, revision) })
}

// acknowledge records the revision that the peer at an address has acknowledged; 0, passed when
// the link ends, resets it.
func (l *endpointList) acknowledge(address string, revision uint64) {
	l.mu.Lock()
	l.acknowledged[address] = revision
	l.mu.Unlock()
	l.acknowledgements.notify()
}

// awaitAcknowledgements waits until enough of the peers at the addresses have acknowledged a
// revision. If ctx is done first, the error is of kind NoQuorum.
func (l *endpointList) awaitAcknowledgements(ctx context.Context, revision uint64, addresses []string, enough int) error {
	acknowledgements, cancel := l.acknowledgements.subscribe()
	defer cancel()
	for {
		if l.countAcknowledged(revision, addresses) >= enough {
			return nil
		}
		select {
		case <-acknowledgements:
		case <-ctx.Done():
			return fault.New(fault.NoQuorum, "too few control instances acknowledged the change")
		}
	}
}

// countAcknowledged returns how many of the peers at the addresses have acknowledged a
// revision.
func (l *endpointList) countAcknowledged(revision uint64, addresses []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, address := range addresses {
		if l.acknowledged[address] >= revision {
			n++
		}
	}
	return n
}

// summary returns the digest and the silent endpoints, for an entry that receives only
// summaries from now on.
func (l *endpointList) summary() *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Summary(now) })
}

// loop sweeps the registry until the context is done.
func (l *endpointList) loop(ctx context.Context) error {
	ticker := time.NewTicker(frameInterval)
	defer ticker.Stop()
	last := l.now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			now := l.now()
			l.sweep(now.Sub(last))
			last = now
		}
	}
}

// sweep marks endpoints without recent heartbeats as silent. elapsed is the time since the
// previous sweep: if this process was paused meanwhile, the pause does not count against the
// endpoints.
func (l *endpointList) sweep(elapsed time.Duration) {
	l.update(func(now time.Time, r *registry.Registry) {
		if late := elapsed - frameInterval; late > frameInterval {
			r.AddStall(late)
		}
		r.Sweep(now)
	})
}
