package controller

import (
	"slices"
	"time"

	"oxbowsaddle/internal/placement"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// minServicesPerRound is the minimum number of services that a round plans in
	// rotation. Services that have changed are planned in every round.
	minServicesPerRound = 64
	// roundsPerRotation is the number of rounds within which every service is planned.
	roundsPerRotation = 16
)

// lastPlan is the input and outcome of the last plan of a service. It lets rounds
// without a change skip the planning.
type lastPlan struct {
	service     *route.Service
	weights     []placement.Weight
	activeIndex uint64 // a bucket that couldn't be moved may be movable once this advances
	noMoves     bool
}

// placementCommands returns the moves that bring each service to its weights.
func (k *Controller) placementCommands(now time.Time) []*wire.Command {
	moves := &wire.Moves{Reason: "weights"}
	table := k.state.Table()
	var total, position uint32
	table.Services(func(*route.Service) { total++ })
	perRound := max(minServicesPerRound, total/roundsPerRotation)
	table.Services(func(s *route.Service) {
		position++
		due := (position+total-1-k.rotation%max(total, 1))%max(total, 1) < perRound
		if !due && k.lastPlans[s.ID()].service == s {
			return // unchanged; its weights are updated when it is due
		}
		weights := k.assessor.Weights(now, s, table.EndpointsOf(s.ID()))
		last := k.lastPlans[s.ID()]
		if last.noMoves && last.service == s && last.activeIndex == k.activeIndex && slices.Equal(last.weights, weights) {
			return
		}
		planned := placement.Plan(s, weights, k.activeIndex, k.moveLimit(s))
		k.lastPlans[s.ID()] = lastPlan{s, weights, k.activeIndex, len(planned) == 0}
		for _, m := range planned {
			moves.Moves = append(moves.Moves, &wire.Move{Service: s.ID(), Bucket: m.Bucket, Endpoint: m.Endpoint})
		}
	})
	k.rotation += perRound
	if len(moves.Moves) == 0 {
		return nil
	}
	return []*wire.Command{{Body: &wire.Command_Moves{Moves: moves}}}
}

// moveLimit bounds the moves to balance load. The lower the balance setting, the
// fewer buckets may be in transition at a time.
func (k *Controller) moveLimit(s *route.Service) int {
	maxInTransition := int(float64(s.BucketCount()) * (0.02 + 0.1*s.Policy().Balance))
	return max(0, min(k.config.MaxMovesPerRound, maxInTransition-len(s.Transitions())))
}
