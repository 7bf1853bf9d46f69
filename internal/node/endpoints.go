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
	now                 func() time.Time
	changes             notifier // a change that entries must know
	receipts            notifier // somebody confirmed something
	whole, brief, peers *batches // of what entries and other control instances are told

	mu        sync.Mutex
	registry  *registry.Registry
	confirmed map[string]uint64 // number by peer address
}

func newEndpointList(c ControlConfig) *endpointList {
	lines := newEndpointLines(c.Log)
	l := &endpointList{
		now: c.Now, registry: registry.New(registry.Config{HeartbeatPeriod: c.Beat, OnChange: lines.changed}, c.Now()), confirmed: map[string]uint64{},
	}
	l.whole = &batches{gap: feedGap, changes: &l.changes, reports: l.changesAfter, empty: nothingTold}
	l.brief = &batches{gap: briefGap, changes: &l.changes, reports: l.changesBrieflyAfter, empty: nothingTold}
	// Other control instances take the frame of a calm time for a sign of life.
	l.peers = &batches{gap: peerGap, every: frameEvery, changes: &l.changes, reports: l.beatsAfter, empty: func(*wire.Reports) bool { return false }}
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

// hear takes a heartbeat and returns the number of the change.
func (l *endpointList) hear(e registry.Endpoint) (number uint64) {
	l.update(func(now time.Time, r *registry.Registry) { number, _ = r.Heartbeat(now, e) })
	return number
}

// leave marks an incarnation as gone and returns the number of the change.
func (l *endpointList) leave(id string) (number uint64) {
	l.update(func(now time.Time, r *registry.Registry) { number = r.Leave(now, id) })
	return number
}

// merge takes the reports of another control instance.
func (l *endpointList) merge(reports *wire.Reports) {
	l.update(func(now time.Time, r *registry.Registry) { r.Merge(now, reports) })
}

// allHeard reports whether every endpoint has had the time to be heard.
func (l *endpointList) allHeard() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registry.Complete(l.now())
}

// changed returns the number of the last change that entries must know.
func (l *endpointList) changed() uint64 {
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
func (l *endpointList) changesAfter(number uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Changes(now, number) })
}

// changesBrieflyAfter returns what an entry must know of the changes after a
// number that somebody else tells it whole.
func (l *endpointList) changesBrieflyAfter(number uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.ChangeSummary(now, number) })
}

// records returns what is known of some endpoints.
func (l *endpointList) records(ids []string) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Records(now, ids) })
}

// lacking returns what an entry lacks whose digest is given.
func (l *endpointList) lacking(known registry.Digest) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Missing(now, known) })
}

// beatsAfter returns what the other control instances must know of the
// heartbeats and changes after a number.
func (l *endpointList) beatsAfter(number uint64) *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.PeerChanges(now, number) })
}

// confirm notes what the instance at an address holds; 0 after its link ended.
func (l *endpointList) confirm(address string, number uint64) {
	l.mu.Lock()
	l.confirmed[address] = number
	l.mu.Unlock()
	l.receipts.notify()
}

// await waits until enough of the instances at the addresses hold a change;
// the error, once the context ends, is of kind NoQuorum.
func (l *endpointList) await(ctx context.Context, number uint64, addresses []string, enough int) error {
	receipts, cancel := l.receipts.subscribe()
	defer cancel()
	for {
		if l.holders(number, addresses) >= enough {
			return nil
		}
		select {
		case <-receipts:
		case <-ctx.Done():
			return fault.New(fault.NoQuorum, "too few control instances hold the change")
		}
	}
}

// holders returns how many of the instances at the addresses hold a change.
func (l *endpointList) holders(number uint64, addresses []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, address := range addresses {
		if l.confirmed[address] >= number {
			n++
		}
	}
	return n
}

// view returns what an entry is told that begins to be told briefly.
func (l *endpointList) view() *wire.Reports {
	return l.read(func(now time.Time, r *registry.Registry) *wire.Reports { return r.Summary(now) })
}

// loop looks for silent endpoints until the context ends.
func (l *endpointList) loop(ctx context.Context) error {
	ticker := time.NewTicker(frameEvery)
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
func (l *endpointList) sweep(since time.Duration) {
	l.update(func(now time.Time, r *registry.Registry) {
		if late := since - frameEvery; late > frameEvery {
			r.AddStall(late)
		}
		r.Sweep(now)
	})
}
