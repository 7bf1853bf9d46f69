// Package controller makes the decisions of the leading control instance: which
// entries hold a lease and are listed as members, which log index is active, where
// buckets are placed, and when transitions end. It takes heartbeats and the
// current time, returns commands for the replicated log, and does no I/O.
package controller

import (
	"time"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/health"
	"oxbowsaddle/internal/wire"
)

type (
	// Config holds the timing and limits of a Controller.
	Config struct {
		Lease             time.Duration // how long a heartbeat lets an entry decide
		ClockMargin       time.Duration // maximum clock drift during one lease
		SettleAfter       time.Duration // how long a bucket must have no flows on other endpoints before it settles
		ReturnTimeout     time.Duration // how long to wait for the entries of a domain that is reachable again
		PlacementInterval time.Duration // interval between placement rounds
		MaxMovesPerRound  int           // maximum number of buckets moved per service and round to balance load
		Health            health.Config
	}

	// member is the state of one entry.
	member struct {
		name, domain      string
		incarnation       uint64
		leaseUntil        time.Time // by the controller's clock, including the margin
		lastHeartbeat     time.Time
		appliedIndex      uint64 // last log index that the entry has applied
		countedIndex      uint64 // table index at which its last complete flow count began
		heartbeatReceived bool   // by this controller, from this incarnation
		counts            map[bucketKey]flowCount
	}

	// flowCount is the number of flows of a bucket on other endpoints than its current
	// one, and how many of them its holders haven't acknowledged.
	flowCount struct {
		flows, pending uint32
	}

	// returnedDomain tracks a partitioned domain that is reachable again.
	returnedDomain struct {
		returnedAt  time.Time
		returnIndex uint64 // of the state when the domain became reachable
		reopenIndex uint64 // when active, the buckets with flows on other endpoints are in transition
	}

	bucketKey struct {
		service, bucket uint32
	}

	// Grant is the reply to a heartbeat.
	Grant struct {
		Lease  time.Duration // 0 if no lease is granted
		Active uint64
	}

	// MemberStatus is the reported status of an entry.
	MemberStatus struct {
		Name, Domain   string
		Applied        uint64
		SinceHeartbeat time.Duration
		Leased         bool
	}

	// Controller makes the decisions of one leader during one term.
	Controller struct {
		config           Config
		state            *control.State
		startIndex       uint64 // last log index when the controller started; an entry has to apply it to get a lease
		activeIndex      uint64
		members          map[string]*member
		joining          map[string]*wire.Member // entries to list, or to list as leaving
		stopped          map[string]bool         // entries that sent their last heartbeat before a planned stop
		returnedDomains  map[string]*returnedDomain
		lostIncarnations map[string]map[string]uint64 // incarnations of the entries of a partitioned domain, by domain and name
		lossSince        map[string]time.Time         // since when a domain is known to have lost records
		tracked          map[bucketKey]*trackedTransition
		assessor         *health.Assessor
		lastPlans        map[uint32]lastPlan
		lastPlacement    time.Time
		rotation         uint32 // position in the rotation over all services
	}
)

// New returns the controller of a new term. It assumes that each listed member
// still holds a lease from the previous leader.
func New(c Config, now time.Time, state *control.State, startIndex uint64) *Controller {
	k := &Controller{
		config: c, state: state, startIndex: startIndex,
		members: map[string]*member{}, joining: map[string]*wire.Member{}, stopped: map[string]bool{}, returnedDomains: map[string]*returnedDomain{}, lostIncarnations: map[string]map[string]uint64{}, lossSince: map[string]time.Time{},
		tracked: map[bucketKey]*trackedTransition{}, lastPlans: map[uint32]lastPlan{},
		assessor: health.New(c.Health, now),
	}
	for _, m := range state.Table().Members() {
		k.members[m.Name()] = &member{
			name: m.Name(), domain: m.Domain(), incarnation: m.Incarnation(),
			leaseUntil: now.Add(c.Lease + c.ClockMargin), lastHeartbeat: now, counts: map[bucketKey]flowCount{},
		}
	}
	return k
}

// SetState replaces the state, after a snapshot was installed.
func (k *Controller) SetState(s *control.State) { k.state = s }

// Active returns the active index: entries use changes up to it.
func (k *Controller) Active() uint64 { return k.activeIndex }

// Assessor returns the assessor of health reports.
func (k *Controller) Assessor() *health.Assessor { return k.assessor }

// HandleHeartbeat records an entry's heartbeat and renews its lease. The entry counts
// the lease from when it sent the heartbeat, so that the lease ends there before it
// ends here. The argument current says whether this instance still holds its own lease
// as leader.
func (k *Controller) HandleHeartbeat(now time.Time, r *wire.BeatRequest, current bool) Grant {
	if !current {
		return Grant{Active: k.activeIndex}
	}
	k.activeIndex = max(k.activeIndex, min(r.Active, k.state.Index()))
	if r.Stopped {
		k.recordStop(r)
		return Grant{Active: k.activeIndex}
	}
	m := k.members[r.Name]
	if m == nil || m.incarnation != r.Incarnation {
		m = k.replaceIncarnation(m, r)
	}
	m.lastHeartbeat, m.appliedIndex, m.heartbeatReceived = now, r.Applied, true
	k.recordCounts(m, r)
	for _, l := range r.Loads {
		k.assessor.AddReport(now, r.Name, health.Report{
			Endpoint: l.Endpoint, Healthy: l.Healthy, Leaving: l.Leaving, Shedding: l.Shedding,
			Connections: int(l.Connections), Running: int(l.Running),
		})
	}
	if !k.admit(r) || r.Applied < max(k.activeIndex, k.startIndex) || r.Applied > k.state.Index() {
		return Grant{Active: k.activeIndex}
	}
	m.leaseUntil = now.Add(k.config.Lease + k.config.ClockMargin)
	return Grant{Lease: k.config.Lease, Active: k.activeIndex}
}

// replaceIncarnation starts a new incarnation of an entry; the state of the old one is lost.
func (k *Controller) replaceIncarnation(old *member, r *wire.BeatRequest) *member {
	m := &member{name: r.Name, domain: r.Domain, incarnation: r.Incarnation, counts: map[bucketKey]flowCount{}}
	if old != nil {
		m.leaseUntil = old.leaseUntil
		k.memberLost(old)
	}
	k.members[r.Name] = m
	return m
}

// recordStop handles the last heartbeat of a planned stop, after which the entry
// makes no more decisions.
func (k *Controller) recordStop(r *wire.BeatRequest) {
	if m, listed := k.state.Table().Member(r.Name); listed && m.Incarnation() == r.Incarnation {
		k.stopped[r.Name] = true
		delete(k.members, r.Name)
		delete(k.joining, r.Name)
	}
}

// admit reports whether the state lists this incarnation of the entry. If it
// doesn't, or not as leaving, the entry is queued to be listed.
func (k *Controller) admit(r *wire.BeatRequest) bool {
	m, listed := k.state.Table().Member(r.Name)
	if listed && m.Incarnation() == r.Incarnation && m.Leaving() == r.Stopping {
		delete(k.joining, r.Name)
		return true
	}
	k.joining[r.Name] = &wire.Member{Name: r.Name, Domain: r.Domain, Incarnation: r.Incarnation, Leaving: r.Stopping}
	return listed && m.Incarnation() == r.Incarnation
}

func (k *Controller) recordCounts(m *member, r *wire.BeatRequest) {
	if r.CountedIndex == 0 {
		return
	}
	m.countedIndex = r.CountedIndex
	m.counts = make(map[bucketKey]flowCount, len(r.Counts))
	for _, c := range r.Counts {
		m.counts[bucketKey{c.Service, c.Bucket}] = flowCount{c.Flows, c.Pending}
	}
}

// Tick returns the commands to propose. It must be called only when all commands
// that it returned earlier have been applied.
func (k *Controller) Tick(now time.Time) []*wire.Command {
	k.advanceActiveIndex(now)
	var commands []*wire.Command
	commands = append(commands, k.membershipCommands(now)...)
	if now.Sub(k.lastPlacement) >= k.config.PlacementInterval {
		k.lastPlacement = now
		commands = append(commands, k.resolveReturned(now)...)
		commands = append(commands, k.resolveLosses(now)...)
		commands = append(commands, k.transitionCommands(now)...)
		commands = append(commands, k.placementCommands(now)...)
	}
	for _, c := range commands {
		c.UnixNano = now.UnixNano()
	}
	return commands
}

// advanceActiveIndex sets the active index to the lowest index that the entries
// with a lease have applied.
func (k *Controller) advanceActiveIndex(now time.Time) {
	minApplied := k.state.Index()
	for _, m := range k.members {
		if now.Before(m.leaseUntil) {
			minApplied = min(minApplied, m.appliedIndex)
		}
	}
	k.activeIndex = max(k.activeIndex, minApplied)
}

// Status returns the status of all listed entries.
func (k *Controller) Status(now time.Time) []MemberStatus {
	var all []MemberStatus
	for _, m := range k.state.Table().Members() {
		s := MemberStatus{Name: m.Name(), Domain: m.Domain()}
		if known := k.members[m.Name()]; known != nil {
			s.Applied, s.SinceHeartbeat, s.Leased = known.appliedIndex, now.Sub(known.lastHeartbeat), now.Before(known.leaseUntil)
		}
		all = append(all, s)
	}
	return all
}

// FlowsElsewhere returns how many flows of a bucket aren't on its current endpoint: the
// highest number that an entry reports.
func (k *Controller) FlowsElsewhere(service, bucket uint32) uint32 {
	var maxFlows uint32
	for _, m := range k.members {
		maxFlows = max(maxFlows, m.counts[bucketKey{service, bucket}].flows)
	}
	return maxFlows
}
