package registry

import (
	"strconv"
	"strings"
	"time"
)

const (
	// bornMark stands between the id that several incarnations of an endpoint share and
	// when each was born.
	bornMark = "~"
	// bornBase is the base of the number after it: milliseconds in few letters.
	bornBase = 36
)

// Incarnation returns the id of an incarnation of an endpoint whose id others share:
// each start is an incarnation of its own, with its own flows, tags and doubts. Born
// counts in milliseconds; 0 is that it is not said, and the id is that of one start.
func Incarnation(id string, born int64) string {
	if born <= 0 {
		return id
	}
	return id + bornMark + strconv.FormatInt(born, bornBase)
}

// splitIncarnation returns the id that incarnations share and when this one was born, 0
// where that is not said.
func splitIncarnation(id string) (name string, born int64) {
	name, text, found := strings.Cut(id, bornMark)
	if !found {
		return id, 0
	}
	born, err := strconv.ParseInt(text, bornBase, 64)
	if err != nil {
		return id, 0
	}
	return name, born
}

// supersede takes that an incarnation is heard of for the first time. Another one under
// the same id that was born earlier has ended; one that was born later is returned, and
// says that this one has ended.
func (r *Registry) supersede(now time.Time, id string) (later *record) {
	name, born := splitIncarnation(id)
	newest := r.newest[name]
	if born == 0 || newest == nil {
		return nil
	}
	if _, other := splitIncarnation(newest.endpoint.ID); other > born {
		return newest
	}
	if !newest.endpoint.Gone {
		r.end(now, newest)
		newest.untold = true // peers work it out as this one does
	}
	return nil
}

// noteNewest keeps the index of the incarnation that was born last, by name.
func (r *Registry) noteNewest(id string, held *record) {
	name, born := splitIncarnation(id)
	if born == 0 {
		return
	}
	if newest := r.newest[name]; newest != nil {
		if _, other := splitIncarnation(newest.endpoint.ID); other >= born {
			return
		}
	}
	r.newest[name] = held
}
