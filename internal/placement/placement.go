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

	// allocation is an endpoint with the buckets it has and should have.
	allocation struct {
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

// targetAllocations gives each endpoint with a share its count of buckets, by largest
// remainder, in the order of endpoints.
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

// placeUnplaced puts each homeless bucket on the endpoint that lacks most; equal ones
// are told apart by a hash, so that the buckets of one endpoint scatter.
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

// rebalance moves buckets from the endpoint with most surplus to the one that
// lacks most. A surplus of one is left alone: it is worth no record.
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

// takeBucket removes the bucket that is best moved: a settled one, the one
// with the lowest hash; one in transition only back to where it came from is
// not worth the care, so it stays.
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
