package flow

import (
	"time"

	"oxbowsaddle/internal/route"
)

// closingLife is how long a closed flow is remembered for its last packets.
const closingLife = 10 * time.Second

type (
	// Row tells how many flows of a bucket are not on its current endpoint,
	// and how many of those the holders have not confirmed.
	Row struct {
		Service, Bucket uint32
		Flows, Pending  uint32
	}

	// Count is the result of one pass over the cached flows.
	Count struct {
		Index       uint64 // of the table when the pass began
		Rows        []Row
		Connections map[uint32]uint32 // open flows by endpoint
	}

	// sweeper walks the cached flows a few at a time.
	sweeper struct {
		began   uint64
		rows    map[bucketKey]uint32
		conns   map[uint32]uint32
		again   map[bucketKey]bool
		last    Count
		lastRun time.Time
		carry   float64
	}
)

func newSweeper() sweeper {
	return sweeper{rows: map[bucketKey]uint32{}, conns: map[uint32]uint32{}, again: map[bucketKey]bool{}}
}

// pushAgain makes the present pass tell the flows of a bucket once more,
// because both of its holders were lost.
func (s *sweeper) pushAgain(key bucketKey) { s.again[key] = true }

// LastCount returns the result of the last whole pass.
func (e *Engine) LastCount() Count { return e.sweep.last }

// Tick does what is due: sweeps, pushes, and questions that got no answer.
func (e *Engine) Tick(now time.Time) {
	e.expireQuestions(now)
	e.runPushes(now)
	e.runSweep(now)
}

func (e *Engine) runSweep(now time.Time) {
	if e.sweep.lastRun.IsZero() {
		e.sweep.lastRun = now
	}
	e.sweep.carry += float64(len(e.flows.slots)) * float64(now.Sub(e.sweep.lastRun)) / float64(e.config.SweepEvery)
	e.sweep.lastRun = now
	n := min(int(e.sweep.carry), 2*len(e.flows.slots))
	e.sweep.carry -= float64(n)
	for n > 0 {
		step := min(n, len(e.flows.slots)-int(e.flows.cursor))
		n -= step
		if e.flows.each(step, func(s *slot) bool { return e.sweepSlot(now, s) }) {
			e.finishPass()
		}
	}
}

// finishPass publishes the count and begins the next pass.
func (e *Engine) finishPass() {
	count := Count{Index: e.sweep.began, Connections: e.sweep.conns}
	e.countRecords()
	for key, flows := range e.sweep.rows {
		count.Rows = append(count.Rows, Row{key.service, key.bucket, flows, uint32(e.push.pending(key))})
	}
	e.sweep.last = count
	e.sweep.began = e.view.Table.Index()
	e.sweep.rows = map[bucketKey]uint32{}
	e.sweep.conns = map[uint32]uint32{}
	clear(e.sweep.again)
}

// countRecords adds the flows that this entry holds records of in buckets
// that are not in transition: only the return of a cut domain brings such, and
// the row makes the controller open the bucket. In a bucket in transition a
// record is not counted, since its flow may have ended unseen.
func (e *Engine) countRecords() {
	for key, h := range e.byHeld {
		s := e.view.Table.Service(key.service)
		if s == nil || len(h.flows) == 0 {
			continue
		}
		if _, open := s.Transition(key.bucket); open {
			continue
		}
		var elsewhere uint32
		for id := range h.flows {
			if e.records[id].endpoint != s.Current(key.bucket) {
				elsewhere++
			}
		}
		if elsewhere > 0 {
			e.sweep.rows[key] = max(e.sweep.rows[key], elsewhere)
		}
	}
}

// sweepSlot frees a flow that has ended and counts one that is not on its
// bucket's endpoint; false frees the slot.
func (e *Engine) sweepSlot(now time.Time, s *slot) bool {
	endpoint := e.view.Table.Endpoint(s.endpoint)
	if endpoint == nil {
		return false
	}
	service := e.view.Table.Service(endpoint.Service())
	if time.Duration(e.flows.ticks(now)-s.seen)*tick > e.lifeOf(s, service) {
		return false
	}
	if s.state != stateClosing {
		e.sweep.conns[s.endpoint]++
	}
	bucket := service.Bucket(s.id)
	if service.Current(bucket) == s.endpoint {
		return true
	}
	key := bucketKey{service.ID(), bucket}
	e.sweep.rows[key]++
	if !s.pushed || e.sweep.again[key] {
		s.pushed = s.state != stateOpening && e.tell(key, s.id, s.endpoint, false)
	}
	return true
}

func (e *Engine) lifeOf(s *slot, service *route.Service) time.Duration {
	switch s.state {
	case stateOpening:
		return e.config.HalfOpenLife
	case stateClosing:
		return min(closingLife, service.Policy().Idle)
	default:
		return service.Policy().Idle
	}
}
