package utilisation

import (
	"math"
	"time"
)

const (
	// countPeriod is the time constant of an endpoint's mean count. It is the interval of
	// the lists that report the responses which the mean corrects.
	countPeriod = 250 * time.Millisecond
	// workPeriod is the time constant after which responses stop counting for a work
	// time. An endpoint of 4 slots and 200 ms of work has 40 responses in it.
	workPeriod = 2 * time.Second
	// priorResponses is the weight of the pool's mean in the work time of an endpoint with one
	// response, in responses. Without it a single slow response would close an endpoint. It
	// falls with the number of responses: with a constant weight, endpoints of 600 ms among
	// those of 200 ms were learned as 500 ms.
	priorResponses = 4
	// maxNanos bounds a learned or expected time, so that a multiple of it does not
	// overflow.
	maxNanos = 1 << 60
)

type (
	// Load is the load of one endpoint over all entries.
	Load struct {
		number  uint64
		slots   int
		cold    bool
		removed bool // no longer an endpoint of the pool
		free    int  // position in Pool.free, or -1 if all slots are taken
		count   int  // credits and requests in progress

		meanCount float64 // over countPeriod
		averaged  time.Time
		responses responses
		work      time.Duration
		expected  time.Duration
	}

	// responses are the recent responses of an endpoint or a pool, where older ones weigh
	// less.
	responses struct {
		count float64
		nanos float64 // sum of their work times
		at    time.Time
	}
)

// Number returns the number of the endpoint.
func (l *Load) Number() uint64 { return l.number }

// Slots returns how many requests the endpoint processes at once, at least 1.
func (l *Load) Slots() int { return l.slots }

// Cold reports whether the endpoint has only just started.
func (l *Load) Cold() bool { return l.cold }

// Count returns the credits and the requests in progress at the endpoint.
func (l *Load) Count() int { return l.count }

// Free reports whether the endpoint has a slot for one more request.
func (l *Load) Free() bool { return l.count < l.slots }

// Work returns the learned work time of a request, 0 if nothing is known of the pool.
func (l *Load) Work() time.Duration { return l.work }

// Expected returns the response time to expect for one more request: the work time,
// longer in the proportion of requests to slots if there would be more requests than slots.
func (l *Load) Expected() time.Duration { return l.expected }

// add changes the count, which stays at or above zero.
func (l *Load) add(now time.Time, delta int) {
	l.average(now)
	l.count = max(l.count+delta, 0)
	l.expect()
}

// expect updates the expected response time.
func (l *Load) expect() {
	l.expected = l.work
	if l.count >= l.slots {
		l.expected = duration(float64(l.work) * float64(l.count+1) / float64(l.slots))
	}
}

// average brings the mean count up to a time.
func (l *Load) average(now time.Time) {
	passed := now.Sub(l.averaged)
	if passed <= 0 {
		return
	}
	l.meanCount += (float64(l.count) - l.meanCount) * (1 - decay(passed, countPeriod))
	l.averaged = now
}

// workOf returns the sum of the work times of some responses, given the sum of their
// response times. With more requests than slots, requests wait: by Little's law the
// response time then exceeds the work time by the factor of requests to slots.
func (l *Load) workOf(now time.Time, responseNanos int64) float64 {
	l.average(now)
	return float64(responseNanos) / max(1, l.meanCount/float64(l.slots))
}

// learn updates the work time with the mean of the pool's work times, in nanoseconds.
func (l *Load) learn(now time.Time, poolMean float64) {
	l.responses.forget(now)
	prior := priorResponses / max(1, l.responses.count)
	nanos := l.responses.nanos + prior*poolMean
	l.work = duration(nanos / (l.responses.count + prior))
	l.expect()
}

// add adds responses with the sum of their work times.
func (r *responses) add(now time.Time, count uint32, nanos float64) {
	r.forget(now)
	r.count += float64(count)
	r.nanos += nanos
}

// forget reduces the weight of the responses by the time that has passed.
func (r *responses) forget(now time.Time) {
	passed := now.Sub(r.at)
	if passed <= 0 {
		return
	}
	kept := decay(passed, workPeriod)
	r.count, r.nanos, r.at = r.count*kept, r.nanos*kept, now
}

// mean returns the mean work time in nanoseconds, 0 without responses. The weights of old
// responses decay in proportion, so that the mean lasts until there are new ones.
func (r *responses) mean() float64 {
	if r.count <= 0 {
		return 0
	}
	return r.nanos / r.count
}

// duration converts a number of nanoseconds.
func duration(nanos float64) time.Duration { return time.Duration(min(nanos, maxNanos)) }

// decay returns how much remains of a weight after a time.
func decay(passed, period time.Duration) float64 {
	return math.Exp(-passed.Seconds() / period.Seconds())
}
