package node

import (
	"maps"
	"slices"

	"oxbowsaddle/internal/wire"
)

// addLink adds an active link and subscribes on it.
func (e *Entry) addLink(l *entryLink) error {
	e.mu.Lock()
	e.links[l.address] = l
	e.mu.Unlock()
	return e.choosePrimary(l)
}

// linked reports whether any link to a control instance is active.
func (e *Entry) linked() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.links) > 0
}

// recordSourceState records whether the control instance source leads, and whether its list of
// endpoints is complete, according to its roster.
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

// setSourceDomain records the failure domain of the control instance source, which lists itself
// first in its roster.
func (e *Entry) setSourceDomain(source string, roster *wire.Roster) {
	if len(roster.Instances) == 0 {
		return
	}
	e.mu.Lock()
	e.primary.setDomain(source, roster.Instances[0].Domain)
	e.mu.Unlock()
	_ = e.choosePrimary(nil)
}

// choosePrimary subscribes to every change of endpoints at one control instance and to
// summaries at the others. The error is that of the added link, which may be nil.
func (e *Entry) choosePrimary(added *entryLink) error {
	e.primaryMu.Lock() // keeps subscriptions in the order of the choices
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
	// The reader of a failed link notices the failure, and the next choice is made then.
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

// removeSource drops the state received from an unreachable control instance, and requests
// the document from another one if necessary.
func (e *Entry) removeSource(source string) {
	now := e.config.Now()
	e.mu.Lock()
	e.steerer.RemoveSource(now, source)
	e.fetcher.removeSource(source)
	if e.admission != nil {
		e.admission.removeSource(source)
	}
	delete(e.links, source)
	e.mu.Unlock()
	_ = e.choosePrimary(nil)
	e.requestDocument()
}

// primaryAddress returns the address of the primary control instance, "" for none.
func (e *Entry) primaryAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.primary.chosen
}
