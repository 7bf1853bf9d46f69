package credit

import "time"

const (
	// Above these shares of its link, an entry rejects new flows of lower priorities, and of the
	// highest in demand, with a chance that rises to 1 over linkRamp. A rejected client comes back
	// through another entry. A full link delays every packet of open flows by seconds.
	lowerLinkShare = 0.8
	upperLinkShare = 0.92
	linkRamp       = 0.12
)

// linkFull reports whether a new flow of a priority is rejected for the entry's link.
func (a *Account) linkFull(now time.Time, priority int) bool {
	if a.config.Link == nil {
		return false
	}
	used, start := a.config.Link(now), lowerLinkShare
	if used <= lowerLinkShare {
		return false
	}
	if a.isTopOfAll(now, priority) {
		start = upperLinkShare
	}
	return a.random.Float64() < (used-start)/linkRamp
}

// isTopOfAll reports whether no service has a higher priority in demand.
func (a *Account) isTopOfAll(now time.Time, priority int) bool {
	for _, s := range a.services {
		if !s.isTop(now, priority) {
			return false
		}
	}
	return true
}
