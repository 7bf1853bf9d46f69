// Package admission decides, for the requests of entries, at which endpoints of a pool
// credits are granted, and to whom none is. A pool is the endpoints of one service in one
// failure domain. The package performs no I/O, and callers pass in the current time.
package admission

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oxbowsaddle/internal/utilisation"
	"oxbowsaddle/internal/wire"
)

const (
	// refreshInterval is how often the endpoints of a pool are read.
	refreshInterval = 100 * time.Millisecond
	// idlePeriod is how long a pool is kept without a message.
	idlePeriod = 5 * time.Second
	// maxPools bounds the pools of an allocator.
	maxPools = 4096
)

type (
	// Config configures an Allocator.
	Config struct {
		// Endpoints returns the endpoints of a service in a failure domain that may be
		// granted: not those that are leaving, gone, silent or evacuated. The result is
		// not kept. It is called every 100 ms for each pool in use.
		Endpoints func(service, domain string) []utilisation.Endpoint
		// Seed of the choice among equal endpoints.
		Seed uint64
	}

	// Allocator grants the credits of pools. It is not safe for concurrent use.
	Allocator struct {
		endpoints func(service, domain string) []utilisation.Endpoint
		random    *rand.Rand
		pools     map[poolKey]*pool
		nextPrune time.Time
		totals    map[string]Totals // by service
		ignored   Ignored
		options   []option // of the last request
	}

	// Totals are the credits of a service since the start of the Allocator.
	Totals struct {
		Granted uint64
		Refused uint64 // wanted and not granted
	}

	// Ignored counts the messages without effect.
	Ignored struct {
		Stale          uint64 // late, repeated, or of an earlier process
		OutOfBounds    uint64
		TooManyPools   uint64
		TooManyEntries uint64
	}

	poolKey struct{ service, domain string }

	// pool is a pool in use.
	pool struct {
		counts      *utilisation.Pool
		shares      shares
		lastMessage time.Time
		nextRefresh time.Time
		lastRefusal time.Time
		totals      Totals
	}
)

// New returns an Allocator without pools.
func New(c Config) *Allocator {
	return &Allocator{
		endpoints: c.Endpoints, random: rand.New(rand.NewPCG(c.Seed, 0)),
		pools: map[poolKey]*pool{}, totals: map[string]Totals{},
	}
}

// Handle counts a message of an entry and returns the reply, or nil if the message is
// ignored. It keeps no reference to the message.
func (a *Allocator) Handle(now time.Time, r *wire.CreditRequest) *wire.CreditReply {
	if !withinBounds(r) {
		a.ignored.OutOfBounds++
		return nil
	}
	p := a.pool(now, r.Service, r.Domain)
	if p == nil {
		a.ignored.TooManyPools++
		return nil
	}
	e, outcome := p.counts.Apply(now, r)
	switch outcome {
	case utilisation.Stale:
		a.ignored.Stale++
		return nil
	case utilisation.Full:
		a.ignored.TooManyEntries++
		return nil
	}
	granted := a.grant(now, p, e, r)
	reply := &wire.CreditReply{
		Life: r.Life, Number: r.Number, Service: r.Service, Domain: r.Domain,
		Granted: granted, Refused: r.Wanted > 0 && len(granted) == 0,
		Unknown: !e.Listed(), Learning: p.counts.Learning(now),
		Count: clamp(p.counts.Count(now)), Slots: clamp(p.counts.Slots()),
	}
	if p.refusing(now) {
		reply.Surplus = clamp(a.surplus(p, e))
	}
	return reply
}

// pool returns a pool with current endpoints, or nil if there are too many pools.
func (a *Allocator) pool(now time.Time, service, domain string) *pool {
	a.prune(now)
	k := poolKey{service, domain}
	p := a.pools[k]
	if p == nil {
		if len(a.pools) >= maxPools {
			return nil
		}
		p = &pool{counts: utilisation.New()}
		a.pools[k] = p
	}
	p.lastMessage = now
	if !now.Before(p.nextRefresh) {
		p.nextRefresh = now.Add(refreshInterval)
		p.counts.SetEndpoints(now, a.endpoints(service, domain))
	}
	return p
}

// prune drops, at most once a second, the pools without recent messages.
func (a *Allocator) prune(now time.Time) {
	if now.Before(a.nextPrune) {
		return
	}
	a.nextPrune = now.Add(time.Second)
	for k, p := range a.pools {
		if now.Sub(p.lastMessage) > idlePeriod {
			delete(a.pools, k)
		}
	}
}

// Pools returns the state of the pools in use, sorted by service and failure domain.
func (a *Allocator) Pools(now time.Time) []*wire.PoolUtilisation {
	a.prune(now)
	all := make([]*wire.PoolUtilisation, 0, len(a.pools))
	for k, p := range a.pools {
		all = append(all, &wire.PoolUtilisation{
			Service: k.service, Domain: k.domain,
			Endpoints: clamp(p.counts.Endpoints()), Slots: clamp(p.counts.Slots()), Count: clamp(p.counts.Count(now)),
			Entries: clamp(p.counts.Entries(now)), AgeNanos: int64(p.counts.Age(now)),
			Granted: p.totals.Granted, Refused: p.totals.Refused,
			WorkNanos: int64(p.counts.Work()), Learning: p.counts.Learning(now),
		})
	}
	slices.SortFunc(all, func(x, y *wire.PoolUtilisation) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Domain, y.Domain))
	})
	return all
}

// Totals returns the credits granted and refused of each service since the start.
func (a *Allocator) Totals() map[string]Totals { return maps.Clone(a.totals) }

// Ignored returns the numbers of messages without effect since the start.
func (a *Allocator) Ignored() Ignored { return a.ignored }

// clamp converts a number for a message.
func clamp(n int) uint32 { return uint32(min(max(n, 0), math.MaxUint32)) }
