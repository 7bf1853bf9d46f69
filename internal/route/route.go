// Package route holds the routing table of the entries: services with their
// buckets, the endpoints on backend servers, and the live entries. A Table is
// immutable; a Builder makes the next one. Tables are derived from the replicated
// log, so entries that applied the same index have the same table.
package route

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"oxbowsaddle/internal/packet"
)

type (
	// ServiceKey identifies a service by destination address, port and transport.
	ServiceKey struct {
		Addr      netip.AddrPort
		Transport packet.Transport
	}

	// FlowID identifies a flow by a keyed 128-bit hash of the tuple from the
	// client to the service. The high half selects the bucket.
	FlowID struct {
		High, Low uint64
	}

	// Hasher computes flow IDs. All entries of a fleet use the same key.
	Hasher struct {
		key0, key1 uint64
	}

	// Endpoint is an address on a backend server where a service runs.
	Endpoint struct {
		id          uint32
		service     uint32
		name        string
		addr        netip.AddrPort
		health      netip.AddrPort
		domain      string
		slots       int
		connections int
		leaving     bool
	}

	// EndpointConfig holds the fields of a new Endpoint.
	EndpointConfig struct {
		ID, Service uint32
		Name        string
		Addr        netip.AddrPort
		Health      netip.AddrPort // invalid if the endpoint has no health check
		Domain      string
		Slots       int // concurrent requests
		Connections int // maximum number of flows
		Leaving     bool
	}

	// Transition is the state of a bucket whose endpoint has changed. Flows
	// without a record are on Default. New flows go to Previous until MovedAt is
	// active, then to Current. From FlippedAt on, the holders of the bucket have a
	// record of every flow that isn't on Current.
	Transition struct {
		Default, Previous, Current uint32
		MovedAt                    uint64
		FlippedAt                  uint64 // 0 if not flipped yet
	}

	// Service is a set of equivalent endpoints, with the assignment of its buckets
	// and the classes of traffic that it serves.
	Service struct {
		id          uint32
		name        string
		policy      Policy
		classes     []Class
		endpoints   []uint32
		buckets     []uint32
		transitions map[uint32]Transition
		createdAt   uint64
	}

	// Class is one address of a service and how its traffic is handled.
	Class struct {
		Name       string
		Key        ServiceKey
		Work       bool // carries CoAP requests rather than opaque flows
		Repeatable bool // requests are idempotent
		Priority   int  // 0 is the highest
	}

	// Policy holds the settings from the template of the service's team.
	Policy struct {
		Team          string
		Idle          time.Duration // after which a flow without packets has ended
		DrainDeadline time.Duration // how long a leaving endpoint keeps its flows
		Balance       float64       // 0: never rebalance, 1: rebalance at any imbalance
		RequestLife   time.Duration // maximum lifetime of a request
		QueueLimit    int           // maximum number of queued requests
		LowestShare   float64       // minimum share of the slots for lower priorities under load
		RetryShare    float64       // maximum ratio of retries to first attempts
	}

	classRef struct {
		service    uint32
		classIndex int
	}

	// Member is an entry in the list of live entries.
	Member struct {
		name        string
		domain      string
		incarnation uint64
		leaving     bool
		joinedAt    uint64
		hashSeed    uint64
	}
)

const (
	addressesLen         = 32 // two IPv6 addresses
	portsAndTransportLen = 5  // two ports and the transport
)

// NewHasher returns a Hasher with the fleet's key.
func NewHasher(key [16]byte) Hasher {
	return Hasher{binary.LittleEndian.Uint64(key[:8]), binary.LittleEndian.Uint64(key[8:])}
}

// Flow returns the ID of the flow with the given tuple from the client to the
// service. For answers, pass the reversed tuple.
func (h Hasher) Flow(t packet.Tuple) FlowID {
	var b [addressesLen + portsAndTransportLen]byte
	n := addressesLen
	if t.Src().Addr().Is4() {
		src, dst := t.Src().Addr().As4(), t.Dst().Addr().As4()
		copy(b[:], src[:])
		copy(b[len(src):], dst[:])
		n = len(src) + len(dst) // IPv4 input is shorter, so it can't collide with IPv6
	} else {
		src, dst := t.Src().Addr().As16(), t.Dst().Addr().As16()
		copy(b[:], src[:])
		copy(b[len(src):], dst[:])
	}
	binary.LittleEndian.PutUint16(b[n:], t.Src().Port())
	binary.LittleEndian.PutUint16(b[n+2:], t.Dst().Port())
	b[n+4] = byte(t.Transport())
	high, low := siphash.Hash128(h.key0, h.key1, b[:n+portsAndTransportLen])
	return FlowID{high, low}
}

// Request returns the ID of the request with the given CoAP token on a client's tuple.
func (h Hasher) Request(t packet.Tuple, token []byte) FlowID {
	flow := h.Flow(t)
	high, low := siphash.Hash128(flow.High, flow.Low, token)
	return FlowID{high, low}
}

// NewEndpoint returns the endpoint described by c.
func NewEndpoint(c EndpointConfig) *Endpoint {
	return &Endpoint{c.ID, c.Service, c.Name, c.Addr, c.Health, c.Domain, c.Slots, c.Connections, c.Leaving}
}

// ID returns the ID of the endpoint, which is never reused.
func (e *Endpoint) ID() uint32 { return e.id }

// Service returns the ID of the endpoint's service.
func (e *Endpoint) Service() uint32 { return e.service }

// Name returns the configured name of the endpoint.
func (e *Endpoint) Name() string { return e.name }

// Addr returns the address to which Geneve datagrams for the endpoint are sent.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Health returns the address of the endpoint's health check.
func (e *Endpoint) Health() netip.AddrPort { return e.health }

// Domain returns the failure domain of the backend server.
func (e *Endpoint) Domain() string { return e.domain }

// Slots returns how many requests the endpoint runs concurrently.
func (e *Endpoint) Slots() int { return e.slots }

// Connections returns the maximum number of flows of the endpoint.
func (e *Endpoint) Connections() int { return e.connections }

// Leaving reports whether the endpoint must get no new flows or requests.
func (e *Endpoint) Leaving() bool { return e.leaving }

// ID returns the ID of the service, which is never reused.
func (s *Service) ID() uint32 { return s.id }

// Name returns the configured name of the service.
func (s *Service) Name() string { return s.name }

// Classes returns the classes of traffic of the service. The slice must not be changed.
func (s *Service) Classes() []Class { return s.classes }

// Endpoints returns the sorted IDs of the endpoints. The slice must not be changed.
func (s *Service) Endpoints() []uint32 { return s.endpoints }

// CreatedAt returns the log index at which the service was created.
func (s *Service) CreatedAt() uint64 { return s.createdAt }

// Policy returns the settings from the template of the service's team.
func (s *Service) Policy() Policy { return s.policy }

// BucketCount returns the number of buckets, which is a power of two.
func (s *Service) BucketCount() int { return len(s.buckets) }

// Bucket returns the bucket of a flow.
func (s *Service) Bucket(id FlowID) uint32 { return uint32(id.High) & uint32(len(s.buckets)-1) }

// Current returns the endpoint to which a bucket is assigned, or 0 if none.
func (s *Service) Current(bucket uint32) uint32 { return s.buckets[bucket] }

// Transition returns the transition of a bucket, if it is in one.
func (s *Service) Transition(bucket uint32) (Transition, bool) {
	if len(s.transitions) == 0 {
		return Transition{}, false
	}
	t, ok := s.transitions[bucket]
	return t, ok
}

// Transitions returns the transitions by bucket. The map must not be changed.
func (s *Service) Transitions() map[uint32]Transition { return s.transitions }

// NewFlowEndpoint returns the endpoint for a new flow, given the active index.
func (t Transition) NewFlowEndpoint(active uint64) uint32 {
	if t.MovedAt <= active {
		return t.Current
	}
	return t.Previous
}

// Flipped reports whether the holders have a record of every flow that isn't on Current.
func (t Transition) Flipped() bool { return t.FlippedAt > 0 }

// FlipActive reports whether every entry has applied the flip, so that a new flow
// on Current needs neither the owner nor a record.
func (t Transition) FlipActive(active uint64) bool { return t.Flipped() && t.FlippedAt <= active }

// NewMember returns a member of the list of live entries.
func NewMember(name, domain string, incarnation uint64, leaving bool, joinedAt uint64) Member {
	return Member{name, domain, incarnation, leaving, joinedAt, siphash.Hash(1, 2, []byte(name))}
}

// Name returns the name of the entry's instance.
func (m Member) Name() string { return m.name }

// Domain returns the failure domain of the entry.
func (m Member) Domain() string { return m.domain }

// Incarnation returns the incarnation of the entry, which differs after each restart.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Leaving reports whether the entry is shutting down as planned.
func (m Member) Leaving() bool { return m.leaving }

// JoinedAt returns the log index at which this incarnation joined.
func (m Member) JoinedAt() uint64 { return m.joinedAt }

// score returns the rendezvous hash of the member for a bucket.
func (m Member) score(service, bucket uint32) uint64 {
	return siphash.Hash(m.hashSeed, uint64(service)<<32|uint64(bucket), nil)
}

// Rank returns the owner and the second holder of a bucket by rendezvous hashing.
// Leaving members are skipped; a name is empty if there are too few members.
func Rank(members []Member, service, bucket uint32) (owner, second string) {
	var ownerScore, secondScore uint64
	for i := range members {
		if members[i].leaving {
			continue
		}
		score := members[i].score(service, bucket)
		switch {
		case owner == "" || score > ownerScore:
			second, secondScore = owner, ownerScore
			owner, ownerScore = members[i].name, score
		case second == "" || score > secondScore:
			second, secondScore = members[i].name, score
		}
	}
	return owner, second
}

// WorkBucket is the bucket number to pass to Rank for the owner of a service's
// requests. It is never the number of a placement bucket.
const WorkBucket = ^uint32(0)

// BucketsFor returns the number of buckets of a service with n endpoints: the smallest
// power of two with at least 64 buckets for each, so that one bucket is a small part of
// an endpoint's share, but at most 2^18.
func BucketsFor(n int) int {
	count := 64
	for count < 64*n && count < 1<<18 {
		count *= 2
	}
	return count
}
