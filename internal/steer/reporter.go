package steer

import "oxbowsaddle/internal/registry"

// reporter is what one control instance says of who is silent. One that has just started
// knows endpoints from before, and cannot say yet which of them it hears: until it has
// had the time, it has a say only in who is silent. After a loss of power in a failure
// domain its own control instances would otherwise vouch for endpoints that are gone.
type reporter struct {
	ready       bool
	silent      map[string]bool // by endpoint, of those that it has a say in
	unconfirmed map[string]bool // endpoints that it knows and may hear
	digest      registry.Digest // the last that it told
	// differed is in which parts of it this entry knew something else.
	differed [len(registry.Digest{})]bool
}

// reporterOf returns what a control instance says.
func (s *Steerer) reporterOf(source string) *reporter {
	r := s.reporters[source]
	if r == nil {
		r = &reporter{silent: map[string]bool{}, unconfirmed: map[string]bool{}}
		s.reporters[source] = r
	}
	return r
}

// setSilent takes whether it calls an endpoint silent.
func (r *reporter) setSilent(id string, silent bool) {
	delete(r.unconfirmed, id)
	switch {
	case silent || r.ready:
		r.silent[id] = silent
	default:
		delete(r.silent, id)
		r.unconfirmed[id] = true
	}
}

// markKnown takes that it knows an endpoint; it reports whether that says more than
// what it said before.
func (r *reporter) markKnown(id string) bool {
	if _, said := r.silent[id]; said || r.unconfirmed[id] {
		return false
	}
	r.setSilent(id, false)
	return r.ready
}

// markReady takes that it has had the time to hear every endpoint, and returns those that
// it has a say in from now on.
func (r *reporter) markReady() (ids []string) {
	r.ready = true
	for id := range r.unconfirmed {
		r.silent[id] = false
		ids = append(ids, id)
	}
	clear(r.unconfirmed)
	return ids
}

// remove drops an endpoint.
func (r *reporter) remove(id string) {
	delete(r.silent, id)
	delete(r.unconfirmed, id)
}
