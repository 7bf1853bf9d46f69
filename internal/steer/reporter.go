package steer

import "oxbowsaddle/internal/registry"

// reporter is what one control instance has said about silent endpoints. One that has just
// started may know endpoints that it has not heard itself. Until it is ready only its reports
// of silence count, so that after a power loss it does not report endpoints that are down as
// heard.
type reporter struct {
	ready       bool
	silent      map[string]bool // by endpoint ID, where its view counts
	unconfirmed map[string]bool // IDs of endpoints that it knows but may not have heard
	digest      registry.Digest // its last digest
	// differed holds which parts of the last digest differed from this entry's.
	differed [len(registry.Digest{})]bool
}

// reporterOf returns the reporter of a control instance, creating it if needed.
func (s *Steerer) reporterOf(source string) *reporter {
	r := s.reporters[source]
	if r == nil {
		r = &reporter{silent: map[string]bool{}, unconfirmed: map[string]bool{}}
		s.reporters[source] = r
	}
	return r
}

// setSilent records whether it calls an endpoint silent.
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

// markKnown records that it knows an endpoint. It reports whether this changes its view of the
// endpoint's silence.
func (r *reporter) markKnown(id string) bool {
	if _, said := r.silent[id]; said || r.unconfirmed[id] {
		return false
	}
	r.setSilent(id, false)
	return r.ready
}

// markReady records that it has had time to hear every endpoint. It returns the endpoints whose
// view counts from now on.
func (r *reporter) markReady() (ids []string) {
	r.ready = true
	for id := range r.unconfirmed {
		r.silent[id] = false
		ids = append(ids, id)
	}
	clear(r.unconfirmed)
	return ids
}

// remove removes an endpoint.
func (r *reporter) remove(id string) {
	delete(r.silent, id)
	delete(r.unconfirmed, id)
}
