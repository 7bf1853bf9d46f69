package steer

import "time"

// Counts holds the number of flows and endpoints of a Steerer, the number of endpoints in each
// state, and the document version.
type Counts struct {
	Flows, Endpoints, Silent, Suspect, Lost, Ejected int
	Version                                          uint64
}

// Counts returns the current counts.
func (s *Steerer) Counts(now time.Time) Counts {
	c := Counts{Flows: len(s.flows), Endpoints: len(s.byID), Version: s.Version()}
	for _, b := range s.byID {
		if b.silent {
			c.Silent++
		}
		if now.Before(b.suspectUntil) {
			c.Suspect++
		}
		if now.Before(b.ejection.until) {
			c.Ejected++
		}
		if b.reach.lost && !b.Gone {
			c.Lost++
		}
	}
	return c
}
