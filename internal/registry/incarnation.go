package registry

import (
	"strconv"
	"strings"
	"time"
)

const (
	// incarnationSeparator stands between the id that several incarnations of an endpoint share and
	// when each was born.
	incarnationSeparator = "~"
	// timestampBase is the base of the number after it: milliseconds in few letters.
	timestampBase = 36
)

// Incarnation returns the id of an incarnation of an endpoint whose id others share:
// each start is an incarnation of its own, with its own flows, tags and doubts. Born
// counts in milliseconds; 0 is that it is not said, and the id is that of one start.
func Incarnation(id string, born int64) string {
	if born <= 0 {
		return id
	}
	return id + incarnationSeparator + strconv.FormatInt(born, timestampBase)
}

// parseIncarnation returns the id that incarnations share and when this one was born, 0
// where that is not said.
func parseIncarnation(id string) (name string, born int64) {
	name, text, found := strings.Cut(id, incarnationSeparator)
	if !found {
		return id, 0
	}
	born, err := strconv.ParseInt(text, timestampBase, 64)
	if err != nil {
		return id, 0
	}
	return name, born
}

// supersede takes that an incarnation is heard of for the first time. Another one under
// the same id that was born earlier has ended; one that was born later is returned, and
// says that this one has ended.
func (r *Registry) supersede(now time.Time, id string) (later *record) {
	name, born := parseIncarnation(id)
	newest := r.newestByName[name]
	if born == 0 || newest == nil {
		return nil
	}
	if _, other := parseIncarnation(newest.endpoint.ID); other > born {
		return newest
	}
	if !newest.endpoint.Gone {
		r.markGone(now, newest)
		newest.relayPending = true // peers work it out as this one does
	}
	return nil
}

// indexNewest keeps the index of the incarnation that was born last, by name.
func (r *Registry) indexNewest(id string, rec *record) {
	name, born := parseIncarnation(id)
	if born == 0 {
		return
	}
	if newest := r.newestByName[name]; newest != nil {
		if _, other := parseIncarnation(newest.endpoint.ID); other >= born {
			return
		}
	}
	r.newestByName[name] = rec
}
