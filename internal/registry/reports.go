package registry

import (
	"container/list"
	"iter"
	"net/netip"
	"slices"
	"time"

	"oxbowsaddle/internal/wire"
)

// maxSums is the maximum number of checksums sent at once. More of them would be
// larger than the digest, and occur while a fleet starts and the entry is about to
// receive most records anyway.
const maxSums = 40

// Changes returns, for an entry, the records that changed after a revision, newest
// first. Of records that only became silent or were heard again it lists the ID,
// since a whole failure domain may do so at once. The cost is proportional to the
// number of changes.
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

// addLiveness adds to reports whether an endpoint is silent.
func addLiveness(out *wire.Reports, rec *record) {
	if rec.silent {
		out.Silent = append(out.Silent, rec.endpoint.ID)
	} else {
		out.Heard = append(out.Heard, rec.endpoint.ID)
	}
}

// ChangeSummary returns a summary of the changes after a revision, for an entry
// that receives the records themselves from another control instance. It contains
// their checksums, the IDs of endpoints that became silent or were heard again in this
// instance's view, and the records that became cold again, which checksums do not
// cover. If more than maxSums checksums have changed it contains the digest instead.
func (r *Registry) ChangeSummary(now time.Time, after uint64) *wire.Reports {
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

// Summary returns the digest and the IDs of silent endpoints, for an entry that receives
// only summaries from now on.
func (r *Registry) Summary(now time.Time) *wire.Reports {
	out := r.newReports(now)
	out.Digest = slices.Clone(r.digest[:])
	for rec := range r.changedAfter(0) {
		if rec.silent {
			out.Silent = append(out.Silent, rec.endpoint.ID)
		}
	}
	return out
}

// Records returns the records of the given endpoints; unknown ones are skipped.
func (r *Registry) Records(now time.Time, ids []string) *wire.Reports {
	out := r.newReports(now)
	for _, id := range ids {
		if rec := r.records[id]; rec != nil {
			out.Endpoints = append(out.Endpoints, toMessage(now, rec))
		}
	}
	return out
}

// Missing returns the records that an entry with the given digest lacks: all in the
// parts that differ, and those that are silent or cold in the others.
func (r *Registry) Missing(now time.Time, known Digest) *wire.Reports {
	out := r.newReports(now)
	out.Same = r.digest.EqualParts(&known)
	for rec := range r.changedAfter(0) {
		if rec.silent || rec.isCold(now) || out.Same&PartBit(rec.endpoint.ID) == 0 {
			m := toMessage(now, rec)
			m.AgeNanos = 0 // only peers need it, and it compresses badly
			out.Endpoints = append(out.Endpoints, m)
		}
	}
	return out
}

// PeerChanges returns, for a peer that received everything up to a revision, the
// full records that changed since, and only heartbeats of the others. Heartbeats
// suffice for these because an incarnation never withdraws its leaving, and its other
// fields do not change. The cost is proportional to the number of heartbeats and
// changes.
func (r *Registry) PeerChanges(now time.Time, after uint64) *wire.Reports {
	out := r.newReports(now)
	for rec := range r.heardAfter(after) {
		if rec.peerFullRev > after {
			out.Endpoints = append(out.Endpoints, toMessage(now, rec))
			continue
		}
		out.Beats = append(out.Beats, &wire.Beat{
			Id: rec.endpoint.ID, Sequence: rec.endpoint.Sequence, AgeNanos: int64(now.Sub(rec.lastHeard)),
		})
	}
	return out
}

// newReports returns reports without endpoints.
func (r *Registry) newReports(now time.Time) *wire.Reports {
	return &wire.Reports{Number: r.revision, Whole: r.Complete(now)}
}

// changedAfter iterates over the records with changes for entries after a revision,
// newest first.
func (r *Registry) changedAfter(after uint64) iter.Seq[*record] {
	return newestFirst(r.changeOrder, func(rec *record) bool { return rec.changeRev > after })
}

// heardAfter iterates over the records that were heard or changed after a revision,
// newest first.
func (r *Registry) heardAfter(after uint64) iter.Seq[*record] {
	return newestFirst(r.heardOrder, func(rec *record) bool { return rec.peerRev > after })
}

// newestFirst iterates over a list from its back until a record is not wanted.
func newestFirst(l *list.List, wanted func(*record) bool) iter.Seq[*record] {
	return func(yield func(*record) bool) {
		for e := l.Back(); e != nil; e = e.Prev() {
			if rec := e.Value.(*record); !wanted(rec) || !yield(rec) {
				return
			}
		}
	}
}

// toMessage returns the wire form of a record, with durations relative to now.
func toMessage(now time.Time, rec *record) *wire.EndpointReport {
	e, age := rec.endpoint, now.Sub(rec.lastHeard)
	return &wire.EndpointReport{
		Id: e.ID, Number: e.Number, Service: e.Service, Address: e.Addr.String(), Domain: e.Domain, Slots: uint32(e.Slots),
		Leaving: e.Leaving, Gone: e.Gone, WarmNanos: int64(max(0, e.Warmup-age)), Sequence: e.Sequence,
		AgeNanos: int64(age), Silent: rec.silent,
	}
}

// FromMessage returns the endpoint in a report, with Warmup relative to now.
func FromMessage(m *wire.EndpointReport) Endpoint {
	addr, _ := netip.ParseAddrPort(m.Address) // invalid if the sender only knows that the endpoint is gone
	return Endpoint{
		ID: m.Id, Number: m.Number, Service: m.Service, Addr: addr, Domain: m.Domain, Slots: int(m.Slots),
		Leaving: m.Leaving, Gone: m.Gone, Warmup: time.Duration(m.WarmNanos), Sequence: m.Sequence,
	}
}
