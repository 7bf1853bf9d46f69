// Package peer tracks which other entries are reachable, by the probes that entries
// send to each other, and detects whether this failure domain is partitioned from the
// others. Membership and leases are decided by the controller, not here. It does no
// I/O.
package peer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/route"
)

type (
	// Config configures a Tracker.
	Config struct {
		Self         string
		Domain       string
		ProbeTimeout time.Duration // how long a peer counts as reachable after a probe
		// IsolationDelay is the time from the end of the lease until the failure domain
		// counts as isolated. By then every entry of another domain has applied the mark
		// of the partition or has lost its lease.
		IsolationDelay time.Duration
	}

	// peerState is the last probe of a peer.
	peerState struct {
		lastProbe time.Time
		leased    bool
	}

	// Tracker holds the last probe of each peer. It is not safe for concurrent use.
	Tracker struct {
		config                   Config
		peers                    map[string]peerState
		unlisted                 map[string]bool
		lastCheck, isolatedSince time.Time
	}
)

// New returns a tracker that has received no probes.
func New(c Config) *Tracker {
	return &Tracker{config: c, peers: map[string]peerState{}, unlisted: map[string]bool{}}
}

// RecordProbe records a probe of a peer. leased says whether the peer holds a lease.
func (t *Tracker) RecordProbe(now time.Time, name string, leased bool) {
	t.peers[name] = peerState{now, leased}
}

// SetUnlisted sets the names of the instances that the platform no longer lists. As
// the platform may be late or wrong, peers that send probes count as running anyway.
func (t *Tracker) SetUnlisted(names []string) {
	clear(t.unlisted)
	for _, n := range names {
		t.unlisted[n] = true
	}
}

// Reachable returns the sorted names of the members that sent a probe recently.
func (t *Tracker) Reachable(now time.Time, table *route.Table) []string {
	return t.filter(now, table, func(peerState) bool { return true })
}

// Leased returns the reachable members whose last probe reported a lease.
func (t *Tracker) Leased(now time.Time, table *route.Table) []string {
	return t.filter(now, table, func(p peerState) bool { return p.leased })
}

func (t *Tracker) filter(now time.Time, table *route.Table, keep func(peerState) bool) []string {
	var names []string
	for _, m := range table.Members() {
		p, ok := t.peers[m.Name()]
		if ok && m.Name() != t.config.Self && now.Sub(p.lastProbe) <= t.config.ProbeTimeout && keep(p) {
			names = append(names, m.Name())
		}
	}
	return names
}

// ReachableDomains returns the reachable failure domains: this entry's own, and those
// with a reachable member.
func (t *Tracker) ReachableDomains(now time.Time, table *route.Table) []string {
	domains := []string{t.config.Domain}
	reachable := t.Reachable(now, table)
	for _, m := range table.Members() {
		if slices.Contains(reachable, m.Name()) && !slices.Contains(domains, m.Domain()) {
			domains = append(domains, m.Domain())
		}
	}
	return domains
}

// Isolated reports whether this failure domain is isolated and must serve without
// leases: for Config.IsolationDelay, this entry has had no lease, no reachable peer has
// had one, and every other member of the failure domain has been reachable or unlisted
// by the platform. A single entry without its domain's peers doesn't count as isolated,
// as it may just be unreachable itself. Isolated has to be called more often than every
// half Config.ProbeTimeout: a longer gap means that the process was paused and its
// probes may be stale, so IsolationDelay starts again.
func (t *Tracker) Isolated(now, leaseUntil time.Time, table *route.Table) bool {
	paused := now.Sub(t.lastCheck) > t.config.ProbeTimeout/2
	t.lastCheck = now
	if paused || !t.seemsIsolated(now, leaseUntil, table) {
		t.isolatedSince = time.Time{}
		return false
	}
	if t.isolatedSince.IsZero() {
		t.isolatedSince = now
	}
	return now.Sub(t.isolatedSince) >= t.config.IsolationDelay
}

// seemsIsolated reports whether the conditions of Isolated hold at this moment.
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
