package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"oxbowsaddle/internal/registry"
)

const (
	// poolListInterval is how often the lists of pools are read from the registry. The allocator
	// reads them every 100 ms, and an endpoint that leaves must get no credit 200 ms later.
	poolListInterval = 50 * time.Millisecond
	// poolListIdleTime is how long a list is kept without a request for its pool.
	poolListIdleTime = 5 * time.Second
)

type (
	// poolLists holds the endpoints that accept new flows, of the pools that entries request
	// credits of. Requests do not wait for the registry: at 55,000 endpoints it is locked for
	// 15 ms by a sweep and for up to 45 ms by a complete list, and entries wait 10 ms for a
	// reply. It is safe for concurrent use.
	poolLists struct {
		endpoints *endpointList

		mu    sync.Mutex
		lists map[registry.Pool]poolList
	}

	// poolList is the list of one pool.
	poolList struct {
		accepting   []registry.Accepting // immutable
		requestedAt time.Time
	}
)

func newPoolLists(endpoints *endpointList) *poolLists {
	return &poolLists{endpoints: endpoints, lists: map[registry.Pool]poolList{}}
}

// request records that an entry has requested credits of a pool, and reports whether the pool
// is known, that is, has an endpoint record. A pool without a list is looked up at once, but
// counts as unknown while the registry is locked, so that no request waits.
func (l *poolLists) request(now time.Time, p registry.Pool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	list, found := l.lists[p]
	if !found {
		accepting, known := l.endpoints.tryAccepting(p)
		if !known {
			return false
		}
		list.accepting = accepting
	}
	list.requestedAt = now
	l.lists[p] = list
	return true
}

// get returns the endpoints of a pool, which the caller must not modify.
func (l *poolLists) get(p registry.Pool) []registry.Accepting {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lists[p].accepting
}

// refresh reads the lists again, and drops those without recent requests and those of pools that
// are no longer known.
func (l *poolLists) refresh(now time.Time) {
	l.mu.Lock()
	maps.DeleteFunc(l.lists, func(_ registry.Pool, list poolList) bool { return now.Sub(list.requestedAt) > poolListIdleTime })
	pools := slices.Collect(maps.Keys(l.lists))
	l.mu.Unlock()
	if len(pools) == 0 {
		return
	}
	read := l.endpoints.accepting(pools)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range pools {
		accepting, known := read[p]
		if !known {
			delete(l.lists, p)
			continue
		}
		l.lists[p] = poolList{accepting, l.lists[p].requestedAt}
	}
}

// loop refreshes the lists until the context is done.
func (l *poolLists) loop(ctx context.Context) error {
	ticker := time.NewTicker(poolListInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			l.refresh(l.endpoints.now())
		}
	}
}

// tryAccepting returns the endpoints of a pool that accept new flows, which the caller must not
// modify, and whether there is a record of the pool. It returns nothing while the registry is
// locked.
func (l *endpointList) tryAccepting(p registry.Pool) ([]registry.Accepting, bool) {
	if !l.mu.TryLock() {
		return nil, false
	}
	defer l.mu.Unlock()
	return l.registry.Accepting(p)
}

// accepting returns the endpoints that accept new flows, which the caller must not modify, of
// those of the given pools that have a record.
func (l *endpointList) accepting(pools []registry.Pool) map[registry.Pool][]registry.Accepting {
	l.mu.Lock()
	defer l.mu.Unlock()
	lists := make(map[registry.Pool][]registry.Accepting, len(pools))
	for _, p := range pools {
		if list, known := l.registry.Accepting(p); known {
			lists[p] = list
		}
	}
	return lists
}
