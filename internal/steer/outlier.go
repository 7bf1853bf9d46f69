package steer

import "time"

const (
	// hangTargetMultiple and hungLeast say when a request counts as hung: once it has waited
	// for so many times the time after which its route calls an answer late, and for
	// hungLeast. A queue of eight before two slots of 55 ms is 0.3 s.
	hangTargetMultiple = 2
	minHangTime        = 500 * time.Millisecond
	// minPeerResponses is how many other requests of the same service must have been
	// answered here in time meanwhile, and peersPart how many for each that was not: a
	// service that is slow as a whole has no outliers, and neither has an entry that cannot
	// hear. A third of a small service's answers are late in the second after a loss of
	// power; without peersPart nine endpoints of 18 were judged then, and callers that came
	// again found fewer.
	minPeerResponses = 3
	minPeerRatio     = 3
	// maxPendingRequests bounds the requests that are watched: 20 times as many as an entry of
	// 6,800 is sent in hungLeast. Those beyond it are not judged.
	maxPendingRequests = 4000
	// outlierReportInterval bounds how often this entry reports an endpoint.
	outlierReportInterval = 500 * time.Millisecond
	// minEjection and hungMost bound how long new flows avoid an endpoint that several
	// entries wait for; the span doubles while it is judged again, and flows try it
	// between.
	minEjection = 3 * time.Second
	maxEjection = 12 * time.Second
	// endpointsPerEjection is the part of a service, one in so many, that is avoided for this at
	// most: the others must take their load.
	endpointsPerEjection = 3
)

// ejection is what an entry knows of an endpoint that takes requests and does not answer, or
// answers errors.
type ejection struct {
	nextReport time.Time // no report before
	until      time.Time // new flows avoid it
	period     time.Duration
}

type (
	// responseCounts counts the requests of a service at this entry, as callers see them.
	responseCounts struct {
		inTime, late uint64 // late, or hung
	}

	// pendingRequest is a request that went in on a flow at a time, and may have been answered.
	pendingRequest struct {
		flow     *flow
		sentAt   time.Time
		baseline responseCounts // of its service by then
	}
)

// pending reports whether the request pending still.
func (a pendingRequest) pending() bool {
	return a.flow.awaitingResponse && a.flow.requestAt.Equal(a.sentAt)
}

// trackRequest notes that a request of a flow went in.
func (s *Steerer) trackRequest(f *flow) {
	if len(s.pendingRequests) < maxPendingRequests {
		s.pendingRequests = append(s.pendingRequests, pendingRequest{f, f.requestAt, *s.responseCountsOf(f.backend)})
	}
}

// countResponse notes that the answer of a flow's request begins, if one waits.
func (s *Steerer) countResponse(now time.Time, f *flow) {
	switch {
	case !f.awaitingResponse:
	case now.Sub(f.requestAt) <= s.hangTimeout(f)/hangTargetMultiple:
		s.responseCountsOf(f.backend).inTime++
	default:
		s.responseCountsOf(f.backend).late++
	}
}

// responseCountsOf returns the counts of an endpoint's service, which the endpoint keeps at
// hand: a look into a map takes as long as all else that a packet costs.
func (s *Steerer) responseCountsOf(b *backend) *responseCounts {
	if b.responses != nil {
		return b.responses
	}
	if s.responses[b.Service] == nil {
		s.responses[b.Service] = &responseCounts{}
	}
	b.responses = s.responses[b.Service]
	return b.responses
}

// peersResponsive reports whether the rest of the service answered well since a request went in.
func (c *responseCounts) peersResponsive(baseline responseCounts) bool {
	inTime, late := c.inTime-baseline.inTime, c.late-baseline.late
	return inTime >= minPeerResponses && inTime >= minPeerRatio*late
}

// reportHungRequests reports the endpoints of requests that hang while their service answers
// others. Requests wait in the order in which they came; those that are answered, or
// reported, are dropped once they have waited for hungLeast.
func (s *Steerer) reportHungRequests(now time.Time) {
	expired := 0
	var kept []pendingRequest
	for _, a := range s.pendingRequests {
		if now.Sub(a.sentAt) < minHangTime {
			break
		}
		expired++
		if a.pending() && !s.checkHung(now, a) {
			kept = append(kept, a)
		}
	}
	if expired == 0 {
		return
	}
	rest := s.pendingRequests[expired-len(kept):] // the places of those that are kept, and what follows
	copy(rest, kept)
	s.pendingRequests = rest
}

// checkHung reports the endpoint of a request if it hangs; it returns whether the
// request has been judged.
func (s *Steerer) checkHung(now time.Time, a pendingRequest) bool {
	if now.Sub(a.sentAt) < s.hangTimeout(a.flow) {
		return false
	}
	b := a.flow.backend
	counts := s.responseCountsOf(b)
	outlier := counts.peersResponsive(a.baseline)
	counts.late++
	if outlier {
		s.reportOutlier(now, b)
	}
	return true
}

// reportOutlier reports an endpoint, unless that was done a moment ago.
func (s *Steerer) reportOutlier(now time.Time, b *backend) {
	if s.config.Hung == nil || now.Before(b.ejection.nextReport) {
		return
	}
	b.ejection.nextReport = now.Add(outlierReportInterval)
	s.config.Hung(b.ID)
}

// hangTimeout returns how long a request of a flow waits before it counts as hung.
func (s *Steerer) hangTimeout(f *flow) time.Duration {
	if r := s.routes[f.key.dst]; r != nil {
		return max(minHangTime, hangTargetMultiple*r.Target)
	}
	return minHangTime
}

// TakeHung takes that several entries say that an endpoint fails requests that it took:
// new flows avoid it for a while. Flows that are open stay. It reports whether they do from now on.
func (s *Steerer) TakeHung(now time.Time, id string) bool {
	b := s.byID[id]
	if b == nil || now.Before(b.ejection.until) || !s.canEject(now, b) {
		return false
	}
	if now.Sub(b.ejection.until) > b.ejection.period {
		b.ejection.period = 0 // it went well for long
	}
	b.ejection.period = min(max(minEjection, 2*b.ejection.period), maxEjection)
	b.ejection.until = now.Add(b.ejection.period)
	return true
}

// canEject reports whether the rest of an endpoint's service can take its load.
func (s *Steerer) canEject(now time.Time, b *backend) bool {
	p := s.pools[b.Service]
	if p == nil {
		return false
	}
	total, ejected := 0, 0
	for _, list := range p[:evacuatedTier] {
		total += len(list)
		for _, other := range list {
			if now.Before(other.ejection.until) {
				ejected++
			}
		}
	}
	return (ejected+1)*endpointsPerEjection <= total
}
