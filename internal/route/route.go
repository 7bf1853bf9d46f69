// Package route holds the table that every entry routes by: services with
// their buckets, the endpoints on backend servers, and the live entries. A
// Table is immutable once published; a Builder makes the next one. It is the
// result of the replicated log and therefore the same on every entry that has
// applied the same index.
package route

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/dchest/siphash"

	"oxbowsaddle/internal/packet"
)

type (
	// ServiceKey names a service by what a packet shows of it.
	ServiceKey struct {
		Addr      netip.AddrPort
		Transport packet.Transport
	}

	// FlowID identifies a flow by a keyed 128-bit hash of the caller's side
	// of its tuple. The high half also chooses the bucket.
	FlowID struct {
		High, Low uint64
	}

	// Hasher makes flow ids; every entry of a fleet has the same key.
	Hasher struct {
		key0, key1 uint64
	}

	// Endpoint is one place on a backend server where a service runs.
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

	// EndpointConfig is what an Endpoint is made from.
	EndpointConfig struct {
		ID, Service uint32
		Name        string
		Addr        netip.AddrPort
		Health      netip.AddrPort // not valid where nothing answers
		Domain      string
		Slots       int // requests it runs at a time
		Connections int // flows it holds at most
		Leaving     bool
	}

	// Transition is the state of a bucket whose endpoint has changed: flows
	// that nobody has a record of are on Default, new flows go to Current
	// once MovedAt is active, and to Previous until then. From FlippedAt on
	// the holders have a record of every flow that is not on Current.
	Transition struct {
		Default, Previous, Current uint32
		MovedAt                    uint64
		FlippedAt                  uint64 // 0 before
	}

	// Service is a set of endpoints that do the same, with its placement and
	// the classes of traffic that reach it.
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

	// Class is one address of a service and how its traffic is treated.
	Class struct {
		Name       string
		Key        ServiceKey
		Work       bool // requests in CoAP instead of opaque flows
		Repeatable bool // a request may run more than once
		Priority   int  // 0 comes first
	}

	// Policy is what the template of the service's team decides.
	Policy struct {
		Team          string
		Idle          time.Duration // a flow without packets for so long has ended
		DrainDeadline time.Duration // a leaving backend server keeps flows this long
		Balance       float64       // 0: never move for balance, 1: at any imbalance
		RequestLife   time.Duration // the longest life of a request
		QueueLimit    int           // requests that wait at most
		LowestShare   float64       // share of the slots that lower classes get under pressure
		RetryShare    float64       // retries as a share of first attempts
	}

	classRef struct {
		service    uint32
		classIndex int
	}

	// Member is a live entry.
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
	addressesLen         = 32 // of two IPv6 addresses
	portsAndTransportLen = 5  // of two ports and the transport
)

// NewHasher returns a Hasher with the fleet's key.
func NewHasher(key [16]byte) Hasher {
	return Hasher{binary.LittleEndian.Uint64(key[:8]), binary.LittleEndian.Uint64(key[8:])}
}

// Flow returns the id of the flow that a caller's tuple belongs to; answers
// are given reversed.
func (h Hasher) Flow(t packet.Tuple) FlowID {
	var b [addressesLen + portsAndTransportLen]byte
	n := addressesLen
	if t.Src().Addr().Is4() {
		src, dst := t.Src().Addr().As4(), t.Dst().Addr().As4()
		copy(b[:], src[:])
		copy(b[len(src):], dst[:])
		n = len(src) + len(dst) // a different length is a different hash
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

// Request returns the id of the request that a caller's tuple and token name.
func (h Hasher) Request(t packet.Tuple, token []byte) FlowID {
	flow := h.Flow(t)
	high, low := siphash.Hash128(flow.High, flow.Low, token)
	return FlowID{high, low}
}

// NewEndpoint returns an endpoint.
func NewEndpoint(c EndpointConfig) *Endpoint {
	return &Endpoint{c.ID, c.Service, c.Name, c.Addr, c.Health, c.Domain, c.Slots, c.Connections, c.Leaving}
}

// ID returns the number that names the endpoint for ever.
func (e *Endpoint) ID() uint32 { return e.id }

// Service returns the id of the service that the endpoint belongs to.
func (e *Endpoint) Service() uint32 { return e.service }

// Name returns the operator's name of the endpoint.
func (e *Endpoint) Name() string { return e.name }

// Addr returns the address that takes Geneve for the endpoint.
func (e *Endpoint) Addr() netip.AddrPort { return e.addr }

// Health returns where the backend server tells how the endpoint is.
func (e *Endpoint) Health() netip.AddrPort { return e.health }

// Domain returns the failure domain of the backend server.
func (e *Endpoint) Domain() string { return e.domain }

// Slots returns how many requests the endpoint runs at a time.
func (e *Endpoint) Slots() int { return e.slots }

// Connections returns how many flows the endpoint holds at most.
func (e *Endpoint) Connections() int { return e.connections }

// Leaving reports whether the endpoint must get no new work.
func (e *Endpoint) Leaving() bool { return e.leaving }

// ID returns the number that names the service for ever.
func (s *Service) ID() uint32 { return s.id }

// Name returns the operator's name of the service.
func (s *Service) Name() string { return s.name }

// Classes returns the classes of traffic of the service; not to be changed.
func (s *Service) Classes() []Class { return s.classes }

// Endpoints returns the ids of the endpoints in order; not to be changed.
func (s *Service) Endpoints() []uint32 { return s.endpoints }

// CreatedAt returns the index at which the service came to be.
func (s *Service) CreatedAt() uint64 { return s.createdAt }

// Policy returns what the template of the service's team decides.
func (s *Service) Policy() Policy { return s.policy }

// BucketCount returns the number of buckets, a power of two.
func (s *Service) BucketCount() int { return len(s.buckets) }

// Bucket returns the bucket of a flow.
func (s *Service) Bucket(id FlowID) uint32 { return uint32(id.High) & uint32(len(s.buckets)-1) }

// Current returns the endpoint that a bucket is meant to be on; 0 is none.
func (s *Service) Current(bucket uint32) uint32 { return s.buckets[bucket] }

// Transition returns the transition that the bucket is in, if any.
func (s *Service) Transition(bucket uint32) (Transition, bool) {
	if len(s.transitions) == 0 {
		return Transition{}, false
	}
	t, ok := s.transitions[bucket]
	return t, ok
}

// Open returns the buckets in transition. The map must not be changed.
func (s *Service) Open() map[uint32]Transition { return s.transitions }

// ForNew returns the endpoint for a new flow when changes up to the active
// index are in use.
func (t Transition) ForNew(active uint64) uint32 {
	if t.MovedAt <= active {
		return t.Current
	}
	return t.Previous
}

// Flipped reports whether the holders know every flow that is not on Current.
func (t Transition) Flipped() bool { return t.FlippedAt > 0 }

// FlipActive reports whether every entry knows that, so that a new flow on
// Current needs neither the owner nor a record.
func (t Transition) FlipActive(active uint64) bool { return t.Flipped() && t.FlippedAt <= active }

// NewMember returns a live entry.
func NewMember(name, domain string, incarnation uint64, leaving bool, joinedAt uint64) Member {
	return Member{name, domain, incarnation, leaving, joinedAt, siphash.Hash(1, 2, []byte(name))}
}

// Name returns the name of the instance.
func (m Member) Name() string { return m.name }

// Domain returns its failure domain.
func (m Member) Domain() string { return m.domain }

// Incarnation returns the number of its present life.
func (m Member) Incarnation() uint64 { return m.incarnation }

// Leaving reports a planned stop.
func (m Member) Leaving() bool { return m.leaving }

// JoinedAt returns the index at which this life of the entry was listed.
func (m Member) JoinedAt() uint64 { return m.joinedAt }

// score orders the members for one bucket: rendezvous hashing.
func (m Member) score(service, bucket uint32) uint64 {
	return siphash.Hash(m.hashSeed, uint64(service)<<32|uint64(bucket), nil)
}

// Rank returns the owner and the second holder of a bucket among members
// that are not leaving; a name is empty where there are too few.
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

// WorkBucket is the bucket number by which the owner of a service's work is
// ranked; no placement bucket has it.
const WorkBucket = ^uint32(0)

// BucketsFor returns how many buckets a service with n endpoints has: at
// least 64 for each, so that one bucket is under 2% of an endpoint's share.
func BucketsFor(n int) int {
	count := 64
	for count < 64*n && count < 1<<18 {
		count *= 2
	}
	return count
}
