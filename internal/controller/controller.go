// Package controller makes the decisions of the leading control instance:
// leases and membership of the entries, which changes are in use, placement,
// and when a transition ends. It takes beats and the time, and gives commands
// for the replicated log. It has no input or output.
package controller

import (
	"time"

	"oxbowsaddle/internal/control"
	"oxbowsaddle/internal/health"
	"oxbowsaddle/internal/wire"
)

type (
	// Config sets the times and bounds of the controller.
	Config struct {
		Lease       time.Duration // an entry may decide this long after its beat
		Margin      time.Duration // covers the drift of clocks over one lease
		SettleAfter time.Duration // no flow must be left for so long
		ReturnWait  time.Duration // an entry of a domain that is back must show itself in this time
		PlaceEvery  time.Duration // how often placement is looked at
		MovesAtOnce int           // buckets moved for balance in one look at one service
		Health      health.Config
	}

	// member is what the controller knows of an entry.
	member struct {
		name, domain string
		incarnation  uint64
		leaseUntil   time.Time // by the controller's clock, with margin
		lastBeat     time.Time
		appliedIndex uint64
		countedIndex uint64
		beatReceived bool // by this controller, in this life
		counts       map[bucketKey]flowCount
	}

	flowCount struct {
		flows, pending uint32
	}

	// returnedDomain follows a domain that was lost whole and is back.
	returnedDomain struct {
		returnedAt  time.Time
		returnIndex uint64 // of the state when it came back
		reopenIndex uint64 // from which its buckets with flows elsewhere are open
	}

	bucketKey struct {
		service, bucket uint32
	}

	// Grant is the answer to a beat.
	Grant struct {
		Lease  time.Duration // 0 is none
		Active uint64
	}

	// MemberStatus is what status shows of an entry.
	MemberStatus struct {
		Name, Domain string
		Applied      uint64
		Silent       time.Duration
		Leased       bool
	}

	// Controller decides for one term of leadership.
	Controller struct {
		config           Config
		state            *control.State
		startIndex       uint64
		activeIndex      uint64
		members          map[string]*member
		joining          map[string]*wire.Member
		stopped          map[string]bool // entries that have said their last word
		returnedDomains  map[string]*returnedDomain
		lostIncarnations map[string]map[string]uint64 // the lives of a domain's entries when it was lost
		lossSince        map[string]time.Time         // since when
		tracked          map[bucketKey]*trackedTransition
		assessor         *health.Assessor
		lastPlans        map[uint32]lastPlan
		lastPlacement    time.Time
		rotation         uint32 // which services are looked at next
	}
)

// New returns the controller of a new term. Members that the state names may
// still hold a lease of the former leader.
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
			leaseUntil: now.Add(c.Lease + c.Margin), lastBeat: now, counts: map[bucketKey]flowCount{},
		}
	}
	return k
}

// SetState replaces the state after a snapshot was taken over.
func (k *Controller) SetState(s *control.State) { k.state = s }

// Active returns the index up to which changes are in use.
func (k *Controller) Active() uint64 { return k.activeIndex }

// Assessor returns the weighed reports, for explanations.
func (k *Controller) Assessor() *health.Assessor { return k.assessor }

// Beat takes the beat of an entry and answers it. The lease counts from when
// the entry sent the beat, so it ends there before it ends here. Current says
// that this instance can show its own lease as leader.
func (k *Controller) Beat(now time.Time, r *wire.BeatRequest, current bool) Grant {
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
	m.lastBeat, m.appliedIndex, m.beatReceived = now, r.Applied, true
	k.recordCounts(m, r)
	for _, l := range r.Loads {
		k.assessor.Take(now, r.Name, health.Report{
			Endpoint: l.Endpoint, Healthy: l.Healthy, Leaving: l.Leaving, Shedding: l.Shedding,
			Connections: int(l.Connections), Running: int(l.Running),
		})
	}
	if !k.admit(r) || r.Applied < max(k.activeIndex, k.startIndex) || r.Applied > k.state.Index() {
		return Grant{Active: k.activeIndex}
	}
	m.leaseUntil = now.Add(k.config.Lease + k.config.Margin)
	return Grant{Lease: k.config.Lease, Active: k.activeIndex}
}

// replaceIncarnation begins a new life of an entry. What its former life had seen is lost.
func (k *Controller) replaceIncarnation(old *member, r *wire.BeatRequest) *member {
	m := &member{name: r.Name, domain: r.Domain, incarnation: r.Incarnation, counts: map[bucketKey]flowCount{}}
	if old != nil {
		m.leaseUntil = old.leaseUntil
		k.memberLost(old)
	}
	k.members[r.Name] = m
	return m
}

// recordStop notes the last beat of a planned stop: the entry decides no more.
func (k *Controller) recordStop(r *wire.BeatRequest) {
	if m, listed := k.state.Table().Member(r.Name); listed && m.Incarnation() == r.Incarnation {
		k.stopped[r.Name] = true
		delete(k.members, r.Name)
		delete(k.joining, r.Name)
	}
}

// admit reports whether the state lists this life of the entry; else it
// notes the entry to be listed.
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

// Tick does what is due and returns the commands to be agreed on. It must be
// called only when every command it returned before has been applied.
func (k *Controller) Tick(now time.Time) []*wire.Command {
	k.advanceActiveIndex(now)
	var commands []*wire.Command
	commands = append(commands, k.membershipCommands(now)...)
	if now.Sub(k.lastPlacement) >= k.config.PlaceEvery {
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

// advanceActiveIndex moves the active index to what every entry with a lease has applied.
func (k *Controller) advanceActiveIndex(now time.Time) {
	minApplied := k.state.Index()
	for _, m := range k.members {
		if now.Before(m.leaseUntil) {
			minApplied = min(minApplied, m.appliedIndex)
		}
	}
	k.activeIndex = max(k.activeIndex, minApplied)
}

// Status returns what is known of the entries.
func (k *Controller) Status(now time.Time) []MemberStatus {
	var all []MemberStatus
	for _, m := range k.state.Table().Members() {
		s := MemberStatus{Name: m.Name(), Domain: m.Domain()}
		if known := k.members[m.Name()]; known != nil {
			s.Applied, s.Silent, s.Leased = known.appliedIndex, now.Sub(known.lastBeat), now.Before(known.leaseUntil)
		}
		all = append(all, s)
	}
	return all
}

// FlowsLeft returns how many flows of a bucket are not on its current
// endpoint: the most that one entry has seen.
func (k *Controller) FlowsLeft(service, bucket uint32) uint32 {
	var maxFlows uint32
	for _, m := range k.members {
		maxFlows = max(maxFlows, m.counts[bucketKey{service, bucket}].flows)
	}
	return maxFlows
}
