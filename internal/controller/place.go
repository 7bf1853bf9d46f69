package controller

import (
	"slices"
	"time"

	"oxbowsaddle/internal/placement"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// leastLooks services are looked at each time, and all of them in as many
	// looks as looksForAll; one that has changed is looked at at once.
	leastLooks  = 64
	looksForAll = 16
)

// plan is the last look at a service, so that one that has not changed costs
// a comparison.
type plan struct {
	service *route.Service
	weights []placement.Weight
	active  uint64 // a bucket that had to stay may move when this goes on
	empty   bool
}

// place returns the moves that bring each service to its weights.
func (k *Controller) place(now time.Time) []*wire.Command {
	moves := &wire.Moves{Reason: "weights"}
	table := k.state.Table()
	var number, seen uint32
	table.Services(func(*route.Service) { number++ })
	share := max(leastLooks, number/looksForAll)
	table.Services(func(s *route.Service) {
		seen++
		turn := (seen+number-1-k.turn%max(number, 1))%max(number, 1) < share
		if !turn && k.planned[s.ID()].service == s {
			return // it has not changed, and its reports are looked at in its turn
		}
		weights := k.assessor.Weights(now, s, table.EndpointsOf(s.ID()))
		last := k.planned[s.ID()]
		if last.empty && last.service == s && last.active == k.active && slices.Equal(last.weights, weights) {
			return
		}
		planned := placement.Plan(s, weights, k.active, k.movesAllowed(s))
		k.planned[s.ID()] = plan{s, weights, k.active, len(planned) == 0}
		for _, m := range planned {
			moves.Moves = append(moves.Moves, &wire.Move{Service: s.ID(), Bucket: m.Bucket, Endpoint: m.Endpoint})
		}
	})
	k.turn += share
	if len(moves.Moves) == 0 {
		return nil
	}
	return []*wire.Command{{Body: &wire.Command_Moves{Moves: moves}}}
}

// movesAllowed bounds the moves for balance: with a template that leans to
// unbroken flows few buckets are in transition at a time.
func (k *Controller) movesAllowed(s *route.Service) int {
	most := int(float64(s.BucketCount()) * (0.02 + 0.1*s.Policy().Balance))
	return max(0, min(k.config.MovesAtOnce, most-len(s.Open())))
}
