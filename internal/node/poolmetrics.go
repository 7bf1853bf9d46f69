package node

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

const (
	// poolLogInterval is the minimum time between two log lines of a pool.
	poolLogInterval = time.Second
	// poolLogRate and poolLogBurst limit the log lines of all pools, of which a large fleet has
	// hundreds, in lines per second and lines.
	poolLogRate  = 20
	poolLogBurst = 60
)

type (
	// poolCounts are the credits granted and refused.
	poolCounts struct{ granted, refused uint64 }

	// poolLoad is what the pools of a service hold, and their slots.
	poolLoad struct{ count, slots uint64 }
)

// nameOf returns the name of a pool.
func nameOf(p *wire.PoolUtilisation) registry.Pool {
	return registry.Pool{Service: p.Service, Domain: p.Domain}
}

// countsOf returns the grants and refusals of a pool.
func countsOf(p *wire.PoolUtilisation) poolCounts { return poolCounts{p.Granted, p.Refused} }

// since returns the difference to earlier counts. Counts that are lower than these are those
// of a pool that was dropped and made anew since.
func (c poolCounts) since(earlier poolCounts) poolCounts {
	if c.granted < earlier.granted || c.refused < earlier.refused {
		return c
	}
	return poolCounts{c.granted - earlier.granted, c.refused - earlier.refused}
}

// metrics returns the gauges and counters of the pools by service, and the numbers of messages
// that had no effect.
func (a *allocation) metrics(now time.Time) []metric {
	loads := map[string]poolLoad{}
	for _, p := range a.pools(now) {
		l := loads[p.Service]
		loads[p.Service] = poolLoad{l.count + uint64(p.Count), l.slots + uint64(p.Slots)}
	}
	totals, ignored := a.totals()
	services := slices.Concat(slices.Collect(maps.Keys(loads)), slices.Collect(maps.Keys(totals)))
	slices.Sort(services)
	var all []metric
	for _, service := range slices.Compact(services) {
		all = append(all,
			metric{fmt.Sprintf("oxbowsaddle_pool_utilisation_percent{service=%q}", service), loads[service].percent()},
			metric{fmt.Sprintf("oxbowsaddle_pool_refused_total{service=%q}", service), totals[service].Refused},
			metric{fmt.Sprintf("oxbowsaddle_pool_granted_total{service=%q}", service), totals[service].Granted},
		)
	}
	const ignoredName = "oxbowsaddle_credit_requests_ignored_total{reason=%q}"
	return append(all,
		metric{fmt.Sprintf(ignoredName, "malformed"), a.malformed.Load()},
		metric{fmt.Sprintf(ignoredName, "unknown_pool"), a.unknownPools.Load()},
		metric{fmt.Sprintf(ignoredName, "stale"), ignored.Stale},
		metric{fmt.Sprintf(ignoredName, "out_of_bounds"), ignored.OutOfBounds},
		metric{fmt.Sprintf(ignoredName, "too_many_pools"), ignored.TooManyPools},
		metric{fmt.Sprintf(ignoredName, "too_many_entries"), ignored.TooManyEntries},
	)
}

// percent returns the load in percent of the slots, 0 without slots.
func (l poolLoad) percent() uint64 {
	if l.slots == 0 {
		return 0
	}
	return 100 * l.count / l.slots
}

// poolLogLoop logs the state of busy pools until the context is done.
func (c *Control) poolLogLoop(ctx context.Context) error {
	logged := map[registry.Pool]poolCounts{}
	limiter := newLogLimiter(poolLogRate, poolLogBurst)
	ticker := time.NewTicker(poolLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		logged = c.logPools(c.allocation.pools(c.config.Now()), logged, limiter)
	}
}

// logPools writes a line for each pool that has granted or refused since the counts logged
// before, and returns the counts of all pools. The line gives the difference.
func (c *Control) logPools(pools []*wire.PoolUtilisation, before map[registry.Pool]poolCounts, limiter *logLimiter) map[registry.Pool]poolCounts {
	logged := make(map[registry.Pool]poolCounts, len(pools))
	for _, p := range pools {
		counts := countsOf(p)
		logged[nameOf(p)] = counts
		added := counts.since(before[nameOf(p)])
		if added == (poolCounts{}) {
			continue
		}
		if dropped, ok := limiter.allow(); ok {
			c.config.Log.Info("pool", "service", p.Service, "domain", p.Domain, "slots", p.Slots, "credits", p.Count,
				"granted", added.granted, "refused", added.refused, "entries", p.Entries, "left_out", dropped)
		}
	}
	return logged
}
