// Package outlier decides which endpoints new flows avoid because they accept
// requests without answering them, or answer with errors. In a large fleet a single
// entry sends an endpoint too few requests to judge it, about one in ten seconds, so
// the failures that several entries report are combined. The package performs no I/O,
// and callers pass in the current time.
package outlier

import (
	"slices"
	"time"
)

const (
	// Window is how long a report counts. It exceeds the longest wait of a request to a
	// busy service, so that the reports of several entries fall into one window.
	Window = 3 * time.Second
	// minReporters is how many entries must report an endpoint within the window. A
	// single report may stem from a lost packet, a long request or a faulty entry. A
	// failure domain with fewer entries ejects no endpoint.
	minReporters = 3
	// maxTracked bounds the endpoints with recent reports: a tenth of 55,000, which may
	// fail at once. Further ones are ignored until others expire.
	maxTracked = 5500
)

type (
	// Tracker holds the recent reports of the entries linked to one control instance.
	// It is not safe for concurrent use.
	Tracker struct {
		reports   map[string][]report // by endpoint, oldest first
		nextPrune time.Time
	}

	// report is one failure that an entry reported.
	report struct {
		entry string
		at    time.Time
	}
)

// New returns a Tracker without reports.
func New() *Tracker { return &Tracker{reports: map[string][]report{}} }

// Report records that an endpoint failed a request of an entry, and reports whether
// the endpoint is to be ejected, so that new flows avoid it. Its reports are then
// cleared, so the next ejection needs as many again.
func (t *Tracker) Report(now time.Time, endpoint, entry string) bool {
	t.prune(now)
	if _, known := t.reports[endpoint]; !known && len(t.reports) >= maxTracked {
		return false
	}
	recent := append(fromOthers(reportsAfter(t.reports[endpoint], now.Add(-Window)), entry), report{entry, now})
	if len(recent) < minReporters {
		t.reports[endpoint] = recent
		return false
	}
	delete(t.reports, endpoint)
	return true
}

// prune drops, once per window, endpoints without recent reports.
func (t *Tracker) prune(now time.Time) {
	if now.Before(t.nextPrune) {
		return
	}
	t.nextPrune = now.Add(Window)
	for endpoint, all := range t.reports {
		if len(reportsAfter(all, now.Add(-Window))) == 0 {
			delete(t.reports, endpoint)
		}
	}
}

// reportsAfter returns the reports made after a time.
func reportsAfter(all []report, after time.Time) []report {
	for len(all) > 0 && !all[0].at.After(after) {
		all = all[1:]
	}
	return all
}

// fromOthers returns the reports of other entries, so that each entry counts once.
func fromOthers(all []report, entry string) []report {
	return slices.DeleteFunc(slices.Clone(all), func(r report) bool { return r.entry == entry })
}
