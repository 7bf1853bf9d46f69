package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oxbowsaddle/internal/route"
)

const service = 1

func newTable(endpoints int) *route.Table {
	b := route.NewBuilder(route.Empty(), 1)
	b.PutService(service, "booking", nil, route.Policy{}, route.BucketsFor(endpoints))
	for i := range endpoints {
		b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{ID: uint32(i + 1), Service: service}))
	}
	return b.Table()
}

func equalWeights(n int) []Weight {
	weights := make([]Weight, n)
	for i := range weights {
		weights[i] = Weight{uint32(i + 1), 1}
	}
	return weights
}

func applyMoves(t *route.Table, moves []Move, index uint64) *route.Table {
	b := route.NewBuilder(t, index)
	for _, m := range moves {
		b.Move(service, m.Bucket, m.Endpoint)
	}
	return b.Table()
}

func bucketsPerEndpoint(t *route.Table) map[uint32]int {
	counts := map[uint32]int{}
	s := t.Service(service)
	for b := range uint32(s.BucketCount()) {
		counts[s.Current(b)]++
	}
	return counts
}

func TestInitialPlacementIsEven(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(14)
	table = applyMoves(table, Plan(table.Service(service), equalWeights(14), 1, 10), 2)
	for e, n := range bucketsPerEndpoint(table) {
		g.Expect(n).To(gomega.BeNumerically("~", 1024/14, 1), "endpoint %d", e)
	}
	g.Expect(Plan(table.Service(service), equalWeights(14), 2, 10)).To(gomega.BeEmpty(), "nothing moves once the service is balanced")
}

func TestDrainMovesOnlyBucketsOfTheEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newTable(14)
	table = applyMoves(table, Plan(table.Service(service), equalWeights(14), 1, 10), 2)
	had := bucketsPerEndpoint(table)[5]
	weights := equalWeights(14)
	weights[4].Share = 0
	moves := Plan(table.Service(service), weights, 2, 0)
	g.Expect(moves).To(gomega.HaveLen(had))
	for _, m := range moves {
		g.Expect(table.Service(service).Current(m.Bucket)).To(gomega.Equal(uint32(5)))
		g.Expect(m.Endpoint).NotTo(gomega.Equal(uint32(5)))
	}
}

func TestNoMovesWhenAllSharesAreZero(t *testing.T) {
	table := newTable(3)
	gomega.NewWithT(t).Expect(Plan(table.Service(service), []Weight{{1, 0}, {2, 0}, {3, 0}}, 1, 10)).To(gomega.BeEmpty())
}

func TestPlanConvergesWithinMoveLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "endpoints")
		limit := rapid.IntRange(1, 30).Draw(rt, "limit")
		table := newTable(n)
		index := uint64(1)
		table = applyMoves(table, Plan(table.Service(service), equalWeights(n), index, limit), 2)
		weights := equalWeights(n)
		for i := range weights {
			weights[i].Share = rapid.Float64Range(0.1, 2).Draw(rt, "share")
		}
		for range 2000 {
			index++
			moves := Plan(table.Service(service), weights, index, limit)
			if len(moves) > limit {
				rt.Fatalf("%d moves with a limit of %d", len(moves), limit)
			}
			if len(moves) == 0 {
				break
			}
			table = applyMoves(table, moves, index)
			settled := route.NewBuilder(table, index)
			for _, m := range moves {
				settled.Settle(service, m.Bucket)
			}
			table = settled.Table()
		}
		got := bucketsPerEndpoint(table)
		for _, l := range targetAllocations(weights, table.Service(service).BucketCount()) {
			if diff := got[l.endpoint] - l.target; diff < -1 || diff > 1 {
				rt.Fatalf("endpoint %d has %d buckets, target %d", l.endpoint, got[l.endpoint], l.target)
			}
		}
	})
}

func BenchmarkPlan4000Endpoints(b *testing.B) {
	table := newTable(4000)
	weights := equalWeights(4000)
	table = applyMoves(table, Plan(table.Service(service), weights, 1, 0), 2)
	weights[7].Share = 0
	b.ResetTimer()
	for b.Loop() {
		Plan(table.Service(service), weights, 2, 10)
	}
}

// BenchmarkImbalance hashes random flows to the buckets of a placed service and
// reports the median and the 99th percentile, over many draws, of the flows on
// the most loaded endpoint relative to the mean. Run with -benchtime 1x.
func BenchmarkImbalance(b *testing.B) {
	const endpoints, draws = 14, 400
	for _, flows := range []int{1_000 * endpoints, 30_000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			table := newTable(endpoints)
			table = applyMoves(table, Plan(table.Service(service), equalWeights(endpoints), 1, 10), 2)
			s := table.Service(service)
			for b.Loop() {
				rng := rand.New(rand.NewPCG(1, 2))
				var ratios []float64
				for range draws {
					flowsOn := map[uint32]int{}
					highest := 0
					for range flows {
						e := s.Current(s.Bucket(route.FlowID{High: rng.Uint64()}))
						flowsOn[e]++
						highest = max(highest, flowsOn[e])
					}
					ratios = append(ratios, float64(highest)*endpoints/float64(flows))
				}
				slices.Sort(ratios)
				b.ReportMetric(ratios[draws/2], "median")
				b.ReportMetric(ratios[draws*99/100], "p99")
			}
		})
	}
}
