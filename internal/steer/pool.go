package steer

import (
	"math/rand/v2"
	"time"
)

const (
	// lookAtAll is the longest list of endpoints of which every one is looked at
	// for a new flow. An entry of a small fleet remembers many flows of each
	// endpoint, so that there is one least loaded; the cost is 0.6 µs.
	lookAtAll = 32
	// lookEnough is how many of a longer list are drawn. An entry of a large fleet
	// remembers a flow of few endpoints (a fleet of 295 opens 4 flows a second at
	// each of its entries, over 120 endpoints of the own failure domain), so that
	// most are equal, and a least loaded one is drawn where a fifth are, with 97%.
	lookEnough = 16
	// lookMost bounds how many are drawn where all that were are under suspicion:
	// while 95% of a service are, one that is not is missed by a flow in 700.
	lookMost = 128
	// placing is the second seed of a flow's draws.
	placing = 0x706c6163696e6700
)

// The sides of a pool.
const (
	nearSide      side = iota // of the entry's own failure domain
	farSide                   // of other ones
	evacuatedSide             // of evacuated ones: no new flow goes there

	sideCount
)

type (
	// side is one of the lists of a pool.
	side int

	// pool holds the endpoints of a service that would take new flows, by side.
	pool [sideCount][]*backend

	// listing is where a backend stands in a pool.
	listing struct {
		service string
		side    side
		index   int
	}

	// choice is the best endpoint for a new flow of those looked at so far. Of
	// equals each has the same chance, whatever stands before or behind it.
	choice struct {
		steerer *Steerer
		now     time.Time
		route   *route
		avoid   *backend       // nil where any will do
		looked  func(*backend) // nil where nobody asks

		best    *backend
		load    float64
		suspect bool
		equals  int
	}
)

// sideOf returns the side that an endpoint stands on.
func (s *Steerer) sideOf(b *backend) side {
	switch {
	case s.evacuations.Has(b.Domain):
		return evacuatedSide
	case b.Domain == s.config.Domain:
		return nearSide
	default:
		return farSide
	}
}

// list has an endpoint stand in the pool of its service as long as it would take
// new flows.
func (s *Steerer) list(b *backend) {
	wanted, side := b.open() && b.Addr.IsValid(), s.sideOf(b)
	if at := b.listing; at != nil && (!wanted || at.service != b.Service || at.side != side) {
		s.unlist(b)
	}
	if !wanted || b.listing != nil {
		return
	}
	p := s.pools[b.Service]
	if p == nil {
		p = &pool{}
		s.pools[b.Service] = p
	}
	b.listing = &listing{service: b.Service, side: side, index: len(p[side])}
	p[side] = append(p[side], b)
}

// unlist takes an endpoint out of its pool; the last one takes its place, so that
// the cost does not grow with the pool.
func (s *Steerer) unlist(b *backend) {
	list := &s.pools[b.listing.service][b.listing.side]
	last := len(*list) - 1
	moved := (*list)[last]
	(*list)[b.listing.index], moved.listing.index = moved, b.listing.index
	(*list)[last] = nil
	*list = (*list)[:last]
	b.listing = nil
}

// choose returns the endpoint for a new flow: of the service that the route's
// weights draw, the least loaded one that is not under suspicion; or, where
// all are, the least loaded of these. Long lists are not looked through: some
// are drawn, the same for all copies of an opening packet, so that the cost does
// not grow with the service. At 480 endpoints in five failure domains the busiest
// gets 1.76 times the mean on a calm day (one run), and 3.21 times where the first of
// equals after a random place is taken. Looked is told of each that is looked at; nil is nobody.
func (s *Steerer) choose(now time.Time, r *route, p Packet, avoid *backend, looked func(*backend)) *backend {
	draw := p.draw()
	pool := s.pools[r.service(draw)]
	if pool == nil {
		return nil
	}
	s.source.Seed(draw, placing)
	c := choice{steerer: s, now: now, route: r, avoid: avoid, looked: looked, suspect: true}
	c.lookThrough(pool[nearSide])
	if c.suspect || c.load >= foreignLoadOf(r.Bulk) {
		c.lookThrough(pool[farSide])
	}
	if c.suspect && s.cutOff(now) && len(pool[nearSide])+len(pool[farSide]) > 0 {
		c.lookThrough(pool[evacuatedSide])
	}
	return c.best
}

// lookThrough looks at all endpoints of a short list, and at some of a long one.
func (c *choice) lookThrough(list []*backend) {
	if len(list) <= lookAtAll {
		for _, b := range list {
			c.lookAt(b)
		}
		return
	}
	for n := 0; n < lookEnough || c.suspect && n < lookMost; n++ {
		c.lookAt(list[c.steerer.random.IntN(len(list))])
	}
}

// lookAt takes an endpoint if it is better than the best so far.
func (c *choice) lookAt(b *backend) {
	if b == c.avoid || c.steerer.reserved(c.now, b) {
		return
	}
	if c.looked != nil {
		c.looked(b)
	}
	suspect, load := c.steerer.avoids(c.now, b), b.load(c.now, c.steerer.config.Domain, c.route.Bulk)
	switch {
	case c.best == nil || c.suspect && !suspect || c.suspect == suspect && load < c.load:
		c.best, c.load, c.suspect, c.equals = b, load, suspect, 1
	case c.suspect == suspect && load == c.load:
		c.equals++
		if c.steerer.random.IntN(c.equals) == 0 {
			c.best = b
		}
	}
}

// newDraws returns the source of a Steerer's draws, seeded for each flow, and
// what reads it.
func newDraws() (*rand.PCG, *rand.Rand) {
	source := rand.NewPCG(0, placing)
	return source, rand.New(source)
}
