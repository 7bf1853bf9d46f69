package node

import (
	"maps"
	"slices"
	"time"
)

// fetchMost is how long one control instance may take to hand over the
// document that it offered, before another one is asked: a document of 3,000
// routes, some 250 KB, over a link of 2 Mbit/s. A link that fails is noticed
// earlier.
const fetchMost = 1500 * time.Millisecond

// fetch decides from whom an entry asks the document: from one control
// instance at a time, since a document may be large and the link small, and
// from the one that offers the newest. Versions that are overtaken while one is
// under way are never asked for.
type fetch struct {
	offers  map[string]uint64 // version by control instance
	asked   string            // the control instance that has not answered yet, "" for none
	askedAt time.Time
	offered time.Time // when the newest version was first offered
	newest  uint64
}

func newFetch() *fetch { return &fetch{offers: map[string]uint64{}} }

// offer notes which version a control instance has in force.
func (f *fetch) offer(now time.Time, source string, version uint64) {
	f.offers[source] = version
	if version > f.newest {
		f.newest, f.offered = version, now
	}
}

// lag returns how long ago a version was first offered; it reports false where
// a newer one was since.
func (f *fetch) lag(now time.Time, version uint64) (time.Duration, bool) {
	return now.Sub(f.offered), version == f.newest && !f.offered.IsZero()
}

// lost notes that a control instance is out of reach.
func (f *fetch) lost(source string) {
	delete(f.offers, source)
	f.arrived(source)
}

// arrived notes that the one that was asked has answered.
func (f *fetch) arrived(source string) {
	if f.asked == source {
		f.asked = ""
	}
}

// next returns whom to ask now, "" for nobody.
func (f *fetch) next(now time.Time, held uint64) string {
	if f.asked != "" && now.Sub(f.askedAt) < fetchMost {
		return ""
	}
	best, newest := "", held
	for _, source := range slices.Sorted(maps.Keys(f.offers)) {
		if version := f.offers[source]; version > newest && source != f.asked {
			best, newest = source, version
		}
	}
	if best == "" && f.asked != "" && f.offers[f.asked] > held {
		best = f.asked // nobody else has it
	}
	f.asked, f.askedAt = best, now
	return best
}
