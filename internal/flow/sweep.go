package flow

import (
	"time"

	"oxbowsaddle/internal/route"
)

// closingTimeout is how long a closed flow stays cached for its last packets.
const closingTimeout = 10 * time.Second

type (
	// BucketFlows is the number of flows of a bucket that aren't on its current endpoint, and
	// how many of these the holders haven't acknowledged.
	BucketFlows struct {
		Service, Bucket uint32
		Flows, Pending  uint32
	}

	// SweepResult is the result of one pass over the cached flows.
	SweepResult struct {
		Index       uint64 // of the table when the pass began
		Buckets     []BucketFlows
		Connections map[uint32]uint32 // flows by endpoint, without closing ones
	}

	// sweeper scans the cached flows incrementally.
	sweeper struct {
		startIndex      uint64               // of the table when the pass began
		flowsElsewhere  map[bucketKey]uint32 // flows that aren't on the bucket's current endpoint
		connections     map[uint32]uint32    // flows by endpoint
		bucketsToReport map[bucketKey]bool   // whose flows are reported again
		lastResult      SweepResult
		lastRun         time.Time
		remainder       float64 // fraction of a slot left over by the last run
	}
)

func newSweeper() sweeper {
	return sweeper{flowsElsewhere: map[bucketKey]uint32{}, connections: map[uint32]uint32{}, bucketsToReport: map[bucketKey]bool{}}
}

// reportAgain makes the current pass report the flows of a bucket again, after both
// of its holders were lost.
func (s *sweeper) reportAgain(key bucketKey) { s.bucketsToReport[key] = true }

// LastSweep returns the result of the last complete pass.
func (e *Engine) LastSweep() SweepResult { return e.sweep.lastResult }

// Tick expires questions, sends pushes and continues the scan of cached flows.
func (e *Engine) Tick(now time.Time) {
	e.expireQuestions(now)
	e.runPushes(now)
	e.runSweep(now)
}

func (e *Engine) runSweep(now time.Time) {
	if e.sweep.lastRun.IsZero() {
		e.sweep.lastRun = now
	}
	e.sweep.remainder += float64(len(e.flows.slots)) * float64(now.Sub(e.sweep.lastRun)) / float64(e.config.SweepInterval)
	e.sweep.lastRun = now
	n := min(int(e.sweep.remainder), 2*len(e.flows.slots))
	e.sweep.remainder -= float64(n)
	for n > 0 {
		step := min(n, len(e.flows.slots)-int(e.flows.cursor))
		n -= step
		if e.flows.scan(step, func(s *slot) bool { return e.sweepSlot(now, s) }) {
			e.finishPass()
		}
	}
}

// finishPass publishes the result of a pass and starts the next one.
func (e *Engine) finishPass() {
	result := SweepResult{Index: e.sweep.startIndex, Connections: e.sweep.connections}
	e.countRecords()
	for key, flows := range e.sweep.flowsElsewhere {
		result.Buckets = append(result.Buckets, BucketFlows{key.service, key.bucket, flows, uint32(e.push.unconfirmed(key))})
	}
	e.sweep.lastResult = result
	e.sweep.startIndex = e.view.Table.Index()
	e.sweep.flowsElsewhere = map[bucketKey]uint32{}
	e.sweep.connections = map[uint32]uint32{}
	clear(e.sweep.bucketsToReport)
}

// countRecords adds the recorded flows of settled buckets that aren't on the current
// endpoint. These exist only after a partitioned domain is reachable again, and the
// controller then reopens the buckets. Records of buckets in transition aren't
// counted, since their flows may have ended unseen.
func (e *Engine) countRecords() {
	for key, h := range e.holdings {
		s := e.view.Table.Service(key.service)
		if s == nil || len(h.flows) == 0 {
			continue
		}
		if _, inTransition := s.Transition(key.bucket); inTransition {
			continue
		}
		var elsewhere uint32
		for id := range h.flows {
			if e.records[id].endpoint != s.Current(key.bucket) {
				elsewhere++
			}
		}
		if elsewhere > 0 {
			e.sweep.flowsElsewhere[key] = max(e.sweep.flowsElsewhere[key], elsewhere)
		}
	}
}

// sweepSlot counts a cached flow and reports it if it isn't on its bucket's current
// endpoint. It returns false to free the slot of a flow that has expired.
func (e *Engine) sweepSlot(now time.Time, s *slot) bool {
	endpoint := e.view.Table.Endpoint(s.endpoint)
	if endpoint == nil {
		return false
	}
	service := e.view.Table.Service(endpoint.Service())
	if time.Duration(e.flows.ticks(now)-s.lastSeen)*tick > e.idleTimeout(s, service) {
		return false
	}
	if s.state != stateClosing {
		e.sweep.connections[s.endpoint]++
	}
	bucket := service.Bucket(s.id)
	if service.Current(bucket) == s.endpoint {
		return true
	}
	key := bucketKey{service.ID(), bucket}
	e.sweep.flowsElsewhere[key]++
	if !s.reported || e.sweep.bucketsToReport[key] {
		s.reported = s.state != stateOpening && e.queueReport(key, s.id, s.endpoint, false)
	}
	return true
}

func (e *Engine) idleTimeout(s *slot, service *route.Service) time.Duration {
	switch s.state {
	case stateOpening:
		return e.config.HalfOpenTimeout
	case stateClosing:
		return min(closingTimeout, service.Policy().Idle)
	default:
		return service.Policy().Idle
	}
}
