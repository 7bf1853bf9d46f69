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
		applied      uint64
		counted      uint64
		heard        bool // by this controller, in this life
		rows         map[bucketKey]row
	}

	row struct {
		flows, pending uint32
	}

	// comeback follows a domain that was lost whole and is back.
	comeback struct {
		since    time.Time
		index    uint64 // of the state when it came back
		openedAt uint64 // from which its buckets with flows elsewhere are open
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
		config     Config
		state      *control.State
		startIndex uint64
		active     uint64
		members    map[string]*member
		joining    map[string]*wire.Member
		stopping   map[string]bool // entries that have said their last word
		returned   map[string]*comeback
		cutOff     map[string]map[string]uint64 // the lives of a domain's entries when it was lost
		bereft     map[string]time.Time         // since when
		open       map[bucketKey]*transition
		assessor   *health.Assessor
		planned    map[uint32]plan
		lastPlace  time.Time
		turn       uint32 // which services are looked at next
	}
)

// New returns the controller of a new term. Members that the state names may
// still hold a lease of the former leader.
func New(c Config, now time.Time, state *control.State, startIndex uint64) *Controller {
	k := &Controller{
		config: c, state: state, startIndex: startIndex,
		members: map[string]*member{}, joining: map[string]*wire.Member{}, stopping: map[string]bool{}, returned: map[string]*comeback{}, cutOff: map[string]map[string]uint64{}, bereft: map[string]time.Time{},
		open: map[bucketKey]*transition{}, planned: map[uint32]plan{},
		assessor: health.New(c.Health, now),
	}
	for _, m := range state.Table().Members() {
		k.members[m.Name()] = &member{
			name: m.Name(), domain: m.Domain(), incarnation: m.Incarnation(),
			leaseUntil: now.Add(c.Lease + c.Margin), lastBeat: now, rows: map[bucketKey]row{},
		}
	}
	return k
}

// SetState replaces the state after a snapshot was taken over.
func (k *Controller) SetState(s *control.State) { k.state = s }

// Active returns the index up to which changes are in use.
func (k *Controller) Active() uint64 { return k.active }

// Assessor returns the weighed reports, for explanations.
func (k *Controller) Assessor() *health.Assessor { return k.assessor }

// Beat takes the beat of an entry and answers it. The lease counts from when
// the entry sent the beat, so it ends there before it ends here. Current says
// that this instance can show its own lease as leader.
func (k *Controller) Beat(now time.Time, r *wire.BeatRequest, current bool) Grant {
	if !current {
		return Grant{Active: k.active}
	}
	k.active = max(k.active, min(r.Active, k.state.Index()))
	if r.Stopped {
		k.stopped(r)
		return Grant{Active: k.active}
	}
	m := k.members[r.Name]
	if m == nil || m.incarnation != r.Incarnation {
		m = k.replace(m, r)
	}
	m.lastBeat, m.applied, m.heard = now, r.Applied, true
	k.takeCounts(m, r)
	for _, l := range r.Loads {
		k.assessor.AddReport(now, r.Name, health.Report{
			Endpoint: l.Endpoint, Healthy: l.Healthy, Leaving: l.Leaving, Shedding: l.Shedding,
			Connections: int(l.Connections), Running: int(l.Running),
		})
	}
	if !k.admitted(r) || r.Applied < max(k.active, k.startIndex) || r.Applied > k.state.Index() {
		return Grant{Active: k.active}
	}
	m.leaseUntil = now.Add(k.config.Lease + k.config.Margin)
	return Grant{Lease: k.config.Lease, Active: k.active}
}

// replace begins a new life of an entry. What its former life had seen is lost.
func (k *Controller) replace(old *member, r *wire.BeatRequest) *member {
	m := &member{name: r.Name, domain: r.Domain, incarnation: r.Incarnation, rows: map[bucketKey]row{}}
	if old != nil {
		m.leaseUntil = old.leaseUntil
		k.lost(old)
	}
	k.members[r.Name] = m
	return m
}

// stopped notes the last beat of a planned stop: the entry decides no more.
func (k *Controller) stopped(r *wire.BeatRequest) {
	if m, listed := k.state.Table().Member(r.Name); listed && m.Incarnation() == r.Incarnation {
		k.stopping[r.Name] = true
		delete(k.members, r.Name)
		delete(k.joining, r.Name)
	}
}

// admitted reports whether the state lists this life of the entry; else it
// notes the entry to be listed.
func (k *Controller) admitted(r *wire.BeatRequest) bool {
	m, listed := k.state.Table().Member(r.Name)
	if listed && m.Incarnation() == r.Incarnation && m.Leaving() == r.Stopping {
		delete(k.joining, r.Name)
		return true
	}
	k.joining[r.Name] = &wire.Member{Name: r.Name, Domain: r.Domain, Incarnation: r.Incarnation, Leaving: r.Stopping}
	return listed && m.Incarnation() == r.Incarnation
}

func (k *Controller) takeCounts(m *member, r *wire.BeatRequest) {
	if r.CountedIndex == 0 {
		return
	}
	m.counted = r.CountedIndex
	m.rows = make(map[bucketKey]row, len(r.Counts))
	for _, c := range r.Counts {
		m.rows[bucketKey{c.Service, c.Bucket}] = row{c.Flows, c.Pending}
	}
}

// Tick does what is due and returns the commands to be agreed on. It must be
// called only when every command it returned before has been applied.
func (k *Controller) Tick(now time.Time) []*wire.Command {
	k.advance(now)
	var commands []*wire.Command
	commands = append(commands, k.membership(now)...)
	if now.Sub(k.lastPlace) >= k.config.PlaceEvery {
		k.lastPlace = now
		commands = append(commands, k.returning(now)...)
		commands = append(commands, k.mourning(now)...)
		commands = append(commands, k.transitions(now)...)
		commands = append(commands, k.place(now)...)
	}
	for _, c := range commands {
		c.UnixNano = now.UnixNano()
	}
	return commands
}

// advance moves the active index to what every entry with a lease has applied.
func (k *Controller) advance(now time.Time) {
	least := k.state.Index()
	for _, m := range k.members {
		if now.Before(m.leaseUntil) {
			least = min(least, m.applied)
		}
	}
	k.active = max(k.active, least)
}

// Status returns what is known of the entries.
func (k *Controller) Status(now time.Time) []MemberStatus {
	var all []MemberStatus
	for _, m := range k.state.Table().Members() {
		s := MemberStatus{Name: m.Name(), Domain: m.Domain()}
		if have := k.members[m.Name()]; have != nil {
			s.Applied, s.Silent, s.Leased = have.applied, now.Sub(have.lastBeat), now.Before(have.leaseUntil)
		}
		all = append(all, s)
	}
	return all
}

// FlowsLeft returns how many flows of a bucket are not on its current
// endpoint: the most that one entry has seen.
func (k *Controller) FlowsLeft(service, bucket uint32) uint32 {
	var most uint32
	for _, m := range k.members {
		most = max(most, m.rows[bucketKey{service, bucket}].flows)
	}
	return most
}
