package credit

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the average of requests in progress. It covers a dozen
	// requests of an entry on a usual day: over 200 ms, entries reached startShare by chance.
	loadWindow = 500 * time.Millisecond
	// Load mode starts when the average reaches startShare of the entry's share of the slots, or
	// the current number startBurst times that share, and ends after calmPeriod below stopShare
	// without a rejection.
	startShare = 0.5
	startBurst = 2.0
	stopShare  = 0.3
	calmPeriod = time.Second
	// slotsInterval is how long the number of slots is cached.
	slotsInterval = 250 * time.Millisecond
	// minDemand is how many flows of the last second make a priority count as in demand. Clients that
	// only check a route open about one flow in two seconds through each entry.
	minDemand = 1.5
	permille  = 1000
	// minShare is the share of the flows admitted by an entry below which a lower priority is treated
	// like the highest. Allocators keep a tenth of what they grant, but credits are used again by
	// whichever flow comes next. It is above a tenth, since it acts only below itself.
	minShare = 0.12
	// admittedWindow is the time constant of the counts of admitted flows.
	admittedWindow = time.Second
	// yieldFactor is by how much each rejection of the highest priority reduces the share of the
	// flows of lower priorities that may use credits; yieldPeriod is how long it takes to rise
	// from nothing to all again.
	yieldFactor = 0.8
	yieldPeriod = 800 * time.Millisecond
	// minAnswerGain is the least weight of an answer in the share of refusals: an entry gets up to
	// 30 answers a second.
	minAnswerGain = 1.0 / 30
	// refusalWindow is the time constant of the share of refusals.
	refusalWindow = time.Second
)

type (
	// service is the state of one service at the entry.
	service struct {
		name       string
		loaded     bool
		inProgress int
		average    float64 // of inProgress
		averageAt  time.Time
		lowSince   time.Time // since when the average is below stopShare, zero if it is not
		rejectedAt time.Time
		slots      int
		slotsAt    time.Time
		heardAt    time.Time // last reply of an allocator
		shortages  float64   // new flows without a credit, decaying over shortageWindow
		shortageAt time.Time
		priorities map[int]*priority
		admitted   average // flows admitted in load mode
		rejected   average // flows rejected
		// lowerShare is the share of the flows of lower priorities that may use credits. It falls
		// while the highest priority in demand is rejected, and rises again over yieldPeriod.
		lowerShare   float64
		lowerShareAt time.Time
	}

	// priority is the state of one route priority of a service.
	priority struct {
		demand   average   // new flows
		refusal  float64   // share of refusals among the last answers
		answerAt time.Time // last answer of an allocator
		refused  bool      // whether that was a refusal
		admitted average   // flows admitted in load mode
	}
)

// average is a count of events that decays over admittedWindow.
type average struct {
	count float64
	at    time.Time
}

// add counts an event.
func (a *average) add(now time.Time) { a.count, a.at = a.value(now)+1, now }

// value returns the count.
func (a *average) value(now time.Time) float64 {
	return a.count * decay(now.Sub(a.at), admittedWindow)
}

// service returns the state of a service, creating it if needed.
func (a *Account) service(name string) *service {
	s := a.services[name]
	if s == nil {
		s = &service{name: name, priorities: map[int]*priority{}, lowerShare: 1}
		a.services[name] = s
	}
	return s
}

// priority returns the state of a route priority.
func (s *service) priority(n int) *priority {
	p := s.priorities[n]
	if p == nil {
		p = &priority{}
		s.priorities[n] = p
	}
	return p
}

// noteDemand records a new flow of a priority.
func (s *service) noteDemand(now time.Time, n int) { s.priority(n).demand.add(now) }

// noteAdmitted counts an admitted flow of a priority.
func (s *service) noteAdmitted(now time.Time, n int) {
	s.priority(n).admitted.add(now)
	s.admitted.add(now)
}

// admittedPermille returns the share of the flows admitted in the last second, in thousandths.
// Allocators even it out over entries and failure domains.
func (s *service) admittedPermille(now time.Time) uint32 {
	admitted, rejected := s.admitted.value(now), s.rejected.value(now)
	if admitted+rejected < 1 {
		return permille
	}
	return uint32(permille * admitted / (admitted + rejected))
}

// isStarved reports whether a priority that yields to a higher one got less than its minimum share
// of the flows admitted in the last second.
func (s *service) isStarved(now time.Time, n int) bool {
	total := 0.0
	for _, p := range s.priorities {
		total += p.admitted.value(now)
	}
	return !s.isTop(now, n) && s.priority(n).admitted.value(now) < minShare*total
}

// isPreferred reports whether flows of a priority may use reserved credits, and do not yield.
func (s *service) isPreferred(now time.Time, n int) bool {
	return s.isTop(now, n) || s.isStarved(now, n)
}

// yield reduces the share of lower priorities after a rejection of the highest one. Without it, the
// credits that lower priorities use again and again would never get to the highest.
func (s *service) yield(now time.Time) {
	s.lowerShare, s.lowerShareAt = yieldFactor*s.lowerPriorityShare(now), now
}

// lowerPriorityShare returns the share of the flows of lower priorities that may use credits.
func (s *service) lowerPriorityShare(now time.Time) float64 {
	return min(1, s.lowerShare+min(now.Sub(s.lowerShareAt), yieldPeriod).Seconds()/yieldPeriod.Seconds())
}

// isTop reports whether no higher priority is in demand. A few flows of one are not: clients that
// only check a route would otherwise take the rights of the highest priority from all others.
func (s *service) isTop(now time.Time, n int) bool {
	for other, p := range s.priorities {
		if other < n && p.demand.value(now) > minDemand {
			return false
		}
	}
	return true
}

// noteShortage counts a new flow for which there was no idle credit.
func (s *service) noteShortage(now time.Time) {
	s.shortages = s.shortages*decay(now.Sub(s.shortageAt), shortageWindow) + 1
	s.shortageAt = now
}

// wanted returns how many credits the next request asks for.
func (s *service) wanted(now time.Time) uint32 {
	recent := s.shortages * decay(now.Sub(s.shortageAt), shortageWindow)
	return uint32(min(maxWanted, max(1, math.Round(recent))))
}

// noteAnswer records whether an allocator refused a request.
func (p *priority) noteAnswer(now time.Time, refused bool) {
	sample := 0.0
	if refused {
		sample = 1
	}
	gain := 1 - decay(min(now.Sub(p.answerAt), refusalWindow), refusalWindow)
	p.refusal += max(gain, minAnswerGain) * (sample - p.refusal)
	p.answerAt, p.refused = now, refused
}

// isContended reports whether an allocator refused the priority a moment ago. Without that,
// returning clients are treated like first-time ones, so that none is rejected after the load
// has gone.
func (p *priority) isContended(now time.Time) bool {
	return p.refused && now.Sub(p.answerAt) < shortageWindow
}

// decay returns the weight that remains of an average after a time.
func decay(elapsed, window time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / window.Seconds())
}

// advanceAverage brings the average of requests in progress up to date.
func (s *service) advanceAverage(now time.Time) {
	if !now.After(s.averageAt) {
		return
	}
	keep := decay(now.Sub(s.averageAt), loadWindow)
	s.average = keep*s.average + (1-keep)*float64(s.inProgress)
	s.averageAt = now
}

// share returns the slots of the service in the failure domain for each entry of it, infinite if
// they are not known.
func (a *Account) share(now time.Time, s *service) float64 {
	if now.Sub(s.slotsAt) >= slotsInterval || s.slotsAt.IsZero() {
		s.slots, s.slotsAt = a.config.Slots(s.name), now
	}
	if s.slots == 0 || a.entries == 0 {
		return math.Inf(1)
	}
	return float64(s.slots) / float64(a.entries)
}

// updateMode starts or ends load mode for a service.
func (a *Account) updateMode(now time.Time, s *service) {
	s.advanceAverage(now)
	share := a.share(now, s)
	if s.average >= stopShare*share || now.Sub(s.rejectedAt) < calmPeriod {
		s.lowSince = time.Time{}
	} else if s.lowSince.IsZero() {
		s.lowSince = now
	}
	switch {
	case !s.loaded && (s.average >= startShare*share || float64(s.inProgress) >= startBurst*share):
		a.setLoaded(s, true, share)
	case s.loaded && !s.lowSince.IsZero() && now.Sub(s.lowSince) >= calmPeriod:
		a.setLoaded(s, false, share)
		a.dropCredits(s.name)
	}
}

// setLoaded starts or ends load mode.
func (a *Account) setLoaded(s *service, loaded bool, share float64) {
	s.loaded = loaded
	if loaded {
		a.loaded++
	} else {
		a.loaded--
	}
	if a.config.OnMode != nil {
		a.config.OnMode(s.name, loaded, s.average, share)
	}
}
