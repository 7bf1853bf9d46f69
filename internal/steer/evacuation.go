package steer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
)

// SetEvacuations has no new flow go to the failure domains of a set; a set that is
// not newer than the one in force changes nothing, so that an entry never goes back
// behind what it was told, whoever tells it. Open flows stay: their packets go by
// the tag. It reports whether the set is in force now for the first time.
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

// Evacuations returns the set in force, that of revision 0 before the first.
func (s *Steerer) Evacuations() *evacuation.Set { return s.evacuations }

// isEvacuated reports whether no new flow goes to an endpoint since its failure
// domain is isEvacuated.
func (s *Steerer) isEvacuated(b *backend) bool { return s.tierOf(b) == evacuatedTier }

// isEligible reports whether new flows may go to an endpoint now.
func (s *Steerer) isEligible(now time.Time, b *backend) bool {
	return b.acceptsFlows() && !s.isExcluded(now, b)
}

// isExcluded reports whether no new flow may go to an endpoint, whatever it says of itself.
func (s *Steerer) isExcluded(now time.Time, b *backend) bool {
	return s.isEvacuated(b) || s.excludedWhileCold(now, b)
}

// noEndpointReason returns why no endpoint may take a new flow of a route. Where only
// evacuated ones could, the flow is reset at once all the same: the operator's order
// goes before serving, and the caller learns that nothing has run.
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

// hasColdLimited reports whether a route has endpoints that would take new flows if they
// were warm.
func (s *Steerer) hasColdLimited(r *route) bool {
	return slices.ContainsFunc(r.Shares, func(share document.Share) bool {
		p := s.pools[share.Service]
		return p != nil && len(p[localTier])+len(p[remoteTier]) > 0 && s.coldRates[share.Service] > 0
	})
}
