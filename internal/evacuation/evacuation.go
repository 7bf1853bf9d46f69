// Package evacuation tracks which failure domains are evacuated: their endpoints
// receive no further traffic until an operator ends the evacuation. A Set is immutable,
// and the set with the higher revision is in force.
package evacuation

import (
	"slices"

	"oxbowsaddle/internal/wire"
)

type (
	// Order is an operator's order to evacuate one failure domain or to end its evacuation.
	Order struct {
		Domain string
		Undo   bool // whether the evacuation ends
	}

	// Set is the evacuated failure domains as of a revision. The nil Set has revision 0
	// and evacuates none.
	Set struct {
		revision uint64
		domains  []string // sorted, without duplicates
	}
)

// Revision returns the log index of the last applied order; the set with the
// higher one is newer.
func (s *Set) Revision() uint64 {
	if s == nil {
		return 0
	}
	return s.revision
}

// Domains returns the evacuated failure domains, sorted, which the caller must not
// modify.
func (s *Set) Domains() []string {
	if s == nil {
		return nil
	}
	return s.domains
}

// Has reports whether a failure domain is evacuated.
func (s *Set) Has(domain string) bool { return slices.Contains(s.Domains(), domain) }

// Reflects reports whether an order would change nothing.
func (s *Set) Reflects(o Order) bool { return s.Has(o.Domain) != o.Undo }

// With returns the set after applying an order at a revision. Orders up to the
// set's own revision are already applied and return it unchanged.
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

// Message returns the wire and storage form of the set.
func (s *Set) Message() *wire.Evacuations {
	return &wire.Evacuations{Revision: s.Revision(), Domains: s.Domains()}
}

// FromMessage returns the set in a message; a nil message gives revision 0.
func FromMessage(m *wire.Evacuations) *Set {
	domains := slices.Clone(m.GetDomains())
	slices.Sort(domains)
	return &Set{revision: m.GetRevision(), domains: slices.Compact(domains)}
}

// Message returns the wire and storage form of the order.
func (o Order) Message() *wire.EvacuationOrder {
	return &wire.EvacuationOrder{Domain: o.Domain, Undo: o.Undo}
}

// OrderFromMessage returns the order in a message.
func OrderFromMessage(m *wire.EvacuationOrder) Order {
	return Order{Domain: m.Domain, Undo: m.Undo}
}

// String describes the order for log lines.
func (o Order) String() string {
	if o.Undo {
		return "end evacuation of " + o.Domain
	}
	return "evacuate " + o.Domain
}
