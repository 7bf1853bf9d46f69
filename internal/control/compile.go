package control

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/route"
)

// compile updates the affected services of the table from the document. It does
// not move buckets; the controller does this with separate commands.
func (s *State) compile(b *route.Builder, now time.Time, affected map[string]bool) {
	for _, name := range slices.Sorted(maps.Keys(affected)) {
		_, wanted := s.document.Service(name)
		_, known := s.services[name]
		switch {
		case wanted && s.needsUpdate(b, name):
			s.putService(b, now, name)
		case !wanted && known:
			s.removeService(b, name)
		}
	}
}

// needsUpdate reports whether a service or its team's policy may differ from
// the table. Unchanged services are not updated, since this copies their buckets.
func (s *State) needsUpdate(b *route.Builder, name string) bool {
	id, known := s.services[name]
	if !known {
		return true
	}
	have := b.Table().Service(id)
	if have.Policy() != s.document.Policy(name) || !slices.Equal(have.Classes(), s.document.Classes(name)) {
		return true
	}
	service, _ := s.document.Service(name)
	matched := 0
	for _, e := range service.Endpoints {
		have := b.Table().EndpointAt(e.Address)
		if have == nil || !sameEndpoint(have, e) {
			return true
		}
		matched++
	}
	return matched != s.countListed(have)
}

func sameEndpoint(have *route.Endpoint, want intent.Endpoint) bool {
	return have.Name() == want.Name && have.Health() == want.Health && have.Domain() == want.Domain && have.Slots() == want.Slots &&
		have.Connections() == want.Connections && have.Leaving() == want.Leaving
}

// countListed counts the endpoints that the document listed when the service
// was last compiled.
func (s *State) countListed(have *route.Service) int {
	n := 0
	for _, id := range have.Endpoints() {
		if !s.leavingEndpoints[id].removed {
			n++
		}
	}
	return n
}

func (s *State) putService(b *route.Builder, now time.Time, name string) {
	service, _ := s.document.Service(name)
	id, known := s.services[name]
	if !known {
		id = s.nextServiceID
		s.nextServiceID++
		s.services[name] = id
	}
	b.PutService(id, name, s.document.Classes(name), s.document.Policy(name), route.BucketsFor(len(service.Endpoints)))
	listed := map[uint32]bool{}
	for _, e := range service.Endpoints {
		listed[s.putEndpoint(b, now, id, e)] = true
	}
	for _, old := range b.Table().EndpointsOf(id) {
		if !listed[old.ID()] {
			s.markRemoved(b, now, old)
		}
	}
}

// putEndpoint adds or updates an endpoint. Endpoints are identified by address:
// a changed address makes a new endpoint with its own flows.
func (s *State) putEndpoint(b *route.Builder, now time.Time, service uint32, e intent.Endpoint) uint32 {
	var id uint32
	if have := b.Table().EndpointAt(e.Address); have != nil {
		id = have.ID()
	} else {
		id = s.nextEndpointID
		s.nextEndpointID++
	}
	b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{
		ID: id, Service: service, Name: e.Name, Addr: e.Address, Health: e.Health, Domain: e.Domain,
		Slots: e.Slots, Connections: e.Connections, Leaving: e.Leaving,
	}))
	if !e.Leaving {
		delete(s.leavingEndpoints, id)
	} else if l, already := s.leavingEndpoints[id]; already {
		s.leavingEndpoints[id] = leavingEndpoint{since: l.since}
	} else {
		s.leavingEndpoints[id] = leavingEndpoint{since: now}
	}
	return id
}

// addressConflicts returns a fault for each endpoint address of the affected
// services that the table still holds for another service.
func (s *State) addressConflicts(next intent.Document, affected map[string]bool) []string {
	var faults []string
	for _, name := range slices.Sorted(maps.Keys(affected)) {
		service, _ := next.Service(name)
		for _, e := range service.Endpoints {
			have := s.table.EndpointAt(e.Address)
			if have != nil && have.Service() != s.services[name] {
				faults = append(faults, fmt.Sprintf("service %s endpoint %q: address %s still holds flows of another service", name, e.Name, e.Address))
			}
		}
	}
	return faults
}

// markRemoved marks an endpoint that the document no longer lists. It stays in
// the table without new work until no bucket uses it.
func (s *State) markRemoved(b *route.Builder, now time.Time, e *route.Endpoint) {
	l, already := s.leavingEndpoints[e.ID()]
	if !already {
		l.since = now
	}
	l.removed = true
	s.leavingEndpoints[e.ID()] = l
	b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{
		ID: e.ID(), Service: e.Service(), Name: e.Name(), Addr: e.Addr(), Health: e.Health(), Domain: e.Domain(),
		Slots: e.Slots(), Connections: e.Connections(), Leaving: true,
	}))
}

func (s *State) removeService(b *route.Builder, name string) {
	id := s.services[name]
	for _, e := range b.Table().EndpointsOf(id) {
		delete(s.leavingEndpoints, e.ID())
	}
	b.RemoveService(id)
	delete(s.services, name)
}

// deleteRemovedEndpoints deletes endpoints that the document no longer lists
// and that no bucket uses.
func (s *State) deleteRemovedEndpoints(b *route.Builder) {
	for _, id := range slices.Sorted(maps.Keys(s.leavingEndpoints)) {
		if !s.leavingEndpoints[id].removed || InUse(b.Table(), id) {
			continue
		}
		b.RemoveEndpoint(id)
		delete(s.leavingEndpoints, id)
	}
}

// InUse reports whether a bucket is assigned to an endpoint or may still have
// flows on it.
func InUse(t *route.Table, endpoint uint32) bool {
	e := t.Endpoint(endpoint)
	if e == nil {
		return false
	}
	s := t.Service(e.Service())
	if s == nil {
		return false
	}
	for bucket := range uint32(s.BucketCount()) {
		if s.Current(bucket) == endpoint {
			return true
		}
	}
	for _, tr := range s.Transitions() {
		if tr.Default == endpoint || tr.Previous == endpoint {
			return true
		}
	}
	return false
}
