package node

import (
	"maps"
	"slices"
	"time"
)

// fetchTimeout is how long to wait for a requested document before it is requested from another
// control instance. It allows for a large document on a slow link; a failed link is detected
// earlier.
const fetchTimeout = 1500 * time.Millisecond

// documentFetcher chooses the control instance that an entry requests the document from:
// one at a time, since the transfer of a document may take long, and always one that offers
// the newest version. Versions superseded during a transfer are never requested.
type documentFetcher struct {
	offers          map[string]uint64 // offered version by control instance
	pendingSource   string            // control instance that has yet to answer, "" for none
	requestedAt     time.Time
	newestOfferedAt time.Time // when the newest version was first offered
	newestVersion   uint64
}

func newDocumentFetcher() *documentFetcher { return &documentFetcher{offers: map[string]uint64{}} }

// recordOffer records the version that a control instance offers.
func (f *documentFetcher) recordOffer(now time.Time, source string, version uint64) {
	f.offers[source] = version
	if version > f.newestVersion {
		f.newestVersion, f.newestOfferedAt = version, now
	}
}

// offerAge returns the time since a version was first offered, and false if it is not the
// newest version on offer.
func (f *documentFetcher) offerAge(now time.Time, version uint64) (time.Duration, bool) {
	return now.Sub(f.newestOfferedAt), version == f.newestVersion && !f.newestOfferedAt.IsZero()
}

// removeSource drops the offer of a control instance that is unreachable.
func (f *documentFetcher) removeSource(source string) {
	delete(f.offers, source)
	f.markAnswered(source)
}

// markAnswered ends the pending request if it was sent to source.
func (f *documentFetcher) markAnswered(source string) {
	if f.pendingSource == source {
		f.pendingSource = ""
	}
}

// nextSource returns the control instance to send a request to now, "" for none, and marks
// that request as pending.
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
		best = f.pendingSource // no other instance offers it
	}
	f.pendingSource, f.requestedAt = best, now
	return best
}
