// Package evacuation holds which failure domains are evacuated: nothing further
// is sent to their endpoints, until the operator takes that back. A Set is
// immutable, and of two the one with the higher revision is in force.
package evacuation

import (
	"slices"

	"oxbowsaddle/internal/wire"
)

type (
	// Order is an operator's order about one failure domain.
	Order struct {
		Domain string
		Undo   bool // the failure domain may be sent to again
	}

	// Set is the failure domains that are evacuated as of a revision. The nil Set
	// is that of revision 0, which evacuates none.
	Set struct {
		revision uint64
		domains  []string // sorted, each once
	}
)

// Revision returns the number that says which of two sets is newer: the index in
// the log of the last order.
func (s *Set) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Domains returns the evacuated failure domains, sorted; the caller must not
// change them.
func (s *Set) Domains() []string {
	if s == nil {
		return nil
	}
	return s.domains
}

// Has reports whether a failure domain is evacuated.
func (s *Set) Has(domain string) bool { return slices.Contains(s.Domains(), domain) }

// Holds reports whether an order would change nothing.
func (s *Set) Holds(o Order) bool { return s.Has(o.Domain) != o.Undo }

// With returns the set after an order at a revision; one that is not later than
// the set's own changes nothing, since the set holds it already.
func (s *Set) With(revision uint64, o Order) *Set {
	if revision <= s.Revision() {
		return s
	}
	domains := slices.DeleteFunc(slices.Clone(s.Domains()), func(domain string) bool { return domain == o.Domain })
	if !o.Undo {
		domains = append(domains, o.Domain)
		slices.Sort(domains)
	}
	return &Set{revision: revision, domains: domains}
}

// Message returns the set as it travels and is stored.
func (s *Set) Message() *wire.Evacuations {
	return &wire.Evacuations{Revision: s.Revision(), Domains: s.Domains()}
}

// FromMessage returns the set of a message; nil is that of revision 0.
func FromMessage(m *wire.Evacuations) *Set {
	domains := slices.Clone(m.GetDomains())
	slices.Sort(domains)
	return &Set{revision: m.GetRevision(), domains: slices.Compact(domains)}
}

// Message returns the order as it travels and is stored.
func (o Order) Message() *wire.EvacuationOrder {
	return &wire.EvacuationOrder{Domain: o.Domain, Undo: o.Undo}
}

// OrderFromMessage returns the order of a message.
func OrderFromMessage(m *wire.EvacuationOrder) Order {
	return Order{Domain: m.Domain, Undo: m.Undo}
}

// String names the order for a log line.
func (o Order) String() string {
	if o.Undo {
		return "end evacuation of " + o.Domain
	}
	return "evacuate " + o.Domain
}
