package control

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// Snapshot returns the encoded state; equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	w := &wire.State{
		Index: s.index, Revision: s.revision, Checksum: s.checksum,
		NextEndpoint: s.nextEndpointID, NextService: s.nextServiceID,
		History: s.history, LossIndex: s.table.LossIndex(), Cut: s.table.Partitioned(), Returned: s.table.Returned(), Bereft: s.table.ReturnedWithLoss(),
	}
	for _, key := range sortedObjects(s.objects) {
		w.Objects = append(w.Objects, s.objects[key])
	}
	for _, id := range s.outcomeOrder {
		w.Outcomes = append(w.Outcomes, s.outcomes[id])
	}
	for _, m := range s.table.Members() {
		w.Members = append(w.Members, &wire.Member{Name: m.Name(), Domain: m.Domain(), Incarnation: m.Incarnation(), Leaving: m.Leaving(), JoinedAt: m.JoinedAt()})
	}
	s.table.Services(func(svc *route.Service) {
		w.Services = append(w.Services, encodeService(svc))
		for _, e := range s.table.EndpointsOf(svc.ID()) {
			w.Endpoints = append(w.Endpoints, s.encodeEndpoint(e))
		}
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("snapshot at index %d: %w", s.index, err)
	}
	return data, nil
}

func sortedObjects(objects map[objectKey]*wire.StoredObject) []objectKey {
	return slices.SortedFunc(maps.Keys(objects), func(a, b objectKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
}

func encodeService(s *route.Service) *wire.StoredService {
	w := &wire.StoredService{Id: s.ID(), Name: s.Name(), Buckets: make([]uint32, s.BucketCount()), CreatedAt: s.CreatedAt()}
	for b := range w.Buckets {
		w.Buckets[b] = s.Current(uint32(b))
	}
	for _, b := range slices.Sorted(maps.Keys(s.Transitions())) {
		t := s.Transitions()[b]
		w.Open = append(w.Open, &wire.StoredTransition{
			Bucket: b, Default: t.Default, Previous: t.Previous, Current: t.Current, MovedAt: t.MovedAt, FlippedAt: t.FlippedAt,
		})
	}
	return w
}

func (s *State) encodeEndpoint(e *route.Endpoint) *wire.StoredEndpoint {
	w := &wire.StoredEndpoint{
		Id: e.ID(), Service: e.Service(), Name: e.Name(), Address: e.Addr().String(), Domain: e.Domain(),
		Slots: uint32(e.Slots()), Connections: uint32(e.Connections()), Leaving: e.Leaving(),
	}
	if e.Health().IsValid() {
		w.Health = e.Health().String()
	}
	if l, ok := s.leavingEndpoints[e.ID()]; ok {
		w.LeavingSince, w.Removed = l.since.UnixNano(), l.removed
	}
	return w
}

// Restore decodes a state encoded by Snapshot.
func Restore(data []byte) (*State, error) {
	w := &wire.State{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, fault.Wrap(fault.DamagedLog, fmt.Errorf("read snapshot: %w", err))
	}
	s := NewState()
	s.index, s.revision, s.checksum = w.Index, w.Revision, w.Checksum
	s.nextEndpointID, s.nextServiceID = w.NextEndpoint, w.NextService
	s.history = w.History
	for _, o := range w.Objects {
		s.objects[objectKey{o.Object.Kind, o.Object.Name}] = o
		if err := s.document.Put(o.Object.Kind, o.Object.Name, o.Object.Body); err != nil {
			return nil, fault.Wrap(fault.DamagedLog, fmt.Errorf("snapshot object %s %s: %w", o.Object.Kind, o.Object.Name, err))
		}
	}
	for _, o := range w.Outcomes {
		s.recordOutcome(o)
	}
	return s, s.restoreTable(w)
}

func (s *State) restoreTable(w *wire.State) error {
	b := route.NewBuilder(s.table, w.Index)
	for _, svc := range w.Services {
		s.services[svc.Name] = svc.Id
		b.PutService(svc.Id, svc.Name, s.document.Classes(svc.Name), s.document.Policy(svc.Name), len(svc.Buckets))
		open := make(map[uint32]route.Transition, len(svc.Open))
		for _, t := range svc.Open {
			open[t.Bucket] = route.Transition{Default: t.Default, Previous: t.Previous, Current: t.Current, MovedAt: t.MovedAt, FlippedAt: t.FlippedAt}
		}
		b.Restore(svc.Id, svc.Buckets, open, svc.CreatedAt)
	}
	for _, e := range w.Endpoints {
		if err := s.restoreEndpoint(b, e); err != nil {
			return err
		}
	}
	for _, m := range w.Members {
		b.PutMember(route.NewMember(m.Name, m.Domain, m.Incarnation, m.Leaving, m.JoinedAt))
	}
	for _, d := range w.Cut {
		b.MarkPartitioned(d)
	}
	for _, d := range w.Returned {
		b.MarkReturned(d)
	}
	for _, d := range w.Bereft {
		b.MarkReturnedWithLoss(d)
	}
	b.RestoreLossIndex(w.LossIndex)
	s.table = b.Table()
	return nil
}

func (s *State) restoreEndpoint(b *route.Builder, e *wire.StoredEndpoint) error {
	addr, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		return fault.Wrap(fault.DamagedLog, fmt.Errorf("snapshot endpoint %s: %w", e.Name, err))
	}
	var health netip.AddrPort
	if e.Health != "" {
		if health, err = netip.ParseAddrPort(e.Health); err != nil {
			return fault.Wrap(fault.DamagedLog, fmt.Errorf("snapshot endpoint %s: %w", e.Name, err))
		}
	}
	b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{
		ID: e.Id, Service: e.Service, Name: e.Name, Addr: addr, Health: health, Domain: e.Domain,
		Slots: int(e.Slots), Connections: int(e.Connections), Leaving: e.Leaving,
	}))
	if e.LeavingSince != 0 {
		s.leavingEndpoints[e.Id] = leavingEndpoint{since: time.Unix(0, e.LeavingSince), removed: e.Removed}
	}
	return nil
}

// Objects returns the stored objects with their authors, sorted by kind and
// name.
func (s *State) Objects() []*wire.StoredObject {
	var all []*wire.StoredObject
	for _, key := range sortedObjects(s.objects) {
		all = append(all, s.objects[key])
	}
	return all
}
