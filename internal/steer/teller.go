package steer

// teller is what one control instance says of who is silent. One that has just started
// knows endpoints from before, and cannot say yet which of them it hears: until it has
// had the time, it has a say only in who is silent. After a loss of power in a failure
// domain its own control instances would otherwise vouch for endpoints that are gone.
type teller struct {
	vouches bool
	silent  map[string]bool // by endpoint, of those that it has a say in
	unsure  map[string]bool // endpoints that it knows and may hear
}

// tellerOf returns what a control instance says.
func (s *Steerer) tellerOf(source string) *teller {
	t := s.tellers[source]
	if t == nil {
		t = &teller{silent: map[string]bool{}, unsure: map[string]bool{}}
		s.tellers[source] = t
	}
	return t
}

// say takes whether it calls an endpoint silent.
func (t *teller) say(id string, silent bool) {
	delete(t.unsure, id)
	switch {
	case silent || t.vouches:
		t.silent[id] = silent
	default:
		delete(t.silent, id)
		t.unsure[id] = true
	}
}

// mention takes that it knows an endpoint; it reports whether that says more than
// what it said before.
func (t *teller) mention(id string) bool {
	if _, said := t.silent[id]; said || t.unsure[id] {
		return false
	}
	t.say(id, false)
	return t.vouches
}

// vouch takes that it has had the time to hear every endpoint, and returns those that
// it has a say in from now on.
func (t *teller) vouch() (ids []string) {
	t.vouches = true
	for id := range t.unsure {
		t.silent[id] = false
		ids = append(ids, id)
	}
	clear(t.unsure)
	return ids
}

// forget drops an endpoint.
func (t *teller) forget(id string) {
	delete(t.silent, id)
	delete(t.unsure, id)
}
