// Package peer follows which other entries can be heard, by the probes they
// send one another. It grants nothing: membership and leases are the
// controller's. It tells whom to ask, and whether a failure domain is cut off
// as a whole and must serve by itself. It has no input or output.
package peer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/route"
)

type (
	// Config sets the times of the tracker.
	Config struct {
		Self     string
		Domain   string
		HeardFor time.Duration // a peer is reachable this long after a probe
		// IslandAfter is how long after its leases ran out a domain serves by
		// itself: by then every entry elsewhere knows of the cut or has no lease.
		IslandAfter time.Duration
	}

	peerState struct {
		lastProbe time.Time
		leased    bool
	}

	// Tracker holds what was heard last. One goroutine uses it.
	Tracker struct {
		config                Config
		peers                 map[string]peerState
		unlisted              map[string]bool
		lastCheck, aloneSince time.Time
	}
)

// New returns a tracker that has heard nobody.
func New(c Config) *Tracker {
	return &Tracker{config: c, peers: map[string]peerState{}, unlisted: map[string]bool{}}
}

// Heard notes a probe.
func (t *Tracker) Heard(now time.Time, name string, leased bool) {
	t.peers[name] = peerState{now, leased}
}

// SetUnlisted takes the platform's list of instances that are no more. It may lag
// and be wrong, so a peer that is heard counts as there whatever it says.
func (t *Tracker) SetUnlisted(names []string) {
	clear(t.unlisted)
	for _, n := range names {
		t.unlisted[n] = true
	}
}

// Reachable returns the live entries that were heard lately, in order.
func (t *Tracker) Reachable(now time.Time, table *route.Table) []string {
	return t.filter(now, table, func(peerState) bool { return true })
}

// Leased returns those of them that said they hold a lease.
func (t *Tracker) Leased(now time.Time, table *route.Table) []string {
	return t.filter(now, table, func(h peerState) bool { return h.leased })
}

func (t *Tracker) filter(now time.Time, table *route.Table, keep func(peerState) bool) []string {
	var names []string
	for _, m := range table.Members() {
		h, ok := t.peers[m.Name()]
		if ok && m.Name() != t.config.Self && now.Sub(h.lastProbe) <= t.config.HeardFor && keep(h) {
			names = append(names, m.Name())
		}
	}
	return names
}

// Domains returns the failure domains that can be reached: the own one, and
// those of which a live entry was heard lately.
func (t *Tracker) Domains(now time.Time, table *route.Table) []string {
	domains := []string{t.config.Domain}
	reachable := t.Reachable(now, table)
	for _, m := range table.Members() {
		if slices.Contains(reachable, m.Name()) && !slices.Contains(domains, m.Domain()) {
			domains = append(domains, m.Domain())
		}
	}
	return domains
}

// Island reports whether this domain must serve by itself: the lease ran out
// a while ago, and for as long no peer anywhere that can be heard held one,
// and every other entry of the domain was heard or known to be gone. An entry
// that is alone without knowing why serves nothing new: it may only be paused
// or cut off, while the others go on. It is to be asked often: after a gap, as
// a pause makes one, the time counts anew, since what is heard right after a
// pause was said long before.
func (t *Tracker) Island(now, leaseUntil time.Time, table *route.Table) bool {
	paused := now.Sub(t.lastCheck) > t.config.HeardFor/2
	t.lastCheck = now
	if paused || !t.seemsIsolated(now, leaseUntil, table) {
		t.aloneSince = time.Time{}
		return false
	}
	if t.aloneSince.IsZero() {
		t.aloneSince = now
	}
	return now.Sub(t.aloneSince) >= t.config.IslandAfter
}

// seemsIsolated reports whether the domain seems to be cut off as a whole right now.
func (t *Tracker) seemsIsolated(now, leaseUntil time.Time, table *route.Table) bool {
	if leaseUntil.IsZero() || now.Before(leaseUntil) || len(t.Leased(now, table)) > 0 {
		return false
	}
	reachable := t.Reachable(now, table)
	for _, m := range table.Members() {
		if m.Domain() != t.config.Domain || m.Name() == t.config.Self {
			continue
		}
		if !slices.Contains(reachable, m.Name()) && !t.unlisted[m.Name()] {
			return false
		}
	}
	return true
}
