package route

import (
	"maps"
	"slices"
	"strings"
)

// Builder derives a table from an existing one by copy on write. The existing
// table isn't changed.
type Builder struct {
	next           *Table
	copied         map[uint32]bool
	mapsCopied     bool
	servicesCopied bool
}

// NewBuilder returns a builder of the table at index that starts as a copy of from.
func NewBuilder(from *Table, index uint64) *Builder {
	next := *from
	next.index = index
	return &Builder{next: &next, copied: map[uint32]bool{}}
}

// Table returns the new table. The builder must not be used afterwards.
func (b *Builder) Table() *Table { return b.next }

// NextServiceID returns the ID for the next new service.
func (b *Builder) NextServiceID() uint32 { return uint32(len(b.next.services)) + 1 }

// PutService adds a service, or replaces its name, classes and policy but not its
// buckets.
func (b *Builder) PutService(id uint32, name string, classes []Class, policy Policy, buckets int) {
	b.copyMaps()
	b.copyServices()
	for int(id) > len(b.next.services) {
		b.next.services = append(b.next.services, nil)
	}
	s := b.mutableService(id)
	if s == nil {
		s = &Service{id: id, buckets: make([]uint32, buckets), transitions: map[uint32]Transition{}, createdAt: b.next.index}
		b.next.services[id-1] = s
		b.copied[id] = true
	}
	for _, c := range s.classes {
		delete(b.next.byKey, c.Key)
	}
	s.name, s.classes, s.policy = name, classes, policy
	for i, c := range classes {
		b.next.byKey[c.Key] = classRef{id, i}
	}
}

// RemoveService removes a service and its endpoints.
func (b *Builder) RemoveService(id uint32) {
	b.copyMaps()
	b.copyServices()
	s := b.mutableService(id)
	if s == nil {
		return
	}
	for _, e := range slices.Clone(s.endpoints) {
		b.RemoveEndpoint(e)
	}
	for _, c := range s.classes {
		delete(b.next.byKey, c.Key)
	}
	b.next.services[id-1] = nil
}

// PutEndpoint adds or replaces an endpoint of an existing service.
func (b *Builder) PutEndpoint(e *Endpoint) {
	b.copyMaps()
	b.copyServices()
	old := b.next.endpoints[e.id]
	if old != nil {
		delete(b.next.byAddr, old.addr)
	} else if s := b.mutableService(e.service); s != nil {
		s.endpoints = append(slices.Clone(s.endpoints), e.id)
		slices.Sort(s.endpoints)
	}
	b.next.endpoints[e.id] = e
	b.next.byAddr[e.addr] = e.id
}

// RemoveEndpoint removes an endpoint. No bucket may be assigned to it.
func (b *Builder) RemoveEndpoint(id uint32) {
	b.copyMaps()
	b.copyServices()
	old := b.next.endpoints[id]
	if old == nil {
		return
	}
	if b.next.byAddr[old.addr] == id {
		delete(b.next.byAddr, old.addr)
	}
	if s := b.mutableService(old.service); s != nil {
		s.endpoints = slices.DeleteFunc(slices.Clone(s.endpoints), func(o uint32) bool { return o == id })
	}
	delete(b.next.endpoints, id)
}

// Move assigns a bucket to another endpoint and reports whether that changed the
// table. A bucket without an endpoint has no flows and needs no transition.
func (b *Builder) Move(service, bucket, endpoint uint32) bool {
	b.copyServices()
	s := b.mutableService(service)
	if s == nil || int(bucket) >= len(s.buckets) {
		return false
	}
	e := b.next.endpoints[endpoint]
	if e == nil || e.service != service {
		return false // an endpoint of another service
	}
	old := s.buckets[bucket]
	if old == endpoint {
		return false
	}
	s.buckets[bucket] = endpoint
	if old == 0 {
		return true
	}
	t, inTransition := s.transitions[bucket]
	if !inTransition {
		t.Default = old
	}
	t.Previous, t.Current, t.MovedAt, t.FlippedAt = old, endpoint, b.next.index, 0
	s.transitions[bucket] = t
	return true
}

// Flip makes the current endpoint of a bucket in transition its default endpoint.
func (b *Builder) Flip(service, bucket uint32) {
	b.copyServices()
	s := b.mutableService(service)
	if s == nil {
		return
	}
	if t, inTransition := s.transitions[bucket]; inTransition {
		t.Default, t.FlippedAt = t.Current, b.next.index
		s.transitions[bucket] = t
	}
}

// Reopen starts a transition of a settled bucket without moving it.
func (b *Builder) Reopen(service, bucket uint32) {
	b.copyServices()
	s := b.mutableService(service)
	if s == nil || int(bucket) >= len(s.buckets) || s.buckets[bucket] == 0 {
		return
	}
	if _, inTransition := s.transitions[bucket]; !inTransition {
		e := s.buckets[bucket]
		s.transitions[bucket] = Transition{Default: e, Previous: e, Current: e, MovedAt: b.next.index, FlippedAt: b.next.index}
	}
}

// Settle ends the transition of a bucket.
func (b *Builder) Settle(service, bucket uint32) {
	b.copyServices()
	if s := b.mutableService(service); s != nil {
		delete(s.transitions, bucket)
	}
}

// PutMember adds or replaces a member.
func (b *Builder) PutMember(m Member) {
	if old, listed := b.next.Member(m.name); listed && old.incarnation != m.incarnation {
		b.next.lossIndex = b.next.index
	}
	members := slices.DeleteFunc(slices.Clone(b.next.members), func(o Member) bool { return o.name == m.name })
	members = append(members, m)
	slices.SortFunc(members, func(x, y Member) int { return strings.Compare(x.name, y.name) })
	b.next.members = members
}

// RemoveFailedMember removes an entry that failed, so that its records are lost.
func (b *Builder) RemoveFailedMember(name string) {
	if _, listed := b.next.Member(name); listed {
		b.next.lossIndex = b.next.index
	}
	b.RemoveMember(name)
}

// RemoveMember removes an entry that handed over its records.
func (b *Builder) RemoveMember(name string) {
	b.next.members = slices.DeleteFunc(slices.Clone(b.next.members), func(o Member) bool { return o.name == name })
}

// MarkPartitioned marks a domain as partitioned: none of its entries can be reached.
func (b *Builder) MarkPartitioned(domain string) {
	b.ClearMarks(domain)
	b.next.partitioned = withString(b.next.partitioned, domain)
}

// MarkReturned marks a partitioned domain as reachable again.
func (b *Builder) MarkReturned(domain string) {
	b.ClearMarks(domain)
	b.next.returned = withString(b.next.returned, domain)
}

// MarkReturnedWithLoss marks a domain as reachable again, without the records of the
// entries that failed while it was partitioned.
func (b *Builder) MarkReturnedWithLoss(domain string) {
	b.ClearMarks(domain)
	b.next.withLoss = withString(b.next.withLoss, domain)
}

// ClearMarks removes every mark of a domain.
func (b *Builder) ClearMarks(domain string) {
	b.next.partitioned = withoutString(b.next.partitioned, domain)
	b.next.returned = withoutString(b.next.returned, domain)
	b.next.withLoss = withoutString(b.next.withLoss, domain)
}

func withString(list []string, s string) []string {
	list = withoutString(list, s)
	list = append(list, s)
	slices.Sort(list)
	return list
}

func withoutString(list []string, s string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(o string) bool { return o == s })
}

// mutableService returns a copy of a service that this builder may change.
func (b *Builder) mutableService(id uint32) *Service {
	s := b.next.Service(id)
	if s == nil || b.copied[id] {
		return s
	}
	c := *s
	c.buckets = slices.Clone(s.buckets)
	c.transitions = maps.Clone(s.transitions)
	b.next.services[id-1] = &c
	b.copied[id] = true
	return &c
}

func (b *Builder) copyServices() {
	if !b.servicesCopied {
		b.next.services = slices.Clone(b.next.services)
		b.servicesCopied = true
	}
}

func (b *Builder) copyMaps() {
	if b.mapsCopied {
		return
	}
	b.next.byKey = maps.Clone(b.next.byKey)
	b.next.endpoints = maps.Clone(b.next.endpoints)
	b.next.byAddr = maps.Clone(b.next.byAddr)
	b.mapsCopied = true
}

// Restore replaces the placement of a service, from a snapshot.
func (b *Builder) Restore(service uint32, buckets []uint32, transitions map[uint32]Transition, createdAt uint64) {
	b.copyServices()
	if s := b.mutableService(service); s != nil {
		s.buckets, s.transitions, s.createdAt = buckets, transitions, createdAt
	}
}

// RestoreLossIndex sets the loss index, from a snapshot.
func (b *Builder) RestoreLossIndex(index uint64) { b.next.lossIndex = index }
