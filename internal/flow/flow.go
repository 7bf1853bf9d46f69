// Package flow decides to which endpoint a packet of a flow goes. It has no
// input or output, the present time is an argument, and one goroutine uses an
// Engine.
//
// Most packets need nothing but arithmetic: a flow hashes to a bucket and the
// table gives the bucket's endpoint. A bucket whose endpoint has changed is in
// transition: packets of a flow that this entry does not know are relayed to
// the bucket's owner, which keeps a record of every flow that is not on the
// bucket's default endpoint, together with a second holder. The design and
// the options weighed are in docs/design/flows.md.
package flow

import (
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// What is to be done with a packet.
const (
	Forward Action = iota // to the endpoint (or to the caller, for an answer)
	Relay                 // to another entry
	Drop
	Reset  // drop, and reset the caller's TCP flow
	Waited // kept until peers have answered
)

// Why a decision was made. The list is closed.
const (
	ByCache Reason = iota
	ByRecord
	BySettled
	ByDefault
	ByNew
	ByAnswer
	ByPeer
	ByIsland
	ToOwner
	ToSecond
	ToLeased
	AskedPeers
	UnknownService
	NoEndpoint
	NoLease
	NobodyKnows
	WithheldCut
	AskLimit
	AskTimeout
	RecordLimit
	HopLimit
	WrongEndpoint
	UnknownSource
	NotHeld
	CrossService
	EndpointFull
	OwnerChanging
	reasonCount
)

type (
	// Action says what is to be done with a packet.
	Action uint8

	// Reason says why.
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

	// Config is what an Engine is made from.
	Config struct {
		Self         string
		Domain       string
		Incarnation  uint64 // of this life of the entry
		Hasher       route.Hasher
		Flows        int           // flows cached at most
		Records      int           // records held at most
		Waiting      int           // packets that wait for answers of peers at most
		AsksASecond  int           // questions to peers a second at most
		PushBytes    int           // bytes of records sent to holders a second at most
		AskTimeout   time.Duration // how long a packet waits for answers of peers
		PushRetry    time.Duration // after which an unanswered push is sent again
		HalfOpenLife time.Duration // how long a flow without a second packet is cached
		SweepEvery   time.Duration // how long one pass over the cached flows takes
		Modulo       bool          // the baseline: hash modulo the live endpoints, without state
	}

	// View is what the control goroutine tells the engine; it is immutable.
	View struct {
		Table      *route.Table
		Steps      []*route.Table // the last tables at which the entries changed, in order
		Active     uint64         // changes up to this index are in use
		LeaseUntil time.Time      // until when this entry may decide
		Island     bool           // this domain is cut off and serves by itself
		Reachable  []string       // peers heard of lately, in order
		Leased     []string       // those of them that hold a lease
		Domains    []string       // failure domains that can be reached
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

// String returns the name as logs show it.
func (a Action) String() string { return actionNames[a] }

// String returns the name as metrics, logs and `why` show it.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns every reason, for metrics made at start.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Action returns what is to be done.
func (v Verdict) Action() Action { return v.action }

// Reason returns why.
func (v Verdict) Reason() Reason { return v.reason }

// Endpoint returns the endpoint the packet goes to or came from, or nil.
func (v Verdict) Endpoint() *route.Endpoint { return v.endpoint }

// Service returns the service of the packet, or nil.
func (v Verdict) Service() *route.Service { return v.service }

// Peer returns the entry that a relayed packet goes to.
func (v Verdict) Peer() string { return v.peer }

// Relay returns the option that a relayed packet carries.
func (v Verdict) Relay() packet.Relay { return v.relay }

// Bucket returns the bucket of the flow.
func (v Verdict) Bucket() uint32 { return v.bucket }

// ID returns the flow.
func (v Verdict) ID() route.FlowID { return v.id }

// Knowledge is what an engine knows of one flow; 0 is nothing.
type Knowledge struct {
	ID               route.FlowID
	Cached, Recorded uint32
}

// Known returns what is known of the flow that a caller's tuple names.
func (e *Engine) Known(t packet.Tuple) Knowledge {
	k := Knowledge{ID: e.config.Hasher.Flow(t)}
	if s := e.flows.get(k.ID); s != nil {
		k.Cached = s.endpoint
	}
	if r, ok := e.records[k.ID]; ok {
		k.Recorded = r.endpoint
	}
	return k
}
