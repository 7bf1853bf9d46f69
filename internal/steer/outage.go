package steer

import "time"

const (
	// outageThreshold is how many endpoints of a failure domain must leave a SYN unanswered,
	// with none answering in between, before new flows avoid the failure domain. Fewer may be
	// crashes or lost packets.
	outageThreshold = 3
	// outageAvoidPeriod is how long new flows avoid the failure domain before one probes it.
	outageAvoidPeriod = time.Second
	// leaderTimeout is how long after it last heard the leader an entry still counts as in
	// touch with the operator's orders.
	leaderTimeout = 1200 * time.Millisecond
)

// outage tracks whether a failure domain is out of reach, for instance by a partition or a
// power loss. It ends when any endpoint of the failure domain answers.
type outage struct {
	unanswered map[string]bool // IDs of endpoints
	avoidUntil time.Time       // new flows avoid the failure domain until then; zero if below the threshold
}

// recordDomainFailure records that an endpoint left a SYN unanswered.
func (s *Steerer) recordDomainFailure(now time.Time, b *backend) {
	o := s.outages[b.Domain]
	if o == nil {
		o = &outage{unanswered: map[string]bool{}}
		s.outages[b.Domain] = o
	}
	o.unanswered[b.ID] = true
	if len(o.unanswered) >= outageThreshold && o.avoidUntil.IsZero() {
		o.avoidUntil = now.Add(outageAvoidPeriod)
	}
}

// noteProbeFlow is called when a new flow goes to an endpoint. If its failure domain was
// avoided, this flow probes it, and others avoid it for another period.
func (s *Steerer) noteProbeFlow(now time.Time, b *backend) {
	if o := s.outages[b.Domain]; o != nil && !o.avoidUntil.IsZero() {
		o.avoidUntil = now.Add(outageAvoidPeriod)
	}
}

// isAvoided reports whether new flows avoid the endpoint while others are available.
func (s *Steerer) isAvoided(now time.Time, b *backend) bool {
	if b.isSuspect(now) || now.Before(b.ejection.until) {
		return true
	}
	o := s.outages[b.Domain]
	return o != nil && now.Before(o.avoidUntil)
}

// NoteLeader records that a control instance showed that it holds the leader's lease.
func (s *Steerer) NoteLeader(now time.Time) { s.leaderSeenAt = now }

// isIsolated reports whether this entry has lost contact with the leader, and so cannot know
// whether an evacuation still applies. If it reaches no other failure domain either, its
// clients are served by evacuated endpoints rather than not at all.
func (s *Steerer) isIsolated(now time.Time) bool { return now.Sub(s.leaderSeenAt) > leaderTimeout }
