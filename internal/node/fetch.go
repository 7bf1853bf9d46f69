package node

import (
	"maps"
	"slices"
	"time"
)

// fetchTimeout is how long one control instance may take to hand over the
// document that it offered, before another one is asked: a document of 3,000
// routes, some 250 KB, over a link of 2 Mbit/s. A link that fails is noticed
// earlier.
const fetchTimeout = 1500 * time.Millisecond

// documentFetcher decides from whom an entry asks the document: from one control
// instance at a time, since a document may be large and the link small, and
// from the one that offers the newest. Versions that are overtaken while one is
// under way are never asked for.
type documentFetcher struct {
	offers          map[string]uint64 // version by control instance
	pendingSource   string            // the control instance that has not answered yet, "" for none
	requestedAt     time.Time
	newestOfferedAt time.Time // when the newest version was first offered
	newestVersion   uint64
}

func newDocumentFetcher() *documentFetcher { return &documentFetcher{offers: map[string]uint64{}} }

// recordOffer notes which version a control instance has in force.
func (f *documentFetcher) recordOffer(now time.Time, source string, version uint64) {
	f.offers[source] = version
	if version > f.newestVersion {
		f.newestVersion, f.newestOfferedAt = version, now
	}
}

// offerAge returns how long ago a version was first offered; it reports false where
// a newer one was since.
func (f *documentFetcher) offerAge(now time.Time, version uint64) (time.Duration, bool) {
	return now.Sub(f.newestOfferedAt), version == f.newestVersion && !f.newestOfferedAt.IsZero()
}

// removeSource notes that a control instance is out of reach.
func (f *documentFetcher) removeSource(source string) {
	delete(f.offers, source)
	f.markAnswered(source)
}

// markAnswered notes that the one that was asked has answered.
func (f *documentFetcher) markAnswered(source string) {
	if f.pendingSource == source {
		f.pendingSource = ""
	}
}

// nextSource returns whom to ask now, "" for nobody.
func (f *documentFetcher) nextSource(now time.Time, heldVersion uint64) string {
	if f.pendingSource != "" && now.Sub(f.requestedAt) < fetchTimeout {
		return ""
	}
	best, newest := "", heldVersion
	for _, source := range slices.Sorted(maps.Keys(f.offers)) {
		if version := f.offers[source]; version > newest && source != f.pendingSource {
			best, newest = source, version
		}
	}
	if best == "" && f.pendingSource != "" && f.offers[f.pendingSource] > heldVersion {
		best = f.pendingSource // nobody else has it
	}
	f.pendingSource, f.requestedAt = best, now
	return best
}
