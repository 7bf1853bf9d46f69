package registry

import (
	"strconv"
	"strings"
	"time"
)

const (
	// incarnationSeparator separates the shared ID of an endpoint from the start time
	// of the incarnation.
	incarnationSeparator = "~"
	// timestampBase is the number base of the start time.
	timestampBase = 36
)

// ValidSharedID reports whether an ID may be passed to Incarnation. One that contains the
// separator would be taken for an incarnation of another endpoint.
func ValidSharedID(id string) bool {
	return id != "" && ValidText(id) && !strings.Contains(id, incarnationSeparator)
}

// Incarnation returns the ID of one incarnation of an endpoint whose starts share an
// ID. Each start has its own flows, tags and health state. Born is the start time in
// milliseconds; if it is 0, id already names a single start and is returned as is.
func Incarnation(id string, born int64) string {
	if born <= 0 {
		return id
	}
	return id + incarnationSeparator + strconv.FormatInt(born, timestampBase)
}

// parseIncarnation splits the ID of an incarnation into the shared ID and the start
// time, which is 0 if the ID has none.
func parseIncarnation(id string) (sharedID string, born int64) {
	sharedID, text, found := strings.Cut(id, incarnationSeparator)
	if !found {
		return id, 0
	}
	born, err := strconv.ParseInt(text, timestampBase, 64)
	if err != nil {
		return id, 0
	}
	return sharedID, born
}

// supersede handles the first message of an incarnation. It marks an older
// incarnation with the same shared ID as gone. If a newer one is known, the given
// incarnation has already ended, and supersede only returns the newer one.
func (r *Registry) supersede(now time.Time, id string) (later *record) {
	sharedID, born := parseIncarnation(id)
	newest := r.newestBySharedID[sharedID]
	if born == 0 || newest == nil {
		return nil
	}
	if _, newestBorn := parseIncarnation(newest.endpoint.ID); newestBorn > born {
		return newest
	}
	if !newest.endpoint.Gone {
		r.markGone(now, newest)
		newest.relayPending = true // peers derive this from the new incarnation
	}
	return nil
}

// indexNewest updates the index of the newest incarnation of each shared ID.
func (r *Registry) indexNewest(id string, rec *record) {
	sharedID, born := parseIncarnation(id)
	if born == 0 {
		return
	}
	if newest := r.newestBySharedID[sharedID]; newest != nil {
		if _, newestBorn := parseIncarnation(newest.endpoint.ID); newestBorn >= born {
			return
		}
	}
	r.newestBySharedID[sharedID] = rec
}
