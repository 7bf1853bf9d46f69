package registry

import (
	"container/list"
	"iter"
	"net/netip"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// maxSums is how many sums are told at once: those of more endpoints are more than the
// digest, and come while a fleet starts, when the entry is about to be told most of them.
const maxSums = 40

// Changes returns the records that changed after a number, for an entry, the
// last one first; of those that only fell silent, or no longer are, the id, since they
// may be a failure domain's at once. Its work grows with their number, not with that of all.
func (r *Registry) Changes(now time.Time, after uint64) *wire.Reports {
	out := r.newReports(now)
	for rec := range r.changedAfter(after) {
		if rec.sumRev > after || rec.isCold(now) {
			out.Endpoints = append(out.Endpoints, toMessage(now, rec))
		} else {
			addLiveness(out, rec)
		}
	}
	return out
}

// addLiveness adds whether an endpoint is silent to reports.
func addLiveness(out *wire.Reports, rec *record) {
	if rec.silent {
		out.Silent = append(out.Silent, rec.endpoint.ID)
	} else {
		out.Heard = append(out.Heard, rec.endpoint.ID)
	}
}

// ChangesBriefly returns what has changed after a number for an entry that
// another control instance tells every record: only sums, but whole what they do not
// show, that it became cold, and by id that an endpoint fell silent, or no longer is, which is this
// registry's own view. Where more than sumsMost records have changed it leaves out the sums
// and tells the digest.
func (r *Registry) ChangesBriefly(now time.Time, after uint64) *wire.Reports {
	out := r.newReports(now)
	for rec := range r.changedAfter(after) {
		id := rec.endpoint.ID
		if rec.sumRev > after {
			out.Sums = append(out.Sums, &wire.RecordSum{Id: id, Sum: rec.sum})
		}
		switch {
		case rec.viewRev <= after:
		case rec.isCold(now):
			out.Endpoints = append(out.Endpoints, toMessage(now, rec))
		default:
			addLiveness(out, rec)
		}
	}
	if len(out.Sums) > maxSums {
		out.Sums, out.Digest = nil, slices.Clone(r.digest[:])
	}
	return out
}

// View returns the digest of what is known, and which endpoints are silent, for an entry
// that is told briefly from now on.
func (r *Registry) View(now time.Time) *wire.Reports {
	out := r.newReports(now)
	out.Digest = slices.Clone(r.digest[:])
	for rec := range r.changedAfter(0) {
		if rec.silent {
			out.Silent = append(out.Silent, rec.endpoint.ID)
		}
	}
	return out
}

// Records returns what is known of some endpoints.
func (r *Registry) Records(now time.Time, ids []string) *wire.Reports {
	out := r.newReports(now)
	for _, id := range ids {
		if rec := r.records[id]; rec != nil {
			out.Endpoints = append(out.Endpoints, toMessage(now, rec))
		}
	}
	return out
}

// Lacking returns the records that an entry lacks which knows what its digest
// says: the parts on which both differ, and of the others what is silent or cold.
func (r *Registry) Lacking(now time.Time, known Digest) *wire.Reports {
	out := r.newReports(now)
	out.Same = r.digest.Same(&known)
	for rec := range r.changedAfter(0) {
		if rec.silent || rec.isCold(now) || out.Same&PartBit(rec.endpoint.ID) == 0 {
			m := toMessage(now, rec)
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
	out := r.newReports(now)
	for rec := range r.heardAfter(after) {
		if rec.peerFullRev > after {
			out.Endpoints = append(out.Endpoints, toMessage(now, rec))
			continue
		}
		out.Beats = append(out.Beats, &wire.Beat{
			Id: rec.endpoint.ID, Sequence: rec.endpoint.Sequence, AgeNanos: int64(now.Sub(rec.heard)),
		})
	}
	return out
}

// newReports returns reports that tell of no endpoint yet.
func (r *Registry) newReports(now time.Time) *wire.Reports {
	return &wire.Reports{Number: r.revision, Whole: r.Whole(now)}
}

// changedAfter goes through the records that changed after a number, the last
// one first.
func (r *Registry) changedAfter(after uint64) iter.Seq[*record] {
	return newestFirst(r.changeOrder, func(rec *record) bool { return rec.changeRev > after })
}

// heardAfter goes through the records that were heard or changed after a number,
// the last one first.
func (r *Registry) heardAfter(after uint64) iter.Seq[*record] {
	return newestFirst(r.heardOrder, func(rec *record) bool { return rec.peerRev > after })
}

// newestFirst goes through a list from its back as long as the records are wanted.
func newestFirst(l *list.List, wanted func(*record) bool) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for e := l.Back(); e != nil; e = e.Prev() {
			if rec := e.Value.(*record); !wanted(rec) || !yield(rec) {
				return
			}
		}
	}
}

// toMessage returns a record as it travels; its times count from now.
func toMessage(now time.Time, rec *record) *wire.EndpointReport {
	e, age := rec.endpoint, now.Sub(rec.heard)
	return &wire.EndpointReport{
		Id: e.ID, Number: e.Number, Service: e.Service, Address: e.Addr.String(), Domain: e.Domain, Slots: uint32(e.Slots),
		Leaving: e.Leaving, Gone: e.Gone, WarmNanos: int64(max(0, e.Warm-age)), Sequence: e.Sequence,
		AgeNanos: int64(age), Silent: rec.silent,
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
