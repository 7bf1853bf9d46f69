package node

import (
	"maps"
	"slices"

	"oxbowsaddle/internal/wire"
)

// reach notes that a control instance can be asked.
func (e *Entry) reach(l *entryLink) {
	e.mu.Lock()
	e.links[l.address] = l
	e.mu.Unlock()
	e.choosePrimary()
}

// linked reports whether any control instance can be asked.
func (e *Entry) linked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links) > 0
}

// noteState notes what a control instance says of itself.
func (e *Entry) noteState(source string, roster *wire.Roster) {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if roster.Leads {
		e.steerer.NoteLeader(now)
	}
	if roster.Whole {
		e.steerer.Vouch(now, source)
	}
}

// locate takes from a roster, whose sender comes first, where the sender is.
func (e *Entry) locate(source string, roster *wire.Roster) {
	if len(roster.Instances) == 0 {
		return
	}
	e.mu.Lock()
	e.primary.locate(source, roster.Instances[0].Domain)
	e.mu.Unlock()
	e.choosePrimary()
}

// choosePrimary has one control instance tell every change of endpoints, and the
// others tell them briefly.
func (e *Entry) choosePrimary() {
	e.choosing.Lock() // so that what is sent comes in the order of the choices
	defer e.choosing.Unlock()
	e.mu.Lock()
	before, changed := e.primary.choose(slices.Sorted(maps.Keys(e.links)))
	chosen, last := e.links[e.primary.chosen], e.links[before]
	e.mu.Unlock()
	if !changed {
		return
	}
	// A link that fails is noticed where it is read; another one is chosen then.
	if chosen != nil {
		_ = chosen.subscribe(false)
	}
	if last != nil {
		_ = last.subscribe(true)
	}
}

// forget drops what a control instance said, since it is out of reach, and
// asks another one for the document.
func (e *Entry) forget(source string) {
	now := e.config.Now()
	e.mu.Lock()
	e.steerer.Forget(now, source)
	e.fetch.lost(source)
	delete(e.links, source)
	e.mu.Unlock()
	e.choosePrimary()
	e.askDocument()
}

// orderTaker returns a control instance that is linked, "" for none.
func (e *Entry) orderTaker() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.primary.chosen
}
