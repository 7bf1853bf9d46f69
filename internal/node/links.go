package node

import (
	"maps"
	"slices"

	"oxbowsaddle/internal/wire"
)

// addLink notes that a control instance can be asked, and has it tell what is in force.
func (e *Entry) addLink(l *entryLink) error {
	e.mu.Lock()
	e.links[l.address] = l
	e.mu.Unlock()
	return e.choosePrimary(l)
}

// linked reports whether any control instance can be asked.
func (e *Entry) linked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links) > 0
}

// recordSourceState notes what a control instance says of itself.
func (e *Entry) recordSourceState(source string, roster *wire.Roster) {
	now := e.config.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if roster.Leads {
		e.steerer.NoteLeader(now)
	}
	if roster.Whole {
		e.steerer.MarkSourceReady(now, source)
	}
}

// setSourceDomain takes from a roster, whose sender comes first, where the sender is.
func (e *Entry) setSourceDomain(source string, roster *wire.Roster) {
	if len(roster.Instances) == 0 {
		return
	}
	e.mu.Lock()
	e.primary.setDomain(source, roster.Instances[0].Domain)
	e.mu.Unlock()
	_ = e.choosePrimary(nil)
}

// choosePrimary has one control instance tell every change of endpoints, and the
// others tell them briefly. The error is that of the link that is new, nil for none.
func (e *Entry) choosePrimary(added *entryLink) error {
	e.primaryMu.Lock() // so that what is sent comes in the order of the choices
	defer e.primaryMu.Unlock()
	e.mu.Lock()
	previousAddress, changed := e.primary.choose(slices.Sorted(maps.Keys(e.links)))
	chosen, previous := e.links[e.primary.chosen], e.links[previousAddress]
	e.mu.Unlock()
	var err error
	if added != nil && added != chosen {
		err = added.subscribe(true)
	}
	if !changed {
		return err
	}
	// Another link that fails is noticed where it is read; another one is chosen then.
	if chosen != nil {
		if failed := chosen.subscribe(false); chosen == added {
			err = failed
		}
	}
	if previous != nil {
		_ = previous.subscribe(true)
	}
	return err
}

// removeSource drops what a control instance said, since it is out of reach, and
// asks another one for the document.
func (e *Entry) removeSource(source string) {
	now := e.config.Now()
	e.mu.Lock()
	e.steerer.ForgetSource(now, source)
	e.fetcher.removeSource(source)
	delete(e.links, source)
	e.mu.Unlock()
	_ = e.choosePrimary(nil)
	e.requestDocument()
}

// primaryAddress returns a control instance that is linked, "" for none.
func (e *Entry) primaryAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.primary.chosen
}
