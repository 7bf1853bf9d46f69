package route

import "net/netip"

// Table is an immutable routing table.
type Table struct {
	index       uint64
	services    []*Service // by ID - 1; nil if removed
	byKey       map[ServiceKey]classRef
	endpoints   map[uint32]*Endpoint
	byAddr      map[netip.AddrPort]uint32
	members     []Member
	partitioned []string // unreachable domains, whose entries may have placed flows
	returned    []string // domains that are reachable again
	withLoss    []string // domains that are reachable again without the records of failed entries
	lossIndex   uint64   // of the last command that removed a failed entry or replaced an incarnation
}

// Empty returns a table without services.
func Empty() *Table {
	return &Table{
		byKey:     map[ServiceKey]classRef{},
		endpoints: map[uint32]*Endpoint{},
		byAddr:    map[netip.AddrPort]uint32{},
	}
}

// Index returns the log index of the last command applied to the table.
func (t *Table) Index() uint64 { return t.index }

// Lookup returns the service and the class for a key, or nil.
func (t *Table) Lookup(key ServiceKey) (*Service, *Class) {
	ref, ok := t.byKey[key]
	if !ok {
		return nil, nil
	}
	s := t.services[ref.service-1]
	return s, &s.classes[ref.classIndex]
}

// Service returns a service by ID, or nil.
func (t *Table) Service(id uint32) *Service {
	if id == 0 || int(id) > len(t.services) {
		return nil
	}
	return t.services[id-1]
}

// Services calls f for each service in the order of IDs.
func (t *Table) Services(f func(*Service)) {
	for _, s := range t.services {
		if s != nil {
			f(s)
		}
	}
}

// Endpoint returns an endpoint by ID, or nil.
func (t *Table) Endpoint(id uint32) *Endpoint { return t.endpoints[id] }

// EndpointAt returns the endpoint with an address, or nil.
func (t *Table) EndpointAt(addr netip.AddrPort) *Endpoint { return t.endpoints[t.byAddr[addr]] }

// EndpointsOf returns the endpoints of a service in the order of IDs.
func (t *Table) EndpointsOf(service uint32) []*Endpoint {
	s := t.Service(service)
	if s == nil {
		return nil
	}
	found := make([]*Endpoint, len(s.endpoints))
	for i, id := range s.endpoints {
		found[i] = t.endpoints[id]
	}
	return found
}

// EndpointCount returns the number of endpoints.
func (t *Table) EndpointCount() int { return len(t.endpoints) }

// Members returns the live entries sorted by name. The slice must not be changed.
func (t *Table) Members() []Member { return t.members }

// Member returns a live entry by name.
func (t *Table) Member(name string) (Member, bool) {
	for _, m := range t.members {
		if m.name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Partitioned returns the domains that are marked as partitioned.
func (t *Table) Partitioned() []string { return t.partitioned }

// Returned returns the domains that are reachable again but whose flows may not all be
// known yet.
func (t *Table) Returned() []string { return t.returned }

// ReturnedWithLoss returns the domains that are reachable again without the records of the
// entries that failed while the domain was partitioned.
func (t *Table) ReturnedWithLoss() []string { return t.withLoss }

// LossIndex returns the index at which an entry last failed or was replaced by a new
// incarnation.
func (t *Table) LossIndex() uint64 { return t.lossIndex }

// Uncertain reports whether flows may exist on other endpoints than the table says.
// Owners then ask their peers before they use the default endpoint of a bucket.
func (t *Table) Uncertain() bool { return len(t.partitioned)+len(t.returned)+len(t.withLoss) > 0 }
