package registry

import (
	"time"

	"oxbowsaddle/internal/wire"
)

// Merge applies the reports of another control instance. A report that an
// incarnation is gone applies whatever its sequence.
func (r *Registry) Merge(now time.Time, reports *wire.Reports) {
	for _, m := range reports.Endpoints {
		e := FromMessage(m)
		if e.Gone {
			r.leave(now, e)
			continue
		}
		age := time.Duration(m.AgeNanos)
		e.Warmup += age
		r.apply(now, e, age)
	}
	for _, b := range reports.Beats {
		r.mergeBeat(now, b)
	}
}

// mergeBeat applies a heartbeat of a known endpoint. Unknown endpoints are ignored,
// since the peer sends its full list on its next link.
func (r *Registry) mergeBeat(now time.Time, b *wire.Beat) {
	rec := r.records[b.Id]
	if rec == nil {
		return
	}
	e, age := rec.endpoint, time.Duration(b.AgeNanos)
	e.Sequence = b.Sequence
	e.Warmup = max(0, e.Warmup-now.Add(-age).Sub(rec.lastHeard))
	r.apply(now, e, age)
}
