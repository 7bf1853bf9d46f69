package cmd

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"oxbowsaddle/internal/wire"
)

// columnPadding is the number of blanks between two columns of a table.
const columnPadding = 2

// Heads of the columns of the tables of utilisation.
var (
	poolHeads = []string{
		"SERVICE", "FAILURE DOMAIN", "ENDPOINTS", "SLOTS", "IN USE", "PERCENT", "ENTRIES", "OLDEST REPORT", "GRANTED", "REFUSED", "WORK TIME", "ALLOCATOR",
	}
	serviceHeads = []string{"SERVICE", "LOADED", "REQUESTS", "SHARE", "CREDITS", "IDLE", "LAST REPLY", "ENTRY"}
	routeHeads   = []string{"ROUTE", "PRIORITY", "ADMITTED", "REJECTED", "ENTRY"}
)

// table is a text table that is printed with aligned columns, its rows sorted.
type table struct {
	heads []string
	rows  [][]string
}

func (t *table) len() int { return len(t.rows) }

// add adds a row with the values of its columns.
func (t *table) add(values ...any) {
	row := make([]string, len(values))
	for n, v := range values {
		row[n] = fmt.Sprint(v)
	}
	t.rows = append(t.rows, row)
}

// print writes the table, or nothing if it has no rows. Rows are sorted by their columns.
func (t *table) print(w io.Writer) error {
	if len(t.rows) == 0 {
		return nil
	}
	slices.SortStableFunc(t.rows, slices.Compare)
	out := tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{t.heads}, t.rows...) {
		fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return out.Flush()
}

// addPools adds the pools of a control instance, without those that nobody uses unless all is
// set.
func (t *table) addPools(r *wire.UtilisationReply, all bool) {
	for _, p := range r.Pools {
		if !all && p.Count == 0 && p.Entries == 0 {
			continue
		}
		allocator := r.Name
		if p.Learning {
			allocator += " (learning)" // its counts may still lack entries
		}
		t.add(p.Service, p.Domain, p.Endpoints, p.Slots, p.Count, percentOf(p), p.Entries, duration(p.AgeNanos), p.Granted, p.Refused,
			duration(p.WorkNanos), allocator)
	}
}

// addServices adds the services of an entry, without those out of load mode unless all is set.
func (t *table) addServices(r *wire.UtilisationReply, all bool) {
	for _, s := range r.Services {
		if !all && !s.Loaded {
			continue
		}
		lastReply := "none"
		if s.AgeNanos >= 0 {
			lastReply = duration(s.AgeNanos).String()
		}
		t.add(s.Service, s.Loaded, fmt.Sprintf("%.1f", s.Requests), fmt.Sprintf("%.1f", s.Share), s.Credits, s.Idle, lastReply, r.Name)
	}
}

// addRoutes adds the routes of an entry, without those that had no new flows in load mode
// unless all is set.
func (t *table) addRoutes(r *wire.UtilisationReply, all bool) {
	for _, route := range r.Routes {
		if all || route.Admitted > 0 || route.Rejected > 0 {
			t.add(route.Route, route.Priority, route.Admitted, route.Rejected, r.Name)
		}
	}
}

// percentOf returns the requests in percent of the slots, "-" for a pool without slots.
func percentOf(p *wire.PoolUtilisation) string {
	if p.Slots == 0 {
		return "-"
	}
	return fmt.Sprint(100 * uint64(p.Count) / uint64(p.Slots))
}

// duration returns a duration in nanoseconds, rounded to milliseconds.
func duration(nanos int64) time.Duration { return time.Duration(nanos).Round(time.Millisecond) }
