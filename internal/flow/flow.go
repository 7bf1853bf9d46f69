// Package flow decides to which endpoint the packets of a flow are forwarded. It
// does no I/O, takes the current time as an argument, and its Engine must not be
// used concurrently.
//
// A flow hashes to a bucket, and the table assigns the bucket to an endpoint. A
// bucket whose endpoint has changed is in transition: packets of flows that an
// entry doesn't know are relayed to the bucket's owner. The owner and the second
// holder, the two entries that rank highest for the bucket, keep a record of every
// flow that isn't on the bucket's default endpoint.
// The design is described in docs/design/flows.md.
package flow

import (
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// Actions on a packet.
const (
	Forward Action = iota // to the endpoint or, if the packet is an answer, to the client
	Relay                 // to another entry
	Drop
	Reset  // drop, and send a TCP reset to the client
	Waited // held back until peers have answered
)

// Reasons of a verdict.
const (
	ByCache    Reason = iota // the flow is cached
	ByRecord                 // this entry has a record of the flow
	BySettled                // the bucket isn't in transition
	ByDefault                // the flow has no record, so it is on the default endpoint
	ByNew                    // the flow is new and was placed by this entry
	ByAnswer                 // the answer itself shows that its endpoint has the flow
	ByPeer                   // a peer reported the endpoint of the flow
	_                        // by_island: no longer a reason; the name of its counter stays
	ToOwner                  // relayed to the owner of the bucket
	ToSecond                 // relayed to the second holder of the bucket
	ToLeased                 // relayed to an entry with a lease
	AskedPeers               // waits for the answers of peers
	UnknownService
	NoEndpoint
	NoLease
	NobodyKnows // no entry knows the flow
	WithheldCut // an entry that can't be asked may know the flow
	AskLimit
	AskTimeout
	RecordLimit
	HopLimit
	WrongEndpoint // the flow is on another endpoint than the one that answered
	UnknownSource // the answer came from an address that is no endpoint
	_             // not_held: as by_island
	CrossService  // the endpoint belongs to another service than the packet
	_             // endpoint_full: as by_island
	OwnerChanging // the former owner may not have applied the change of owner yet
	reasonCount
)

type (
	// Action says what to do with a packet.
	Action uint8

	// Reason says why an action was chosen.
	Reason uint8

	// Verdict is the decision on one packet.
	Verdict struct {
		action   Action
		reason   Reason
		endpoint *route.Endpoint
		service  *route.Service
		peer     string
		relay    packet.Relay
		bucket   uint32
		id       route.FlowID
	}

	// Config configures an Engine.
	Config struct {
		Self               string
		Domain             string
		Incarnation        uint64 // of this entry
		Hasher             route.Hasher
		MaxFlows           int           // maximum number of cached flows
		MaxRecords         int           // maximum number of records
		MaxWaiting         int           // maximum number of flows that wait for answers of peers
		AsksPerSecond      int           // maximum rate of questions to peers
		PushBytesPerSecond int           // maximum rate of pushes to holders, in bytes per second
		AskTimeout         time.Duration // how long packets wait for answers of peers
		PushRetryInterval  time.Duration // interval at which an unacknowledged push is repeated
		HalfOpenTimeout    time.Duration // after which a half-open flow expires
		SweepInterval      time.Duration // duration of one pass over the cached flows
		Modulo             bool          // hash modulo the live endpoints without state, as a baseline for comparison
	}

	// View is an immutable snapshot of the control state that an engine decides by.
	View struct {
		Table            *route.Table
		MembershipTables []*route.Table // recent tables at which the members changed, oldest first
		Active           uint64         // changes up to this index may be used
		LeaseUntil       time.Time      // when this entry's lease ends
		Isolated         bool           // this failure domain is partitioned and decides without leases
		Reachable        []string       // sorted names of the peers that sent a probe recently
		Leased           []string       // those of them with a lease
		ReachableDomains []string       // reachable failure domains
		StopBy           time.Time      // time limit of a planned stop, zero if none is in progress
	}
)

var (
	actionNames = [...]string{"forward", "relay", "drop", "reset", "waited"}
	reasonNames = [reasonCount]string{
		"by_cache", "by_record", "by_settled", "by_default", "by_new", "by_answer", "by_peer", "by_island",
		"to_owner", "to_second", "to_leased", "asked_peers",
		"unknown_service", "no_endpoint", "no_lease", "nobody_knows", "withheld_cut", "ask_limit", "ask_timeout",
		"record_limit", "hop_limit", "wrong_endpoint", "unknown_source", "not_held", "cross_service", "endpoint_full", "owner_changing",
	}
)

// String returns the name in logs.
func (a Action) String() string { return actionNames[a] }

// String returns the name in metrics, logs and the output of `why`.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns every reason.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Action returns what to do with the packet.
func (v Verdict) Action() Action { return v.action }

// Reason returns why the action was chosen.
func (v Verdict) Reason() Reason { return v.reason }

// Endpoint returns the endpoint the packet goes to or came from, or nil.
func (v Verdict) Endpoint() *route.Endpoint { return v.endpoint }

// Service returns the service of the packet, or nil.
func (v Verdict) Service() *route.Service { return v.service }

// Peer returns the entry to which the packet is relayed.
func (v Verdict) Peer() string { return v.peer }

// Relay returns the relay option for the packet.
func (v Verdict) Relay() packet.Relay { return v.relay }

// Bucket returns the bucket of the flow.
func (v Verdict) Bucket() uint32 { return v.bucket }

// ID returns the ID of the flow.
func (v Verdict) ID() route.FlowID { return v.id }

// StoredFlow holds the endpoints that an engine has stored for a flow; 0 if none.
type StoredFlow struct {
	ID               route.FlowID
	Cached, Recorded uint32
}

// StoredFlow returns what is stored for the flow with the given tuple from the
// client to the service.
func (e *Engine) StoredFlow(t packet.Tuple) StoredFlow {
	k := StoredFlow{ID: e.config.Hasher.Flow(t)}
	if s := e.flows.get(k.ID); s != nil {
		k.Cached = s.endpoint
	}
	if r, ok := e.records[k.ID]; ok {
		k.Recorded = r.endpoint
	}
	return k
}
