package steer

import (
	"math/rand/v2"
	"time"
)

const (
	// fullScanLimit is the longest list of endpoints of which every one is looked at
	// for a new flow. An entry of a small fleet remembers many flows of each
	// endpoint, so that there is one least loaded; the cost is 0.6 µs.
	fullScanLimit = 32
	// sampleSize is how many of a longer list are drawn. An entry of a large fleet
	// remembers a flow of few endpoints (a fleet of 295 opens 4 flows a second at
	// each of its entries, over 120 endpoints of the own failure domain), so that
	// most are equal, and a least loaded one is drawn where a fifth are, with 97%.
	sampleSize = 16
	// maxSampleSize bounds how many are drawn where all that were are under suspicion:
	// while 95% of a service are, one that is not is missed by a flow in 700.
	maxSampleSize = 128
	// placementSeed is the second seed of a flow's draws.
	placementSeed = 0x706c6163696e6700
)

// The sides of a pool.
const (
	localTier     poolTier = iota // of the entry's own failure domain
	remoteTier                    // of other ones
	evacuatedTier                 // of evacuated ones: no new flow goes there

	tierCount
)

type (
	// poolTier is one of the lists of a pool.
	poolTier int

	// pool holds the endpoints of a service that would take new flows, by side.
	pool [tierCount][]*backend

	// poolPosition is where a backend stands in a pool.
	poolPosition struct {
		service string
		tier    poolTier
		index   int
	}

	// selection is the best endpoint for a new flow of those looked at so far. Of
	// equals each has the same chance, whatever stands before or behind it.
	selection struct {
		steerer    *Steerer
		now        time.Time
		route      *route
		avoid      *backend       // nil where any will do
		onConsider func(*backend) // nil where nobody asks

		best    *backend
		load    float64
		suspect bool
		ties    int
	}
)

// tierOf returns the side that an endpoint stands on.
func (s *Steerer) tierOf(b *backend) poolTier {
	switch {
	case s.evacuations.Has(b.Domain):
		return evacuatedTier
	case b.Domain == s.config.Domain:
		return localTier
	default:
		return remoteTier
	}
}

// updatePool has an endpoint stand in the pool of its service as long as it would take
// new flows.
func (s *Steerer) updatePool(b *backend) {
	wanted, tier := b.acceptsFlows() && b.Addr.IsValid(), s.tierOf(b)
	if at := b.position; at != nil && (!wanted || at.service != b.Service || at.tier != tier) {
		s.removeFromPool(b)
	}
	if !wanted || b.position != nil {
		return
	}
	p := s.pools[b.Service]
	if p == nil {
		p = &pool{}
		s.pools[b.Service] = p
	}
	b.position = &poolPosition{service: b.Service, tier: tier, index: len(p[tier])}
	p[tier] = append(p[tier], b)
}

// removeFromPool takes an endpoint out of its pool; the last one takes its place, so that
// the cost does not grow with the pool.
func (s *Steerer) removeFromPool(b *backend) {
	list := &s.pools[b.position.service][b.position.tier]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[b.position.index], moved.position.index = moved, b.position.index
	(*list)[last] = nil
	*list = (*list)[:last]
	b.position = nil
}

// choose returns the endpoint for a new flow: of the service that the route's
// weights draw, the least loaded one that is not under suspicion; or, where
// all are, the least loaded of these. Long lists are not looked through: some
// are drawn, the same for all copies of an opening packet, so that the cost does
// not grow with the service. At 480 endpoints in five failure domains the busiest
// gets 1.76 times the mean on a calm day (one run), and 3.21 times where the first of
// equals after a random place is taken. Looked is told of each that is looked at; nil is nobody.
func (s *Steerer) choose(now time.Time, r *route, p Packet, avoid *backend, onConsider func(*backend)) *backend {
	hash := p.hash()
	pool := s.pools[r.service(hash)]
	if pool == nil {
		return nil
	}
	s.randSource.Seed(hash, placementSeed)
	c := selection{steerer: s, now: now, route: r, avoid: avoid, onConsider: onConsider, suspect: true}
	c.scan(pool[localTier])
	if c.suspect || c.load >= remotePenaltyFor(r.Bulk) {
		c.scan(pool[remoteTier])
	}
	if c.suspect && s.isIsolated(now) && len(pool[localTier])+len(pool[remoteTier]) > 0 {
		c.scan(pool[evacuatedTier])
	}
	return c.best
}

// scan looks at all endpoints of a short list, and at some of a long one.
func (c *selection) scan(list []*backend) {
	if len(list) <= fullScanLimit {
		for _, b := range list {
			c.consider(b)
		}
		return
	}
	for n := 0; n < sampleSize || c.suspect && n < maxSampleSize; n++ {
		c.consider(list[c.steerer.random.IntN(len(list))])
	}
}

// consider takes an endpoint if it is better than the best so far.
func (c *selection) consider(b *backend) {
	if b == c.avoid || c.steerer.excludedWhileCold(c.now, b) {
		return
	}
	if c.onConsider != nil {
		c.onConsider(b)
	}
	suspect, load := c.steerer.isAvoided(c.now, b), b.load(c.now, c.steerer.config.Domain, c.route.Bulk)
	switch {
	case c.best == nil || c.suspect && !suspect || c.suspect == suspect && load < c.load:
		c.best, c.load, c.suspect, c.ties = b, load, suspect, 1
	case c.suspect == suspect && load == c.load:
		c.ties++
		if c.steerer.random.IntN(c.ties) == 0 {
			c.best = b
		}
	}
}

// newRandom returns the source of a Steerer's draws, seeded for each flow, and
// what reads it.
func newRandom() (*rand.PCG, *rand.Rand) {
	source := rand.NewPCG(0, placementSeed)
	return source, rand.New(source)
}
