package steer

import "oxbowsaddle/internal/registry"

// reporter holds which endpoints one control instance has reported as silent. An instance that
// has just started may know endpoints from which it has received no heartbeat itself. Until it is
// ready, only its reports of silence count, so that after a power failure endpoints that are down
// do not count as alive.
type reporter struct {
	ready       bool
	silent      map[string]bool // whether it reports an endpoint as silent, by ID; absent if its view does not count
	unconfirmed map[string]bool // IDs of endpoints that it knows but may have received no heartbeat from
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

// setSilent records whether the control instance reports an endpoint as silent.
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

// markKnown records that the control instance knows an endpoint. It reports whether this changes
// its view of the endpoint's silence.
func (r *reporter) markKnown(id string) bool {
	if _, said := r.silent[id]; said || r.unconfirmed[id] {
		return false
	}
	r.setSilent(id, false)
	return r.ready
}

// markReady records that the control instance has had time to receive a heartbeat of every live
// endpoint. It returns the IDs of the endpoints on which its view counts from now on.
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
