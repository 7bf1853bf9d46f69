package steer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
)

// SetEvacuations stops new flows to the failure domains of a set. Established flows stay, as
// their packets are forwarded by tag. A set that is not newer than the current one is ignored, so
// that an entry never reverts to an older order, whichever control instance sends it.
// SetEvacuations reports whether the set was applied.
func (s *Steerer) SetEvacuations(set *evacuation.Set) bool {
	if set.Revision() <= s.evacuations.Revision() {
		return false
	}
	s.evacuations = set
	for _, b := range s.byID {
		s.updatePool(b)
	}
	return true
}

// Evacuations returns the current set, which has revision 0 at first.
func (s *Steerer) Evacuations() *evacuation.Set { return s.evacuations }

// isEvacuated reports whether the endpoint's failure domain is evacuated.
func (s *Steerer) isEvacuated(b *backend) bool { return s.tierOf(b) == evacuatedTier }

// isEligible reports whether new flows may go to the endpoint now.
func (s *Steerer) isEligible(now time.Time, b *backend) bool {
	return b.acceptsFlows() && !s.isExcluded(now, b)
}

// isExcluded reports whether new flows must not go to the endpoint although it would accept
// them.
func (s *Steerer) isExcluded(now time.Time, b *backend) bool {
	return s.isEvacuated(b) || s.excludedWhileCold(now, b)
}

// noEndpointReason returns why no endpoint accepts a new flow of a route: because candidates are
// evacuated, because they are cold and limited in rate, or because there are none. If only
// evacuated endpoints are left, placeFlow resets the flow too: the operator's order takes
// precedence over serving, and the client learns that nothing has run.
func (s *Steerer) noEndpointReason(r *route) Reason {
	for _, share := range r.Shares {
		if p := s.pools[share.Service]; p != nil && len(p[evacuatedTier]) > 0 {
			return Evacuated
		}
	}
	if s.hasColdLimited(r) {
		return Cold
	}
	return NoEndpoint
}

// hasColdLimited reports whether a route has endpoints that are excluded only while they are
// cold.
func (s *Steerer) hasColdLimited(r *route) bool {
	return slices.ContainsFunc(r.Shares, func(share document.Share) bool {
		p := s.pools[share.Service]
		return p != nil && len(p[localTier])+len(p[remoteTier]) > 0 && s.coldRates[share.Service] > 0
	})
}
