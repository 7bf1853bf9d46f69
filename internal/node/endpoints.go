package node

import (
	"context"
	"sync"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// endpointList is the registry of a control instance with what the others
// have confirmed to hold of it.
type endpointList struct {
	now                                      func() time.Time
	changes                                  notifier  // a change that entries must know
	acknowledgements                         notifier  // somebody confirmed something
	fullBatches, summaryBatches, peerBatches *batchLog // of what entries and other control instances are told

	mu           sync.Mutex
	registry     *registry.Registry
	acknowledged map[string]uint64 // number by peer address
}

func newEndpointList(c ControlConfig) *endpointList {
	changeLog := newEndpointLog(c.Log)
	l := &endpointList{
		now: c.Now, registry: registry.New(registry.Config{HeartbeatPeriod: c.Beat, OnChange: changeLog.logChange}, c.Now()), acknowledged: map[string]uint64{},
	}
	l.fullBatches = &batchLog{delay: fullBatchDelay, changes: &l.changes, collect: l.changesAfter, isEmpty: nothingForEntry}
	l.summaryBatches = &batchLog{delay: summaryBatchDelay, changes: &l.changes, collect: l.changeSummaryAfter, isEmpty: nothingForEntry}
	// Other control instances take the frame of a calm time for a sign of life.
	l.peerBatches = &batchLog{delay: peerBatchDelay, interval: frameInterval, changes: &l.changes, collect: l.peerChangesAfter, isEmpty: func(*wire.Reports) bool { return false }}
	return l
}

// setRelay has other control instances told on of what they told, or not.
func (l *endpointList) setRelay(relays bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.registry.SetRelay(relays)
}

// update changes the registry and wakes the senders if entries must know.
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

// heartbeat takes a heartbeat and returns the number of the change.
func (l *endpointList) heartbeat(e registry.Endpoint) (revision uint64) {
	l.update(func(now time.Time, r *registry.Registry) { revision, _ = r.Heartbeat(now, e) })
	return revision
}

// leave marks an incarnation as gone and returns the number of the change.
func (l *endpointList) leave(id string) (revision uint64) {
	l.update(func(now time.Time, r *registry.Registry) { revision = r.Leave(now, id) })
	return revision
}

// merge takes the reports of another control instance.
func (l *endpointList) merge(reports *wire.Reports) {
	l.update(func(now time.Time, r *registry.Registry) { r.Merge(now, reports) })
}

// complete reports whether every endpoint has had the time to be heard.
func (l *endpointList) complete() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Complete(l.now())
}

// lastChange returns the number of the last change that entries must know.
func (l *endpointList) lastChange() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.LastChange()
}

// read reports of the registry while nothing changes it.
func (l *endpointList) read(reports func(now time.Time, r *registry.Registry) *wire.Reports) *wire.Reports {
	l.mu.Lock()
	defer l.mu.Unlock()
	return reports(l.now(), l.registry)
}

// changesAfter returns what entries must know of the changes after a number.
func (l *endpointList) changesAfter(revision uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Changes(now, revision) })
}

// changeSummaryAfter returns what an entry must know of the changes after a
// number that somebody else tells it whole.
func (l *endpointList) changeSummaryAfter(revision uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.ChangeSummary(now, revision) })
}

// records returns what is known of some endpoints.
func (l *endpointList) records(ids []string) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Records(now, ids) })
}

// missing returns what an entry lacks whose digest is given.
func (l *endpointList) missing(known registry.Digest) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Missing(now, known) })
}

// peerChangesAfter returns what the other control instances must know of the
// heartbeats and changes after a number.
func (l *endpointList) peerChangesAfter(revision uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.PeerChanges(now, revision) })
}

// acknowledge notes what the instance at an address holds; 0 after its link ended.
func (l *endpointList) acknowledge(address string, revision uint64) {
	l.mu.Lock()
	l.acknowledged[address] = revision
	l.mu.Unlock()
	l.acknowledgements.notify()
}

// awaitAcknowledgements waits until enough of the instances at the addresses hold a change;
// the error, once the context ends, is of kind NoQuorum.
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
			return fault.New(fault.NoQuorum, "too few control instances hold the change")
		}
	}
}

// countAcknowledged returns how many of the instances at the addresses hold a change.
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

// summary returns what an entry is told that begins to be told briefly.
func (l *endpointList) summary() *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Summary(now) })
}

// loop looks for silent endpoints until the context ends.
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

// sweep looks for silent endpoints, a span after it did so last. What of it this process
// was late says nothing of them.
func (l *endpointList) sweep(elapsed time.Duration) {
	l.update(func(now time.Time, r *registry.Registry) {
		if late := elapsed - frameInterval; late > frameInterval {
			r.AddStall(late)
		}
		r.Sweep(now)
	})
}
