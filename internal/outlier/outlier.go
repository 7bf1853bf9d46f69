// Package outlier decides, from what entries report of endpoints that take requests
// and do not answer them, or by errors, which endpoints new flows avoid. A large fleet's entry sees a
// request of an endpoint every ten seconds, so that none can tell alone. The package
// has no I/O; now is an argument. One goroutine at a time uses a Tracker.
package outlier

import (
	"slices"
	"time"
)

const (
	// Window is how long a report counts: three times what a request of a busy service
	// waits at most. An endpoint of 120 that hangs is reported eight times a second.
	Window = 3 * time.Second
	// minReporters entries that report an endpoint are a verdict: one report may be a lost
	// packet or a long request, and an entry may be to blame for all of its own, also
	// beside one of those. A fleet with fewer entries in a failure domain judges none.
	minReporters = 3
	// maxTracked bounds the endpoints of which reports are kept, for 55,000 of which a
	// tenth fail at once; those beyond it are not judged until others are forgotten.
	maxTracked = 5500
)

type (
	// Tracker is what the entries that report to one control instance have said.
	Tracker struct {
		reports   map[string][]report // by endpoint, the oldest first
		nextPrune time.Time
	}

	// report is one of an entry.
	report struct {
		entry string
		at    time.Time
	}
)

// New returns a Tracker that has heard nothing.
func New() *Tracker { return &Tracker{reports: map[string][]report{}} }

// Report takes that an endpoint failed a request of an entry, and reports whether that makes
// enough for others to avoid it. After a verdict it takes as many reports again.
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

// prune drops endpoints of which nothing was reported within the window.
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

// reportsAfter returns the reports after a time.
func reportsAfter(all []report, after time.Time) []report {
	for len(all) > 0 && !all[0].at.After(after) {
		all = all[1:]
	}
	return all
}

// fromOthers returns the reports of other entries: only the last one of each counts.
func fromOthers(all []report, entry string) []report {
	return slices.DeleteFunc(slices.Clone(all), func(r report) bool { return r.entry == entry })
}
