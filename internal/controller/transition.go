package controller

import (
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// transition is what the controller follows of a bucket in transition.
type transition struct {
	movedAt uint64
	quiet   time.Time // since when nothing was lost that knew of its flows
	zero    time.Time // since when no entry has seen a flow elsewhere
}

// lost notes that an entry is gone: of the buckets that it saw flows of, or
// had not counted yet, every living flow must show itself once more.
func (k *Controller) lost(m *member) {
	for key, t := range k.open {
		if m.rows[key].flows > 0 || m.counted < t.movedAt {
			t.quiet = time.Time{}
		}
	}
}

// transitions ends what can be ended. A bucket is flipped when its holders
// know every flow that is elsewhere: after one idle limit each living flow has
// shown itself. It is settled when every entry knows of the flip and no flow
// is elsewhere any more, or when the drain deadline of its former endpoint has
// passed. Without the flip between, one entry would take the old endpoint for
// the default while another already sends new flows to the new one unrecorded.
func (k *Controller) transitions(now time.Time) []*wire.Command {
	var commands []*wire.Command
	seen := map[bucketKey]bool{}
	k.state.Table().Services(func(s *route.Service) {
		if len(s.Open()) == 0 {
			return
		}
		var settle, forced, flip []uint32
		for _, bucket := range slices.Sorted(maps.Keys(s.Open())) {
			t := s.Open()[bucket]
			key := bucketKey{s.ID(), bucket}
			seen[key] = true
			switch k.judge(now, s, key, t) {
			case doSettle:
				settle = append(settle, bucket)
			case doForce:
				forced = append(forced, bucket)
			case doFlip:
				flip = append(flip, bucket)
			case doNothing:
			}
		}
		commands = append(commands, settleCommand(s.ID(), settle, false)...)
		commands = append(commands, settleCommand(s.ID(), forced, true)...)
		if len(flip) > 0 {
			commands = append(commands, &wire.Command{Body: &wire.Command_Flip{Flip: &wire.Flip{Service: s.ID(), Buckets: flip}}})
		}
	})
	maps.DeleteFunc(k.open, func(key bucketKey, _ *transition) bool { return !seen[key] })
	return commands
}

func settleCommand(service uint32, buckets []uint32, forced bool) []*wire.Command {
	if len(buckets) == 0 {
		return nil
	}
	return []*wire.Command{{Body: &wire.Command_Settle{Settle: &wire.Settle{Service: service, Buckets: buckets, Forced: forced}}}}
}

type judgement int

const (
	doNothing judgement = iota
	doSettle
	doForce
	doFlip
)

func (k *Controller) judge(now time.Time, s *route.Service, key bucketKey, t route.Transition) judgement {
	if t.MovedAt > k.active {
		return doNothing
	}
	f := k.follow(now, key, t)
	if k.pastDeadline(now, s, t) {
		return k.force(t)
	}
	flows, pending, counted := k.rows(now, key, t.MovedAt)
	if !counted || flows > 0 {
		f.zero = time.Time{}
	} else if f.zero.IsZero() {
		f.zero = now
	}
	if k.state.Table().Suspect() {
		// Packets of flows that nobody knows are withheld, so a living flow may
		// not show itself: it has an idle limit for it once the doubt has ended.
		f.quiet = time.Time{}
		return doNothing
	}
	if now.Sub(f.quiet) < s.Policy().Idle+k.config.SettleAfter {
		return doNothing
	}
	switch {
	case counted && pending == 0 && !t.Flipped():
		return doFlip
	case t.FlipActive(k.active) && !f.zero.IsZero() && now.Sub(f.zero) >= k.config.SettleAfter:
		return doSettle
	}
	return doNothing
}

// follow returns what is followed of a bucket, begun anew when it has moved.
func (k *Controller) follow(now time.Time, key bucketKey, t route.Transition) *transition {
	f := k.open[key]
	if f == nil || f.movedAt != t.MovedAt {
		f = &transition{movedAt: t.MovedAt}
		k.open[key] = f
	}
	if f.quiet.IsZero() {
		f.quiet = now
	}
	return f
}

// force ends a transition whose deadline has passed, in the same two steps.
func (k *Controller) force(t route.Transition) judgement {
	switch {
	case !t.Flipped():
		return doFlip
	case t.FlipActive(k.active):
		return doForce
	}
	return doNothing
}

// rows sums up what the entries with a lease have reported of a bucket.
func (k *Controller) rows(now time.Time, key bucketKey, movedAt uint64) (flows, pending uint32, counted bool) {
	counted = k.allCounted(now, movedAt)
	for _, m := range k.members {
		flows = max(flows, m.rows[key].flows)
		pending += m.rows[key].pending
	}
	return flows, pending, counted
}

// pastDeadline reports whether the former endpoint of a bucket has been
// leaving for longer than its drain deadline.
func (k *Controller) pastDeadline(now time.Time, s *route.Service, t route.Transition) bool {
	for _, id := range []uint32{t.Default, t.Previous} {
		since, leaving := k.state.LeavingSince(id)
		if leaving && id != t.Current && now.Sub(since) >= s.Policy().DrainDeadline {
			return true
		}
	}
	return false
}
