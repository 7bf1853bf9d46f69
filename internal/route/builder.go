package route

import (
	"maps"
	"slices"
	"strings"
)

// Builder makes the next table from the last one. Only what is touched is
// copied; the old table stays as it was.
type Builder struct {
	next           *Table
	copied         map[uint32]bool
	mapsCopied     bool
	servicesCopied bool
}

// NewBuilder starts from a table.
func NewBuilder(from *Table, index uint64) *Builder {
	next := *from
	next.index = index
	return &Builder{next: &next, copied: map[uint32]bool{}}
}

// Table returns the new table; the builder must not be used afterwards.
func (b *Builder) Table() *Table { return b.next }

// NextServiceID returns the id that a new service gets.
func (b *Builder) NextServiceID() uint32 { return uint32(len(b.next.services)) + 1 }

// PutService adds a service or changes its classes and policy; buckets stay.
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

// RemoveService drops a service and its endpoints.
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

// PutEndpoint adds or replaces an endpoint of a known service.
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

// RemoveEndpoint drops an endpoint that no bucket is on.
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

// Move gives a bucket a new endpoint. The first endpoint of an empty bucket
// needs no transition, since no flow can be on it yet.
func (b *Builder) Move(service, bucket, endpoint uint32) bool {
	b.copyServices()
	s := b.mutableService(service)
	if s == nil || int(bucket) >= len(s.buckets) {
		return false
	}
	e := b.next.endpoints[endpoint]
	if e == nil || e.service != service {
		return false // never across services
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

// Flip makes the current endpoint of a bucket in transition its default.
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

// Reopen puts a settled bucket in transition without moving it.
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

// PutMember adds or replaces a live entry.
func (b *Builder) PutMember(m Member) {
	if old, listed := b.next.Member(m.name); listed && old.incarnation != m.incarnation {
		b.next.lossIndex = b.next.index
	}
	members := slices.DeleteFunc(slices.Clone(b.next.members), func(o Member) bool { return o.name == m.name })
	members = append(members, m)
	slices.SortFunc(members, func(x, y Member) int { return strings.Compare(x.name, y.name) })
	b.next.members = members
}

// LoseMember drops an entry that is gone without a word.
func (b *Builder) LoseMember(name string) {
	if _, listed := b.next.Member(name); listed {
		b.next.lossIndex = b.next.index
	}
	b.RemoveMember(name)
}

// RemoveMember drops an entry that has handed everything over.
func (b *Builder) RemoveMember(name string) {
	b.next.members = slices.DeleteFunc(slices.Clone(b.next.members), func(o Member) bool { return o.name == name })
}

// MarkCut notes that a domain was lost whole.
func (b *Builder) MarkCut(domain string) {
	b.MarkCleared(domain)
	b.next.partitioned = withString(b.next.partitioned, domain)
}

// MarkReturned notes that a cut domain can be asked again.
func (b *Builder) MarkReturned(domain string) {
	b.MarkCleared(domain)
	b.next.returned = withString(b.next.returned, domain)
}

// MarkBereft notes that all can be asked who will ever come back.
func (b *Builder) MarkBereft(domain string) {
	b.MarkCleared(domain)
	b.next.returnedWithLoss = withString(b.next.returnedWithLoss, domain)
}

// MarkCleared notes that nothing of a domain is in doubt any more.
func (b *Builder) MarkCleared(domain string) {
	b.next.partitioned = withoutString(b.next.partitioned, domain)
	b.next.returned = withoutString(b.next.returned, domain)
	b.next.returnedWithLoss = withoutString(b.next.returnedWithLoss, domain)
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

// mutableService returns a mutableService that this builder may change.
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

// Restore sets the whole placement of a service, as a snapshot holds it.
func (b *Builder) Restore(service uint32, buckets []uint32, transitions map[uint32]Transition, createdAt uint64) {
	b.copyServices()
	if s := b.mutableService(service); s != nil {
		s.buckets, s.transitions, s.createdAt = buckets, transitions, createdAt
	}
}

// RestoreLoss sets the index of the last loss of an entry.
func (b *Builder) RestoreLoss(index uint64) { b.next.lossIndex = index }
