package steer

import (
	"math/rand/v2"
	"time"
)

const (
	// fullScanLimit is the longest list of endpoints that is scanned whole for a new flow.
	fullScanLimit = 32
	// sampleSize is how many endpoints of a longer list are sampled. In a large fleet an entry
	// tracks few flows per endpoint, so most loads are equal and a small sample is likely to
	// contain one of the least loaded.
	sampleSize = 16
	// maxSampleSize bounds the sample while all endpoints in it are suspect.
	maxSampleSize = 128
	// placementSeed is the second seed word of the random choices for a flow.
	placementSeed = 0x706c6163696e6700
)

// Tiers of a pool.
const (
	localTier     poolTier = iota // in the entry's own failure domain
	remoteTier                    // in other failure domains
	evacuatedTier                 // in evacuated failure domains, used only by an isolated entry

	tierCount
)

type (
	// poolTier is the index of a list in a pool.
	poolTier int

	// pool holds the endpoints of a service that accept flows, by tier.
	pool [tierCount][]*backend

	// poolPosition is the place of a backend in a pool.
	poolPosition struct {
		service string
		tier    poolTier
		index   int
	}

	// selection is the best endpoint found so far for a new flow. Ties are broken at random
	// with equal chances: the busiest of 480 endpoints then got 1.76 times the mean load, and
	// 3.21 times if the first of equals after a random position was taken (one run each).
	selection struct {
		steerer    *Steerer
		now        time.Time
		route      *route
		avoid      *backend       // not selected; nil if any endpoint will do
		onConsider func(*backend) // called for each endpoint considered; may be nil

		best    *backend
		load    float64
		suspect bool
		ties    int
	}
)

// tierOf returns the tier of an endpoint.
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

// updatePool adds the endpoint to the pool of its service, moves it, or removes it, according
// to its state.
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
	if tier != evacuatedTier {
		s.attach(b)
	}
}

// removeFromPool removes an endpoint in constant time by moving the last one into its place.
func (s *Steerer) removeFromPool(b *backend) {
	list := &s.pools[b.position.service][b.position.tier]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[b.position.index], moved.position.index = moved, b.position.index
	(*list)[last] = nil
	*list = (*list)[:last]
	s.detach(b)
	b.position = nil
}

// choose returns the endpoint for a new flow, nil if there is none. The service is drawn by the
// route's weights. Of its endpoints, the least loaded one that is not avoided is taken, or the
// least loaded one if all are avoided. Long lists are sampled, so that the cost does not grow
// with the size of the service; all retransmissions of a SYN get the same sample. onConsider, if
// not nil, is called for each endpoint considered.
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

// scan considers all endpoints of a short list, or a sample of a long one.
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

// consider selects the endpoint if it is better than the best so far.
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

// newRandom returns a random generator and its source, which is reseeded for each flow.
func newRandom() (*rand.PCG, *rand.Rand) {
	source := rand.NewPCG(0, placementSeed)
	return source, rand.New(source)
}
