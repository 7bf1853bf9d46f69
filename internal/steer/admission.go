package steer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/credit"
	"oxbowsaddle/internal/wire"
)

// congestedLinkShare is the used share of the link from which probes are inconclusive. Packets wait
// for hundreds of milliseconds before a link is full on average.
const congestedLinkShare = 0.8

// maxCharge is how long a flow counts as a request in progress without a response. Endpoints answer
// or reject within it; without the bound, flows of clients that vanished on a congested link filled
// the service until their idle timeout, long after the load had gone.
const maxCharge = time.Second

type (
	// Resolved is the decision on a SYN that was held. Raw is the datagram that KeepHeld stored.
	Resolved struct {
		Packet   Packet
		Raw      []byte
		Decision Decision
		Waited   time.Duration
	}

	// heldSYN is a SYN that waits for an allocator, with its datagram.
	heldSYN struct {
		packet Packet
		raw    []byte
	}

	// admission connects a Steerer to the account of its credits. It is nil if admission control
	// is off.
	admission struct {
		account  *credit.Account
		held     map[uint64]*heldSYN          // by ticket
		tickets  map[flowKey]uint64           // by flow
		backends map[*credit.Holding]*backend // by holding
		domains  map[string][]string          // failure domains by service, sorted; built on demand
		charges  []charge                     // oldest first
	}

	// charge is a flow that is counted as a request in progress since a time.
	charge struct {
		flow  *flow
		since time.Time
	}
)

// enableAdmission turns admission control on.
func (s *Steerer) enableAdmission(c credit.Config) {
	c.Slots = s.localSlots
	s.admission = &admission{
		account: credit.New(c), held: map[uint64]*heldSYN{}, tickets: map[flowKey]uint64{},
		backends: map[*credit.Holding]*backend{}, domains: map[string][]string{},
	}
}

// localSlots returns the slots of a service in the own failure domain. If it has none there, the
// mean of the other failure domains stands for them.
func (s *Steerer) localSlots(service string) int {
	p := s.pools[service]
	switch {
	case p == nil:
		return 0
	case len(p[localTier]) > 0:
		return slotsOf(p[localTier])
	}
	return slotsOf(p[remoteTier]) / max(1, len(s.domainsOf(service)))
}

// slotsOf returns the slots of some endpoints.
func slotsOf(list []*backend) (slots int) {
	for _, b := range list {
		slots += max(1, b.Slots)
	}
	return slots
}

// attach gives an endpoint that joined a pool its holding.
func (s *Steerer) attach(b *backend) {
	if s.admission == nil {
		return
	}
	b.holding = s.admission.account.Attach(b.Service, b.Domain, b.Number)
	s.admission.backends[b.holding] = b
	delete(s.admission.domains, b.Service)
}

// detach voids the credits at an endpoint that left its pool.
func (s *Steerer) detach(b *backend) {
	if s.admission == nil || b.holding == nil {
		return
	}
	s.admission.account.Detach(b.holding)
	delete(s.admission.backends, b.holding)
	delete(s.admission.domains, b.position.service)
	b.holding = nil
}

// domainsOf returns the failure domains with endpoints of a service that are not evacuated, the
// own one first.
func (s *Steerer) domainsOf(service string) []string {
	if domains, ok := s.admission.domains[service]; ok {
		return domains
	}
	var domains []string
	p := s.pools[service]
	for _, b := range p[remoteTier] {
		if !slices.Contains(domains, b.Domain) {
			domains = append(domains, b.Domain)
		}
	}
	slices.Sort(domains)
	if len(p[localTier]) > 0 {
		domains = slices.Insert(domains, 0, s.config.Domain)
	}
	s.admission.domains[service] = domains
	return domains
}

// admit decides whether a new flow is placed now, held or rejected. It reports false if the flow
// is to be placed by the entry's own counts.
func (s *Steerer) admit(now time.Time, r *route, p Packet) (Decision, bool) {
	service := r.service(p.hash())
	if s.pools[service] == nil {
		return Decision{}, false
	}
	f := s.creditFlow(r, service, p)
	if len(f.Domains) == 0 {
		return Decision{}, false // for example while all of them are evacuated
	}
	usable := func(h *credit.Holding) bool {
		b := s.admission.backends[h]
		return b != nil && !s.isAvoided(now, b) && !s.excludedWhileCold(now, b)
	}
	v := s.admission.account.Admit(now, f, usable)
	if v.Outcome == credit.Waiting {
		s.admission.held[v.Ticket], s.admission.tickets[flowKey{p.Src, p.Dst}] = &heldSYN{packet: p}, v.Ticket
		return Decision{Action: Hold, Reason: AwaitingCredit}, true
	}
	return s.applyVerdict(now, f, p, v)
}

// creditFlow describes a new flow to the account.
func (s *Steerer) creditFlow(r *route, service string, p Packet) credit.Flow {
	return credit.Flow{
		Route: r.Name, Service: service, Domains: s.domainsOf(service),
		Priority: r.Priority, Target: r.TargetLatency, Timeout: r.Timeout, Client: p.Src.Addr(),
	}
}

// applyVerdict turns a verdict into a decision. It reports false if the flow is to be placed by
// the entry's own counts.
func (s *Steerer) applyVerdict(now time.Time, f credit.Flow, p Packet, v credit.Verdict) (Decision, bool) {
	if v.Outcome.Rejects() {
		detail := &AdmissionDetail{Outcome: v.Outcome, Knowledge: s.admission.account.Knowledge(now, f)}
		return Decision{Action: rejection(p), Reason: Overloaded, Admission: detail}, true
	}
	b := s.admission.backends[v.Holding]
	if b == nil {
		return Decision{}, false
	}
	s.noteProbeFlow(now, b)
	s.trackOpening(now, p, b)
	return b.forward(Placed), true
}

// rejection returns how a SYN is rejected. A retransmission without a record is dropped: the first
// SYN may have been admitted, here or by another entry, and a reset would end the open flow. On
// a congested link, retransmissions arrive seconds after the flow was opened.
func rejection(p Packet) Action {
	if p.Retransmission > 0 {
		return Drop
	}
	return Reset
}

// linkCongested reports whether the entry's own link is so busy that a missing answer says nothing
// about an endpoint. Such probes made open flows of live endpoints be reset.
func (s *Steerer) linkCongested(now time.Time) bool {
	return s.config.Admission != nil && s.config.Admission.Link != nil && s.config.Admission.Link(now) >= congestedLinkShare
}

// isHeld reports whether a SYN retransmits one that is held.
func (s *Steerer) isHeld(p Packet) bool {
	if s.admission == nil {
		return false
	}
	ticket, ok := s.admission.tickets[flowKey{p.Src, p.Dst}]
	return ok && s.admission.held[ticket].packet.Seq == p.Seq
}

// KeepHeld stores a copy of the datagram of a SYN that Decide has just held.
func (s *Steerer) KeepHeld(p Packet, raw []byte) {
	if ticket, ok := s.admission.tickets[flowKey{p.Src, p.Dst}]; ok {
		s.admission.held[ticket].raw = slices.Clone(raw)
	}
}

// cancelHeld drops the held SYN with the addresses of p, if there is one: a client that opens
// another flow from the same port has given up the first.
func (s *Steerer) cancelHeld(p Packet) {
	key := flowKey{p.Src, p.Dst}
	if ticket, ok := s.admission.tickets[key]; ok {
		s.admission.account.Cancel(ticket)
		delete(s.admission.held, ticket)
		delete(s.admission.tickets, key)
	}
}

// HandleCreditReply applies the reply of an allocator, and returns the decisions on SYNs that were
// held for it.
func (s *Steerer) HandleCreditReply(now time.Time, m *wire.CreditReply) []Resolved {
	if s.admission == nil {
		return nil
	}
	return s.resolve(now, s.admission.account.HandleReply(now, m))
}

// TickAdmission does the periodic work of admission control, and returns the decisions on SYNs
// that were held too long.
func (s *Steerer) TickAdmission(now time.Time) []Resolved {
	if s.admission == nil {
		return nil
	}
	s.expireCharges(now)
	return s.resolve(now, s.admission.account.Tick(now))
}

// Account returns the account of credits, nil if admission control is off. Callers only read it.
func (s *Steerer) Account() *credit.Account {
	if s.admission == nil {
		return nil
	}
	return s.admission.account
}

// AdmissionIdle reports whether TickAdmission has nothing to do until the next flow.
func (s *Steerer) AdmissionIdle() bool { return s.admission == nil || s.admission.account.Idle() }

// SetEntries sets the number of entries of the own failure domain.
func (s *Steerer) SetEntries(n int) {
	if s.admission != nil {
		s.admission.account.SetEntries(n)
	}
}

// resolve turns resolutions into decisions on the held SYNs.
func (s *Steerer) resolve(now time.Time, resolutions []credit.Resolution) (resolved []Resolved) {
	for _, r := range resolutions {
		held, ok := s.admission.held[r.Ticket]
		if !ok {
			continue
		}
		p := held.packet
		delete(s.admission.held, r.Ticket)
		delete(s.admission.tickets, flowKey{p.Src, p.Dst})
		resolved = append(resolved, Resolved{Packet: p, Raw: held.raw, Decision: s.decideHeld(now, p, r.Verdict), Waited: r.Waited})
	}
	return resolved
}

// decideHeld returns the decision on a SYN that was held.
func (s *Steerer) decideHeld(now time.Time, p Packet, v credit.Verdict) Decision {
	route := s.routes[p.Dst]
	if route == nil {
		return Decision{Action: Reset, Reason: NoRoute, Version: s.Version()}
	}
	service := route.service(p.hash())
	d, decided := Decision{}, false
	if s.pools[service] != nil {
		d, decided = s.applyVerdict(now, s.creditFlow(route, service, p), p, v)
	}
	if !decided {
		d = s.placeFlow(now, route, p)
	}
	d.Version = s.Version()
	return d
}

// charge counts a flow as a request in progress at its endpoint.
func (s *Steerer) charge(now time.Time, f *flow) {
	if s.admission == nil || f.charged != nil || f.backend.holding == nil {
		return
	}
	f.charged, f.chargedAt = f.backend.holding, now
	s.admission.account.Start(now, f.charged)
	s.admission.charges = append(s.admission.charges, charge{f, now})
}

// expireCharges ends the requests that have been counted for maxCharge.
func (s *Steerer) expireCharges(now time.Time) {
	if s.admission == nil {
		return
	}
	expired := 0
	for _, c := range s.admission.charges {
		if now.Sub(c.since) < maxCharge {
			break
		}
		expired++
		if c.flow.charged != nil && c.flow.chargedAt.Equal(c.since) {
			s.discharge(now, c.flow, 0)
		}
	}
	clear(s.admission.charges[:expired])
	s.admission.charges = s.admission.charges[expired:]
}

// discharge ends the request that a flow is counted as; took is its response time, 0 if there was
// no response.
func (s *Steerer) discharge(now time.Time, f *flow, took time.Duration) {
	if f.charged == nil {
		return
	}
	s.admission.account.End(now, f.charged, took)
	f.charged = nil
}
