package route

import "net/netip"

// Table is the immutable state that entries route by.
type Table struct {
	index            uint64
	services         []*Service // by id - 1; nil where removed
	byKey            map[ServiceKey]classRef
	endpoints        map[uint32]*Endpoint
	byAddr           map[netip.AddrPort]uint32
	members          []Member
	partitioned      []string // domains that may hold flows which the others cannot ask about
	returned         []string // domains that are back and can be asked
	returnedWithLoss []string // domains that are back without what their lost entries knew
	lossIndex        uint64   // of the last command that dropped or replaced an entry
}

// Empty returns a table without services.
func Empty() *Table {
	return &Table{
		byKey:     map[ServiceKey]classRef{},
		endpoints: map[uint32]*Endpoint{},
		byAddr:    map[netip.AddrPort]uint32{},
	}
}

// Index returns the index of the last command that made this table.
func (t *Table) Index() uint64 { return t.index }

// Lookup returns the service and the class that a packet is meant for, or nil.
func (t *Table) Lookup(key ServiceKey) (*Service, *Class) {
	ref, ok := t.byKey[key]
	if !ok {
		return nil, nil
	}
	s := t.services[ref.service-1]
	return s, &s.classes[ref.classIndex]
}

// Service returns a service by id, or nil.
func (t *Table) Service(id uint32) *Service {
	if id == 0 || int(id) > len(t.services) {
		return nil
	}
	return t.services[id-1]
}

// Services calls f for each service in the order of ids.
func (t *Table) Services(f func(*Service)) {
	for _, s := range t.services {
		if s != nil {
			f(s)
		}
	}
}

// Endpoint returns an endpoint by id, or nil.
func (t *Table) Endpoint(id uint32) *Endpoint { return t.endpoints[id] }

// EndpointAt returns the endpoint at an address, or nil.
func (t *Table) EndpointAt(addr netip.AddrPort) *Endpoint { return t.endpoints[t.byAddr[addr]] }

// EndpointsOf returns the endpoints of a service in the order of ids.
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

// EndpointCount returns how many endpoints the table knows.
func (t *Table) EndpointCount() int { return len(t.endpoints) }

// Members returns the live entries in the order of names; not to be changed.
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

// Cut returns the domains that were lost whole and not seen since.
func (t *Table) Cut() []string { return t.partitioned }

// Returned returns the domains that were cut off and can be asked again.
func (t *Table) Returned() []string { return t.returned }

// Bereft returns the domains that are back, but without what those of their
// entries knew that were lost meanwhile.
func (t *Table) Bereft() []string { return t.returnedWithLoss }

// LossIndex returns the index at which an entry was last dropped or replaced.
func (t *Table) LossIndex() uint64 { return t.lossIndex }

// Suspect reports whether flows may exist that the table does not place: the
// owner then asks its peers before it takes a bucket's endpoint for granted.
func (t *Table) Suspect() bool { return len(t.partitioned)+len(t.returned)+len(t.returnedWithLoss) > 0 }
