// Package placement assigns the buckets of a service to its endpoints. It is
// deterministic: the same service and weights give the same moves on every
// instance. A change moves only the buckets of endpoints without a share and the
// surplus of the others.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/dchest/siphash"

	"oxbowsaddle/internal/route"
)

type (
	// Weight is the relative share of buckets of an endpoint; 0 means no new flows.
	Weight struct {
		Endpoint uint32
		Share    float64
	}

	// Move assigns a bucket to another endpoint.
	Move struct {
		Bucket   uint32
		Endpoint uint32
	}

	// allocation holds the buckets of an endpoint and how many it should have.
	allocation struct {
		endpoint uint32
		target   int
		buckets  []uint32
	}
)

// Plan returns the moves that bring a service to its weights. Buckets without
// an endpoint, or on one with share 0, always move; at most limit others do. A
// bucket whose last move is after activeIndex isn't moved: until every entry uses
// that move, its transition can't represent a further endpoint. If no share is
// positive, nothing moves.
func Plan(s *route.Service, weights []Weight, activeIndex uint64, limit int) []Move {
	allocations := targetAllocations(weights, s.BucketCount())
	if len(allocations) == 0 {
		return nil
	}
	allocationIndex := make(map[uint32]int, len(allocations))
	for i := range allocations {
		allocationIndex[allocations[i].endpoint] = i
	}
	var unplaced []uint32
	for b := range uint32(s.BucketCount()) {
		if i, ok := allocationIndex[s.Current(b)]; ok {
			allocations[i].buckets = append(allocations[i].buckets, b)
		} else if mayMove(s, b, activeIndex) {
			unplaced = append(unplaced, b)
		}
	}
	moves := placeUnplaced(s.ID(), unplaced, allocations)
	return append(moves, rebalance(s, allocations, activeIndex, limit)...)
}

func mayMove(s *route.Service, bucket uint32, activeIndex uint64) bool {
	t, inTransition := s.Transition(bucket)
	return !inTransition || t.MovedAt <= activeIndex
}

// targetAllocations distributes the number of buckets over the endpoints with a
// share by the largest remainder method.
func targetAllocations(weights []Weight, buckets int) []allocation {
	var sum float64
	var allocations []allocation
	var shares []float64
	for _, w := range weights {
		if w.Share > 0 {
			sum += w.Share
			allocations = append(allocations, allocation{endpoint: w.Endpoint})
			shares = append(shares, w.Share)
		}
	}
	left := buckets
	remainders := make([]float64, len(allocations))
	order := make([]int, len(allocations))
	for i := range allocations {
		exact := float64(buckets) * shares[i] / sum
		allocations[i].target = int(exact)
		remainders[i] = exact - math.Floor(exact)
		left -= allocations[i].target
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; left > 0 && len(order) > 0; i, left = (i+1)%len(order), left-1 {
		allocations[order[i]].target++
	}
	return allocations
}

// placeUnplaced assigns each unplaced bucket to the endpoint with the largest
// deficit. Ties are broken by a hash, which spreads the buckets of one endpoint.
func placeUnplaced(service uint32, unplaced []uint32, allocations []allocation) []Move {
	moves := make([]Move, 0, len(unplaced))
	for _, b := range unplaced {
		best := 0
		for i := range allocations {
			if hasLargerDeficit(service, b, &allocations[i], &allocations[best]) {
				best = i
			}
		}
		allocations[best].buckets = append(allocations[best].buckets, b)
		moves = append(moves, Move{b, allocations[best].endpoint})
	}
	return moves
}

func hasLargerDeficit(service, bucket uint32, a, b *allocation) bool {
	deficitA, deficitB := a.target-len(a.buckets), b.target-len(b.buckets)
	if deficitA != deficitB {
		return deficitA > deficitB
	}
	return bucketHash(service, bucket, a.endpoint) > bucketHash(service, bucket, b.endpoint)
}

func bucketHash(service, bucket, endpoint uint32) uint64 {
	return siphash.Hash(uint64(service), uint64(endpoint), []byte{byte(bucket), byte(bucket >> 8), byte(bucket >> 16)})
}

// rebalance moves buckets from the endpoint with the largest surplus to the one
// with the largest deficit. It ignores a surplus and deficit of one bucket.
func rebalance(s *route.Service, allocations []allocation, activeIndex uint64, limit int) []Move {
	var moves []Move
	for len(moves) < limit {
		from, to := largestSurplusAndDeficit(allocations)
		surplus := len(allocations[from].buckets) - allocations[from].target
		deficit := allocations[to].target - len(allocations[to].buckets)
		if surplus < 1 || deficit < 1 || surplus+deficit < 3 {
			return moves
		}
		b, ok := takeBucket(s, &allocations[from], activeIndex)
		if !ok {
			return moves
		}
		allocations[to].buckets = append(allocations[to].buckets, b)
		moves = append(moves, Move{b, allocations[to].endpoint})
	}
	return moves
}

func largestSurplusAndDeficit(allocations []allocation) (surplusIndex, deficitIndex int) {
	for i := range allocations {
		surplus := len(allocations[i].buckets) - allocations[i].target
		if surplus > len(allocations[surplusIndex].buckets)-allocations[surplusIndex].target {
			surplusIndex = i
		}
		if surplus < len(allocations[deficitIndex].buckets)-allocations[deficitIndex].target {
			deficitIndex = i
		}
	}
	return surplusIndex, deficitIndex
}

// takeBucket removes the bucket with the lowest hash among those that aren't in
// transition.
func takeBucket(s *route.Service, a *allocation, activeIndex uint64) (uint32, bool) {
	best := -1
	for i, b := range a.buckets {
		if _, inTransition := s.Transition(b); inTransition || !mayMove(s, b, activeIndex) {
			continue
		}
		if best < 0 || bucketHash(s.ID(), b, 0) < bucketHash(s.ID(), a.buckets[best], 0) {
			best = i
		}
	}
	if best < 0 {
		return 0, false
	}
	b := a.buckets[best]
	a.buckets = slices.Delete(a.buckets, best, best+1)
	return b, true
}
