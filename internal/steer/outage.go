package steer

import "time"

const (
	// outageThreshold is how many endpoints of a failure domain must leave a SYN unanswered,
	// with none answering in between, before new flows avoid the failure domain. Fewer may be
	// crashes or lost packets.
	outageThreshold = 3
	// outageAvoidPeriod is how long new flows avoid the failure domain before a single one is
	// sent there to probe it.
	outageAvoidPeriod = time.Second
	// leaderTimeout is how long after the last sign of a leader an entry still counts as
	// connected to it, and so as up to date with evacuations. It is three roster intervals.
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

// noteProbeFlow is called when a new flow is sent to an endpoint. If the failure domain of the
// endpoint was avoided, the flow serves as a probe, and other flows avoid the failure domain for
// another period.
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

// NoteLeader records that a control instance has reported that it holds the leader's lease.
func (s *Steerer) NoteLeader(now time.Time) { s.leaderSeenAt = now }

// isIsolated reports whether this entry has lost contact with the leader, and so cannot know
// whether an evacuation is still in force. If it reaches no endpoint outside the evacuated
// failure domains either, it places flows on evacuated endpoints rather than nowhere.
func (s *Steerer) isIsolated(now time.Time) bool { return now.Sub(s.leaderSeenAt) > leaderTimeout }
