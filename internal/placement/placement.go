// Package placement decides which endpoint each bucket of a service is on. It
// is arithmetic without input or output: the same service and weights give
// the same moves everywhere. Few buckets move for a change: only those of
// endpoints that may take no more, and the surplus of the others.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dchest/siphash"

	"oxbowsaddle/internal/route"
)

type (
	// Weight is the share that an endpoint should get; 0 takes no new flow.
	Weight struct {
		Endpoint uint32
		Share    float64
	}

	// Move puts one bucket on another endpoint.
	Move struct {
		Bucket   uint32
		Endpoint uint32
	}

	// load is an endpoint with the buckets it has and should have.
	load struct {
		endpoint uint32
		target   int
		buckets  []uint32
	}
)

// Plan returns the moves that bring a service to its weights. Buckets without
// an endpoint, or on one with share 0, always move; of the others at most
// limit do. A bucket whose last move is after the active index stays: moving
// it twice before everyone has heard of the first would need three places.
// Without any positive share nothing moves, so a service is never emptied.
func Plan(s *route.Service, weights []Weight, active uint64, limit int) []Move {
	loads := targets(weights, s.BucketCount())
	if len(loads) == 0 {
		return nil
	}
	position := make(map[uint32]int, len(loads))
	for i := range loads {
		position[loads[i].endpoint] = i
	}
	var homeless []uint32
	for b := range uint32(s.BucketCount()) {
		if i, ok := position[s.Current(b)]; ok {
			loads[i].buckets = append(loads[i].buckets, b)
		} else if movable(s, b, active) {
			homeless = append(homeless, b)
		}
	}
	moves := place(s.ID(), homeless, loads)
	return append(moves, spread(s, loads, active, limit)...)
}

func movable(s *route.Service, bucket uint32, active uint64) bool {
	t, open := s.Transition(bucket)
	return !open || t.MovedAt <= active
}

// targets gives each endpoint with a share its count of buckets, by largest
// remainder, in the order of endpoints.
func targets(weights []Weight, buckets int) []load {
	var sum float64
	var loads []load
	var shares []float64
	for _, w := range weights {
		if w.Share > 0 {
			sum += w.Share
			loads = append(loads, load{endpoint: w.Endpoint})
			shares = append(shares, w.Share)
		}
	}
	left := buckets
	remainders := make([]float64, len(loads))
	order := make([]int, len(loads))
	for i := range loads {
		exact := float64(buckets) * shares[i] / sum
		loads[i].target = int(exact)
		remainders[i] = exact - math.Floor(exact)
		left -= loads[i].target
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; left > 0 && len(order) > 0; i, left = (i+1)%len(order), left-1 {
		loads[order[i]].target++
	}
	return loads
}

// place puts each homeless bucket on the endpoint that lacks most; equal ones
// are told apart by a hash, so that the buckets of one endpoint scatter.
func place(service uint32, homeless []uint32, loads []load) []Move {
	moves := make([]Move, 0, len(homeless))
	for _, b := range homeless {
		best := 0
		for i := range loads {
			if better(service, b, &loads[i], &loads[best]) {
				best = i
			}
		}
		loads[best].buckets = append(loads[best].buckets, b)
		moves = append(moves, Move{b, loads[best].endpoint})
	}
	return moves
}

func better(service, bucket uint32, a, b *load) bool {
	lackA, lackB := a.target-len(a.buckets), b.target-len(b.buckets)
	if lackA != lackB {
		return lackA > lackB
	}
	return mix(service, bucket, a.endpoint) > mix(service, bucket, b.endpoint)
}

func mix(service, bucket, endpoint uint32) uint64 {
	return siphash.Hash(uint64(service), uint64(endpoint), []byte{byte(bucket), byte(bucket >> 8), byte(bucket >> 16)})
}

// spread moves buckets from the endpoint with most surplus to the one that
// lacks most. A surplus of one is left alone: it is worth no record.
func spread(s *route.Service, loads []load, active uint64, limit int) []Move {
	var moves []Move
	for len(moves) < limit {
		from, to := extremes(loads)
		surplus := len(loads[from].buckets) - loads[from].target
		lack := loads[to].target - len(loads[to].buckets)
		if surplus < 1 || lack < 1 || surplus+lack < 3 {
			return moves
		}
		b, ok := takeBucket(s, &loads[from], active)
		if !ok {
			return moves
		}
		loads[to].buckets = append(loads[to].buckets, b)
		moves = append(moves, Move{b, loads[to].endpoint})
	}
	return moves
}

func extremes(loads []load) (most, least int) {
	for i := range loads {
		surplus := len(loads[i].buckets) - loads[i].target
		if surplus > len(loads[most].buckets)-loads[most].target {
			most = i
		}
		if surplus < len(loads[least].buckets)-loads[least].target {
			least = i
		}
	}
	return most, least
}

// takeBucket removes the bucket that is best moved: a settled one, the one
// with the lowest hash; one in transition only back to where it came from is
// not worth the care, so it stays.
func takeBucket(s *route.Service, l *load, active uint64) (uint32, bool) {
	best := -1
	for i, b := range l.buckets {
		if _, open := s.Transition(b); open || !movable(s, b, active) {
			continue
		}
		if best < 0 || mix(s.ID(), b, 0) < mix(s.ID(), l.buckets[best], 0) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	b := l.buckets[best]
	l.buckets = slices.Delete(l.buckets, best, best+1)
	return b, true
}
