package controller

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// trackedTransition is the controller's state of a bucket in transition.
type trackedTransition struct {
	movedAt      uint64
	stableSince  time.Time // start of the idle timeout, which restarts when an entry that may have flows of it is lost
	drainedSince time.Time // when the entries began to report no flows on another endpoint; zero if they report some
}

// memberLost restarts the idle timeout of the buckets for which a lost entry reported
// flows or hadn't counted them yet: another entry must see a packet of each of these
// flows to report it.
func (k *Controller) memberLost(m *member) {
	for key, t := range k.tracked {
		if m.counts[key].flows > 0 || m.countedIndex < t.movedAt {
			t.stableSince = time.Time{}
		}
	}
}

// transitionCommands ends transitions in two steps. A bucket is flipped when its
// holders have a record of every flow that is on another endpoint, which takes one
// idle timeout, since each live flow sends a packet in that time. It is settled when
// the flip is active and no flow is on another endpoint, or when the drain deadline
// of its former endpoint has passed. Without the flip, one entry could use the old
// endpoint as the default while another sends new flows to the new endpoint without
// a record.
func (k *Controller) transitionCommands(now time.Time) []*wire.Command {
	var commands []*wire.Command
	seen := map[bucketKey]bool{}
	k.state.Table().Services(func(s *route.Service) {
		if len(s.Transitions()) == 0 {
			return
		}
		var settle, forced, flip []uint32
		for _, bucket := range slices.Sorted(maps.Keys(s.Transitions())) {
			t := s.Transitions()[bucket]
			key := bucketKey{s.ID(), bucket}
			seen[key] = true
			switch k.nextAction(now, s, key, t) {
			case actionSettle:
				settle = append(settle, bucket)
			case actionForceSettle:
				forced = append(forced, bucket)
			case actionFlip:
				flip = append(flip, bucket)
			case actionNone:
			}
		}
		commands = append(commands, settleCommand(s.ID(), settle, false)...)
		commands = append(commands, settleCommand(s.ID(), forced, true)...)
		if len(flip) > 0 {
			commands = append(commands, &wire.Command{Body: &wire.Command_Flip{Flip: &wire.Flip{Service: s.ID(), Buckets: flip}}})
		}
	})
	maps.DeleteFunc(k.tracked, func(key bucketKey, _ *trackedTransition) bool { return !seen[key] })
	return commands
}

func settleCommand(service uint32, buckets []uint32, forced bool) []*wire.Command {
	if len(buckets) == 0 {
		return nil
	}
	return []*wire.Command{{Body: &wire.Command_Settle{Settle: &wire.Settle{Service: service, Buckets: buckets, Forced: forced}}}}
}

// transitionAction is the next step of a bucket in transition.
type transitionAction int

const (
	actionNone transitionAction = iota
	actionSettle
	actionForceSettle
	actionFlip
)

// nextAction returns the next step of a bucket in transition.
func (k *Controller) nextAction(now time.Time, s *route.Service, key bucketKey, t route.Transition) transitionAction {
	if t.MovedAt > k.activeIndex {
		return actionNone
	}
	tracked := k.track(now, key, t)
	if k.pastDeadline(now, s, t) {
		return k.forcedAction(t)
	}
	flows, pending, counted := k.bucketCounts(now, key, t.MovedAt)
	if !counted || flows > 0 {
		tracked.drainedSince = time.Time{}
	} else if tracked.drainedSince.IsZero() {
		tracked.drainedSince = now
	}
	if k.state.Table().Uncertain() {
		// Packets of unknown flows are dropped, so live flows may go unseen. The idle
		// timeout starts again when the table is certain.
		tracked.stableSince = time.Time{}
		return actionNone
	}
	if now.Sub(tracked.stableSince) < s.Policy().Idle+k.config.SettleAfter {
		return actionNone
	}
	switch {
	case counted && pending == 0 && !t.Flipped():
		return actionFlip
	case t.FlipActive(k.activeIndex) && !tracked.drainedSince.IsZero() && now.Sub(tracked.drainedSince) >= k.config.SettleAfter:
		return actionSettle
	}
	return actionNone
}

// track returns the state of a bucket in transition, reset if the bucket has moved again.
func (k *Controller) track(now time.Time, key bucketKey, t route.Transition) *trackedTransition {
	tracked := k.tracked[key]
	if tracked == nil || tracked.movedAt != t.MovedAt {
		tracked = &trackedTransition{movedAt: t.MovedAt}
		k.tracked[key] = tracked
	}
	if tracked.stableSince.IsZero() {
		tracked.stableSince = now
	}
	return tracked
}

// forcedAction returns the next step to end a transition after the drain deadline.
func (k *Controller) forcedAction(t route.Transition) transitionAction {
	switch {
	case !t.Flipped():
		return actionFlip
	case t.FlipActive(k.activeIndex):
		return actionForceSettle
	}
	return actionNone
}

// bucketCounts combines the flow counts of a bucket that the entries reported.
func (k *Controller) bucketCounts(now time.Time, key bucketKey, movedAt uint64) (flows, pending uint32, counted bool) {
	counted = k.allMembersCounted(now, movedAt)
	for _, m := range k.members {
		flows = max(flows, m.counts[key].flows)
		pending += m.counts[key].pending
	}
	return flows, pending, counted
}

// pastDeadline reports whether a former endpoint of a bucket has been leaving for
// longer than the drain deadline.
func (k *Controller) pastDeadline(now time.Time, s *route.Service, t route.Transition) bool {
	for _, id := range []uint32{t.Default, t.Previous} {
		since, leaving := k.state.LeavingSince(id)
		if leaving && id != t.Current && now.Sub(since) >= s.Policy().DrainDeadline {
			return true
		}
	}
	return false
}
