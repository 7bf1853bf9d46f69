package steer

import "time"

const (
	// A request counts as hung after hangTargetMultiple times the target latency of its route,
	// but not before minHangTime.
	hangTargetMultiple = 2
	minHangTime        = 500 * time.Millisecond
	// An endpoint with a hung request is an outlier only if its service has since answered at
	// least minPeerResponses other requests in time, and minPeerRatio for each late one. This
	// excludes services that are slow as a whole and entries that receive no responses.
	minPeerResponses = 3
	minPeerRatio     = 3
	// maxPendingRequests bounds the requests that are tracked to detect hanging ones; further
	// ones are ignored.
	maxPendingRequests = 4000
	// outlierReportInterval is the minimum time between two reports of an endpoint.
	outlierReportInterval = 500 * time.Millisecond
	// minEjection and maxEjection bound how long new flows avoid an outlier. The period doubles
	// on repeated ejections.
	minEjection = 3 * time.Second
	maxEjection = 12 * time.Second
	// endpointsPerEjection is how many endpoints a service must have for each one that is
	// ejected, so that the others can take the load.
	endpointsPerEjection = 3
)

// ejection is the state of an endpoint as an outlier: one that leaves requests without an
// answer, or answers them with errors.
type ejection struct {
	nextReport time.Time // earliest time of the next report
	until      time.Time // new flows avoid the endpoint until then
	period     time.Duration
}

type (
	// responseCounts counts the responses of a service at this entry.
	responseCounts struct {
		inTime, late uint64 // late includes hung requests
	}

	// pendingRequest is a request that may still wait for its response.
	pendingRequest struct {
		flow     *flow
		sentAt   time.Time
		baseline responseCounts // counts of the endpoint's service when the request was sent
	}
)

// pending reports whether the request still waits for its response.
func (r pendingRequest) pending() bool { return r.flow.awaiting && r.flow.requestAt.Equal(r.sentAt) }

// trackRequest records a request that was sent on a flow.
func (s *Steerer) trackRequest(f *flow) {
	if len(s.pendingRequests) < maxPendingRequests {
		s.pendingRequests = append(s.pendingRequests, pendingRequest{f, f.requestAt, *s.responseCountsOf(f.backend)})
	}
}

// countResponse counts the start of a response, if the flow waits for one.
func (s *Steerer) countResponse(now time.Time, f *flow) {
	switch {
	case !f.awaiting:
	case now.Sub(f.requestAt) <= s.hangTimeout(f)/hangTargetMultiple:
		s.responseCountsOf(f.backend).inTime++
	default:
		s.responseCountsOf(f.backend).late++
	}
}

// responseCountsOf returns the counts of the endpoint's service. The endpoint caches them,
// since a map lookup per packet would be costly.
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

// peersResponsive reports whether the rest of the service has responded well since baseline.
func (c *responseCounts) peersResponsive(baseline responseCounts) bool {
	inTime, late := c.inTime-baseline.inTime, c.late-baseline.late
	return inTime >= minPeerResponses && inTime >= minPeerRatio*late
}

// reportHungRequests reports the endpoints whose requests hang while their service responds to
// others. Requests are kept in the order they were sent, and dropped after minHangTime once
// they are answered or checked.
func (s *Steerer) reportHungRequests(now time.Time) {
	expired := 0
	var kept []pendingRequest
	for _, r := range s.pendingRequests {
		if now.Sub(r.sentAt) < minHangTime {
			break
		}
		expired++
		if r.pending() && !s.checkHung(now, r) {
			kept = append(kept, r)
		}
	}
	if expired == 0 {
		return
	}
	rest := s.pendingRequests[expired-len(kept):] // reuses the backing array
	copy(rest, kept)
	s.pendingRequests = rest
}

// checkHung returns whether a request has hung and needs no further check. If the endpoint of
// the hung request is an outlier, it is reported.
func (s *Steerer) checkHung(now time.Time, r pendingRequest) bool {
	if now.Sub(r.sentAt) < s.hangTimeout(r.flow) {
		return false
	}
	b := r.flow.backend
	counts := s.responseCountsOf(b)
	outlier := counts.peersResponsive(r.baseline)
	counts.late++
	if outlier {
		s.reportOutlier(now, b)
	}
	return true
}

// reportOutlier reports an endpoint, at most once per outlierReportInterval.
func (s *Steerer) reportOutlier(now time.Time, b *backend) {
	if s.config.ReportOutlier == nil || now.Before(b.ejection.nextReport) {
		return
	}
	b.ejection.nextReport = now.Add(outlierReportInterval)
	s.config.ReportOutlier(b.ID)
}

// hangTimeout returns how long a request of a flow may wait before it counts as hung.
func (s *Steerer) hangTimeout(f *flow) time.Duration {
	if r := s.routes[f.key.dst]; r != nil {
		return max(minHangTime, hangTargetMultiple*r.TargetLatency)
	}
	return minHangTime
}

// EjectOutlier ejects an endpoint that several entries reported as an outlier: new flows avoid it
// for a while, and open flows stay. It reports whether the endpoint was ejected.
func (s *Steerer) EjectOutlier(now time.Time, id string) bool {
	b := s.byID[id]
	if b == nil || now.Before(b.ejection.until) || !s.canEject(now, b) {
		return false
	}
	if now.Sub(b.ejection.until) > b.ejection.period {
		b.ejection.period = 0 // healthy for long enough
	}
	b.ejection.period = min(max(minEjection, 2*b.ejection.period), maxEjection)
	b.ejection.until = now.Add(b.ejection.period)
	return true
}

// canEject reports whether the rest of the service can take the endpoint's load.
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
