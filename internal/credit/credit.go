// Package credit decides, at an entry, whether a new flow is admitted to a service under load,
// and at which endpoint. A credit is the right of the entry to have one request in progress at
// one endpoint. Control instances allocate credits; the entry reuses a credit when its request
// ends, returns idle ones, and asks for more when it is short. While a service is far from
// full, the package only counts the entry's own requests and sends nothing.
//
// The package does no I/O, and takes the current time as an argument. An Account is not safe for
// concurrent use.
package credit

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// replyTimeout is how long an allocator has to answer. It covers several round trips
	// between failure domains, and leaves room for maxPools requests within maxWait.
	replyTimeout = 10 * time.Millisecond
	// maxWait bounds the time from a SYN until its decision: a client must learn of a
	// rejection while it can still be served elsewhere.
	maxWait = 45 * time.Millisecond
	// maxPools is how many pools are asked for one flow, so that a rejection stays cheap in
	// fleets with many failure domains.
	maxPools = 3
	// maxAttempts is how many control instances are asked for one pool.
	maxAttempts = 2
	// failoverThreshold is how many consecutive requests to an allocator must go unanswered
	// before the next control instance is used, for failoverPeriod.
	failoverThreshold = 3
	failoverPeriod    = time.Second
	// refusalPause is how long a pool that has refused a priority is not asked for it again.
	refusalPause = 30 * time.Millisecond
	// farRefusalPause is the same for a pool without room in another failure domain.
	farRefusalPause = 250 * time.Millisecond
	// knowledgeLifetime is how long replies of allocators decide after they can no longer be
	// reached.
	knowledgeLifetime = time.Second
	// idleLifetime is how long an idle credit is kept for the next flow.
	idleLifetime = 50 * time.Millisecond
	// listInterval is the interval of full lists of what the entry holds.
	listInterval = 250 * time.Millisecond
	// farListInterval is the same for pools of other failure domains. With more of them, lists
	// would take most of what an entry may send. Two of them fit into the second after which an
	// entry counts for nothing.
	farListInterval = 450 * time.Millisecond
	// maxWanted bounds the credits of one request.
	maxWanted = 8
	// shortageWindow is the time for which new flows without a credit raise the number of
	// credits that a request asks for.
	shortageWindow = 100 * time.Millisecond
)

type (
	// Config holds the settings and the seams of an Account.
	Config struct {
		Entry  string // name of the entry
		Domain string // failure domain of the entry
		Life   uint64 // identifies the process; a later process has a higher value
		// Send sends a request to the control instance at a position in the ranking of the
		// allocators of its pool, without blocking. It reports false if there is none.
		Send func(attempt int, request *wire.CreditRequest) bool
		// Link returns the used share of the entry's network link; may be nil.
		Link func(now time.Time) float64
		// Slots returns the slots of a service in the failure domain of the entry.
		Slots func(service string) int
		// OnMode is called when load mode starts or ends for a service; may be nil.
		OnMode func(service string, loaded bool, requests, share float64)
		Seed   uint64 // of the random choices
	}

	// Account holds the credits of one entry, and the requests in progress that it has seen.
	Account struct {
		config   Config
		entries  int // entries of the failure domain, this one included
		services map[string]*service
		pools    map[poolKey]*pool
		// poolOrder holds the pools in the order of their first use, so that decisions do not
		// depend on the order of a map.
		poolOrder []*pool
		loaded    int // services in load mode
		tickets   map[uint64]*ticket
		lastID    uint64
		requests  map[uint64]*request // without a reply, by number
		lastSent  uint64              // number of the last request
		budget    bucket
		retries   retryBudget
		random    *rand.Rand
		counts    Counts
	}

	// Flow describes a new flow that asks for admission.
	Flow struct {
		Route    string // name
		Service  string
		Domains  []string // failure domains with endpoints of the service, preferred ones first
		Priority int      // of the route, 0 is the highest
		Target   time.Duration
		Timeout  time.Duration
		Client   netip.Addr
	}

	// Verdict is the decision on a new flow.
	Verdict struct {
		Outcome Outcome
		Holding *Holding // endpoint of the flow, for Granted and Reused
		Ticket  uint64   // identifies the flow in a later Resolution, for Waiting
	}

	// Resolution is the decision on a flow that waited.
	Resolution struct {
		Ticket  uint64
		Verdict Verdict
		Waited  time.Duration
	}
)

// New returns an Account without credits.
func New(c Config) *Account {
	return &Account{
		config: c, services: map[string]*service{}, pools: map[poolKey]*pool{}, tickets: map[uint64]*ticket{},
		requests: map[uint64]*request{}, budget: newBucket(), random: rand.New(rand.NewPCG(c.Seed, c.Life)),
	}
}

// SetEntries sets the number of entries of the failure domain. The caller passes the largest count
// of the rosters, since each control instance knows only the entries linked to it.
func (a *Account) SetEntries(n int) { a.entries = n }

// Idle reports whether Tick has nothing to do until the next flow.
func (a *Account) Idle() bool { return a.loaded == 0 && len(a.tickets) == 0 }

// Admit decides on a new flow. usable reports whether new flows may be placed on an endpoint
// now. The caller calls Start when it has placed the flow.
func (a *Account) Admit(now time.Time, f Flow, usable func(*Holding) bool) Verdict {
	s := a.service(f.Service)
	s.noteDemand(now, f.Priority)
	a.updateMode(now, s)
	if a.linkFull(now, f.Priority) {
		return a.decided(now, s, f, Verdict{Outcome: LinkFull})
	}
	if !s.loaded {
		return Verdict{Outcome: OwnCounts}
	}
	top := s.isPreferred(now, f.Priority)
	if !top && a.random.Float64() >= s.lowerPriorityShare(now) {
		return a.decided(now, s, f, Verdict{Outcome: Yielded})
	}
	if h := a.idleCredit(f, top, usable); h != nil {
		return a.decided(now, s, f, Verdict{Outcome: Reused, Holding: h})
	}
	s.noteShortage(now)
	if !a.retries.isReturning(now, f.Client) {
		a.retries.earn()
	} else if s.priority(f.Priority).isContended(now) && !s.isStarved(now, f.Priority) && !a.retries.allow() {
		return a.decided(now, s, f, Verdict{Outcome: RetryRejected})
	}
	a.lastID++
	t := &ticket{id: a.lastID, flow: f, since: now, usable: usable}
	a.tickets[t.id] = t
	v := a.advance(now, t)
	if v.Outcome == Waiting {
		return v
	}
	delete(a.tickets, t.id)
	return a.decided(now, s, f, v)
}

// Cancel ends the wait of a flow without a decision. A credit that was requested for it becomes
// idle when it arrives. Unknown tickets are ignored.
func (a *Account) Cancel(ticket uint64) { delete(a.tickets, ticket) }

// decided counts a decision and remembers a rejected client.
func (a *Account) decided(now time.Time, s *service, f Flow, v Verdict) Verdict {
	a.counts.add(f, v.Outcome)
	if !v.Outcome.Rejects() {
		s.noteAdmitted(now, f.Priority)
	} else {
		s.rejectedAt = now
		s.rejected.add(now)
		if s.isTop(now, f.Priority) {
			s.yield(now)
		}
		a.retries.noteRejected(now, f.Client)
	}
	return v
}

// idleCredit returns a usable endpoint with an idle credit, in the preferred failure domain that
// has one; nil if there is none.
func (a *Account) idleCredit(f Flow, top bool, usable func(*Holding) bool) *Holding {
	for _, domain := range f.Domains {
		p := a.pools[poolKey{f.Service, domain}]
		if p == nil {
			continue
		}
		var best *Holding
		for _, h := range p.credited {
			if h.idle(top) > 0 && usable(h) && (best == nil || h.inProgress < best.inProgress) {
				best = h
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}
