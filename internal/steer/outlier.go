package steer

import "time"

const (
	// hungTargets and hungLeast say when a request counts as hung: once it has waited
	// for so many times the time after which its route calls an answer late, and for
	// hungLeast. A queue of eight before two slots of 55 ms is 0.3 s.
	hungTargets = 2
	hungLeast   = 500 * time.Millisecond
	// peersAnswered is how many other requests of the same service must have been
	// answered here in time meanwhile, and peersPart how many for each that was not: a
	// service that is slow as a whole has no outliers, and neither has an entry that cannot
	// hear. A third of a small service's answers are late in the second after a loss of
	// power; without peersPart nine endpoints of 18 were judged then, and callers that came
	// again found fewer.
	peersAnswered = 3
	peersPart     = 3
	// awaitMost bounds the requests that are watched: 20 times as many as an entry of
	// 6,800 is sent in hungLeast. Those beyond it are not judged.
	awaitMost = 4000
	// hungAgainAfter bounds how often this entry reports an endpoint.
	hungAgainAfter = 500 * time.Millisecond
	// hungFirst and hungMost bound how long new flows avoid an endpoint that several
	// entries wait for; the span doubles while it is judged again, and flows try it
	// between.
	hungFirst = 3 * time.Second
	hungMost  = 12 * time.Second
	// hungShare is the part of a service, one in so many, that is avoided for this at
	// most: the others must take their load.
	hungShare = 3
)

// hung is what an entry knows of an endpoint that takes requests and does not answer, or
// answers errors.
type hung struct {
	reportAt time.Time // no report before
	until    time.Time // new flows avoid it
	span     time.Duration
}

type (
	// answers counts the requests of a service at this entry, as callers see them.
	answers struct {
		inTime, late uint64 // late, or hung
	}

	// awaited is a request that went in on a flow at a time, and may have been answered.
	awaited struct {
		flow  *flow
		asked time.Time
		peers answers // of its service by then
	}
)

// waits reports whether the request waits still.
func (a awaited) waits() bool { return a.flow.busy && a.flow.askedAt.Equal(a.asked) }

// awaitAnswer notes that a request of a flow went in.
func (s *Steerer) awaitAnswer(f *flow) {
	if len(s.awaiting) < awaitMost {
		s.awaiting = append(s.awaiting, awaited{f, f.askedAt, *s.answersOf(f.backend)})
	}
}

// noteAnswer notes that the answer of a flow's request begins, if one waits.
func (s *Steerer) noteAnswer(now time.Time, f *flow) {
	switch {
	case !f.busy:
	case now.Sub(f.askedAt) <= s.hungAfter(f)/hungTargets:
		s.answersOf(f.backend).inTime++
	default:
		s.answersOf(f.backend).late++
	}
}

// answersOf returns the counts of an endpoint's service, which the endpoint keeps at
// hand: a look into a map takes as long as all else that a packet costs.
func (s *Steerer) answersOf(b *backend) *answers {
	if b.answers != nil {
		return b.answers
	}
	if s.answers[b.Service] == nil {
		s.answers[b.Service] = &answers{}
	}
	b.answers = s.answers[b.Service]
	return b.answers
}

// outlies reports whether the rest of the service answered well since a request went in.
func (a *answers) outlies(before answers) bool {
	inTime, late := a.inTime-before.inTime, a.late-before.late
	return inTime >= peersAnswered && inTime >= peersPart*late
}

// reportHung reports the endpoints of requests that hang while their service answers
// others. Requests wait in the order in which they came; those that are answered, or
// reported, are dropped once they have waited for hungLeast.
func (s *Steerer) reportHung(now time.Time) {
	old := 0
	var kept []awaited
	for _, a := range s.awaiting {
		if now.Sub(a.asked) < hungLeast {
			break
		}
		old++
		if a.waits() && !s.judgeHung(now, a) {
			kept = append(kept, a)
		}
	}
	if old == 0 {
		return
	}
	rest := s.awaiting[old-len(kept):] // the places of those that are kept, and what follows
	copy(rest, kept)
	s.awaiting = rest
}

// judgeHung reports the endpoint of a request if it hangs; it returns whether the
// request has been judged.
func (s *Steerer) judgeHung(now time.Time, a awaited) bool {
	if now.Sub(a.asked) < s.hungAfter(a.flow) {
		return false
	}
	b := a.flow.backend
	counts := s.answersOf(b)
	outlier := counts.outlies(a.peers)
	counts.late++
	if outlier {
		s.reportOutlier(now, b)
	}
	return true
}

// reportOutlier reports an endpoint, unless that was done a moment ago.
func (s *Steerer) reportOutlier(now time.Time, b *backend) {
	if s.config.Hung == nil || now.Before(b.hung.reportAt) {
		return
	}
	b.hung.reportAt = now.Add(hungAgainAfter)
	s.config.Hung(b.ID)
}

// hungAfter returns how long a request of a flow waits before it counts as hung.
func (s *Steerer) hungAfter(f *flow) time.Duration {
	if r := s.routes[f.key.dst]; r != nil {
		return max(hungLeast, hungTargets*r.Target)
	}
	return hungLeast
}

// TakeHung takes that several entries say that an endpoint fails requests that it took:
// new flows avoid it for a while. Flows that are open stay. It reports whether they do from now on.
func (s *Steerer) TakeHung(now time.Time, id string) bool {
	b := s.byID[id]
	if b == nil || now.Before(b.hung.until) || !s.spares(now, b) {
		return false
	}
	if now.Sub(b.hung.until) > b.hung.span {
		b.hung.span = 0 // it went well for long
	}
	b.hung.span = min(max(hungFirst, 2*b.hung.span), hungMost)
	b.hung.until = now.Add(b.hung.span)
	return true
}

// spares reports whether the rest of an endpoint's service can take its load.
func (s *Steerer) spares(now time.Time, b *backend) bool {
	p := s.pools[b.Service]
	if p == nil {
		return false
	}
	all, avoided := 0, 0
	for _, list := range p[:evacuatedSide] {
		all += len(list)
		for _, other := range list {
			if now.Before(other.hung.until) {
				avoided++
			}
		}
	}
	return (avoided+1)*hungShare <= all
}
