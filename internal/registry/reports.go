package registry

import (
	"container/list"
	"iter"
	"net/netip"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// sumsMost is how many sums are told at once: those of more endpoints are more than the
// digest, and come while a fleet starts, when the entry is about to be told most of them.
const sumsMost = 40

// Changes returns the records that changed after a number, for an entry, the
// last one first; of those that only fell silent, or no longer are, the id, since they
// may be a failure domain's at once. Its work grows with their number, not with that of all.
func (r *Registry) Changes(now time.Time, after uint64) *wire.Reports {
	out := r.emptyReports(now)
	for held := range r.changedAfter(after) {
		if held.sumChanged > after || held.cold(now) {
			out.Endpoints = append(out.Endpoints, message(now, held))
		} else {
			noteSilence(out, held)
		}
	}
	return out
}

// noteSilence adds whether an endpoint is silent to reports.
func noteSilence(out *wire.Reports, held *record) {
	if held.silent {
		out.Silent = append(out.Silent, held.endpoint.ID)
	} else {
		out.Heard = append(out.Heard, held.endpoint.ID)
	}
}

// ChangesBriefly returns what has changed after a number for an entry that
// another control instance tells every record: only sums, but whole what they do not
// show, that it became cold, and by id that an endpoint fell silent, or no longer is, which is this
// registry's own view. Where more than sumsMost records have changed it leaves out the sums
// and tells the digest.
func (r *Registry) ChangesBriefly(now time.Time, after uint64) *wire.Reports {
	out := r.emptyReports(now)
	for held := range r.changedAfter(after) {
		id := held.endpoint.ID
		if held.sumChanged > after {
			out.Sums = append(out.Sums, &wire.RecordSum{Id: id, Sum: held.sum})
		}
		switch {
		case held.viewChanged <= after:
		case held.cold(now):
			out.Endpoints = append(out.Endpoints, message(now, held))
		default:
			noteSilence(out, held)
		}
	}
	if len(out.Sums) > sumsMost {
		out.Sums, out.Digest = nil, slices.Clone(r.digest[:])
	}
	return out
}

// View returns the digest of what is known, and which endpoints are silent, for an entry
// that is told briefly from now on.
func (r *Registry) View(now time.Time) *wire.Reports {
	out := r.emptyReports(now)
	out.Digest = slices.Clone(r.digest[:])
	for held := range r.changedAfter(0) {
		if held.silent {
			out.Silent = append(out.Silent, held.endpoint.ID)
		}
	}
	return out
}

// Records returns what is known of some endpoints.
func (r *Registry) Records(now time.Time, ids []string) *wire.Reports {
	out := r.emptyReports(now)
	for _, id := range ids {
		if held := r.records[id]; held != nil {
			out.Endpoints = append(out.Endpoints, message(now, held))
		}
	}
	return out
}

// Lacking returns the records that an entry lacks which knows what its digest
// says: the parts on which both differ, and of the others what is silent or cold.
func (r *Registry) Lacking(now time.Time, known Digest) *wire.Reports {
	out := r.emptyReports(now)
	out.Same = r.digest.Same(&known)
	for held := range r.changedAfter(0) {
		if held.silent || held.cold(now) || out.Same&PartBit(held.endpoint.ID) == 0 {
			m := message(now, held)
			m.AgeNanos = 0 // for peers; a fifth of the list once it is compressed
			out.Endpoints = append(out.Endpoints, m)
		}
	}
	return out
}

// Beats returns what was heard of after a number, for a peer that was told all
// up to that number: the records that changed, and of the others only that they
// were heard. That suffices since an incarnation never takes back that it leaves,
// and nothing else of it changes. Its work grows with their number, not with that of all.
func (r *Registry) Beats(now time.Time, after uint64) *wire.Reports {
	out := r.emptyReports(now)
	for held := range r.heardAfter(after) {
		if held.peersWhole > after {
			out.Endpoints = append(out.Endpoints, message(now, held))
			continue
		}
		out.Beats = append(out.Beats, &wire.Beat{
			Id: held.endpoint.ID, Sequence: held.endpoint.Sequence, AgeNanos: int64(now.Sub(held.heard)),
		})
	}
	return out
}

// emptyReports returns reports that tell of no endpoint yet.
func (r *Registry) emptyReports(now time.Time) *wire.Reports {
	return &wire.Reports{Number: r.number, Whole: r.Whole(now)}
}

// changedAfter goes through the records that changed after a number, the last
// one first.
func (r *Registry) changedAfter(after uint64) iter.Seq[*record] {
	return lastFirst(r.changes, func(held *record) bool { return held.changed > after })
}

// heardAfter goes through the records that were heard or changed after a number,
// the last one first.
func (r *Registry) heardAfter(after uint64) iter.Seq[*record] {
	return lastFirst(r.beats, func(held *record) bool { return held.peersChanged > after })
}

// lastFirst goes through a list from its back as long as the records are wanted.
func lastFirst(l *list.List, wanted func(*record) bool) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for e := l.Back(); e != nil; e = e.Prev() {
			if held := e.Value.(*record); !wanted(held) || !yield(held) {
				return
			}
		}
	}
}

// message returns a record as it travels; its times count from now.
func message(now time.Time, held *record) *wire.EndpointReport {
	e, age := held.endpoint, now.Sub(held.heard)
	return &wire.EndpointReport{
		Id: e.ID, Number: e.Number, Service: e.Service, Address: e.Addr.String(), Domain: e.Domain, Slots: uint32(e.Slots),
		Leaving: e.Leaving, Gone: e.Gone, WarmNanos: int64(max(0, e.Warm-age)), Sequence: e.Sequence,
		AgeNanos: int64(age), Silent: held.silent,
	}
}

// FromMessage returns the endpoint of a report; Warm counts from now.
func FromMessage(m *wire.EndpointReport) Endpoint {
	addr, _ := netip.ParseAddrPort(m.Address) // not valid for one that was heard of only as gone
	return Endpoint{
		ID: m.Id, Number: m.Number, Service: m.Service, Addr: addr, Domain: m.Domain, Slots: int(m.Slots),
		Leaving: m.Leaving, Gone: m.Gone, Warm: time.Duration(m.WarmNanos), Sequence: m.Sequence,
	}
}
