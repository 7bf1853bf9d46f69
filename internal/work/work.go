// Package work schedules the requests of a service onto the slots of its endpoints
// and delivers requests that must not be repeated at most once to a backend server.
// It does no I/O, takes the current time as an argument, and its Engine must not be
// used concurrently.
//
// The requests of a service have one owner among the entries. The owner keeps one
// queue for all endpoints of the service, grants their slots, and identifies every
// request by its key, a hash of the client, the service address and the CoAP token. A
// request that must not be repeated is neither dispatched nor answered before another
// entry, the second holder, stores its key.
// If the owner is lost, the second holder takes over and recognizes the requests
// that may have run. The design is described in docs/design/work.md.
package work

import (
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// States of a request.
const (
	Received   State = iota // the second holder hasn't confirmed the key yet
	Queued                  // waiting for a slot
	Dispatched              // sent to a backend server
	Answered                // answered by a backend server
	Refused                 // not run, and never will be
	Unknown                 // may have run
	Cancelled               // by the client
	Lost                    // known by key only, from a lost owner; an answer may still arrive
	stateCount
)

// Kinds of an Output.
const (
	ToClient OutputKind = iota
	ToBackend
	ToPeer       // a message to another entry
	RelayRequest // a client's packet, to the owner
	RelayAnswer  // a backend server's packet, to the owner
)

type (
	// State is the state of a request.
	State uint8

	// OutputKind is the kind of receiver of an Output.
	OutputKind uint8

	// Output is a packet or message to send.
	Output struct {
		Kind     OutputKind
		Endpoint *route.Endpoint // for ToBackend
		Peer     string          // for ToPeer, RelayRequest and RelayAnswer
		Message  *wire.Peer      // for ToPeer
		Inner    []byte          // the packet, unless Message is set
		Relay    packet.Relay    // for RelayRequest and RelayAnswer
		// ExpiresAt is the time after which the output must not be sent, because the
		// process may have been paused since the decision. Zero means no limit.
		ExpiresAt time.Time
	}

	// Event is one state transition of a request.
	Event struct {
		ID       route.FlowID
		Service  uint32
		Token    []byte
		Client   packet.Tuple
		State    State
		Cause    Cause
		Endpoint uint32
	}

	// Cause says why a request changed its state.
	Cause uint8

	// Config configures an Engine.
	Config struct {
		Self                string
		Domain              string
		Incarnation         uint64 // of this entry
		Hasher              route.Hasher
		MaxRequests         int           // per service; requestsFactor times as many are remembered
		MaxHeldKeys         int           // maximum number of keys stored for the owner of one service
		HoldRetryInterval   time.Duration // interval at which an unacknowledged message is repeated
		MinRetriesPerSecond float64       // retries per second that are always allowed
		// MaxPacketDelay bounds how long a packet can be delayed in an entry that was paused
		// but still holds its lease. Requests are remembered for this much longer.
		MaxPacketDelay time.Duration
	}

	// View is an immutable snapshot of the control state that an engine decides by.
	View struct {
		Table            *route.Table
		MembershipTables []*route.Table // recent tables at which the members changed, oldest first
		LeaseUntil       time.Time      // when this entry's lease ends
		Isolated         bool           // this failure domain is partitioned and decides without leases
		Reachable        []string       // sorted names of the peers that sent a probe recently
		ReachableDomains []string       // reachable failure domains
	}

	// Stats holds the engine's gauges and counters.
	Stats struct {
		States                                                                 [stateCount]uint64 // transitions by new state
		Requests, Queued, StoredKeys                                           int                // gauges; StoredKeys as second holder
		Duplicates, LateAnswers, Retries, Shed, Overflow                       uint64             // Overflow counts packets dropped at a limit
		NoLease                                                                uint64             // packets dropped without a lease
		Holds, HoldBytes, InvariantViolations, Takeovers, TakeoversWithoutKeys uint64
	}
)

// Causes of a state transition.
const (
	Arrived Cause = iota
	KeyHeld       // by the second holder
	SlotGranted
	BackendAnswered
	BackendRefused
	DeadlinePassed
	CannotMeetDeadline
	QueueFull
	TableFull // the second holder can't store more keys
	Displaced // by a request of higher priority
	NoEndpoint
	NoRetryLeft
	ClientCancelled
	OwnerLost       // a lost owner may have run the request
	BothHoldersLost // as OwnerLost, and the second holder's keys are lost too
	CutOff          // this failure domain is isolated
	BadMessage
	AnswerGone // the block-wise transfer is no longer known
	HandedOver
	LeaseLost
	causeCount
)

var (
	stateNames = [stateCount]string{"received", "queued", "dispatched", "answered", "refused", "unknown", "cancelled", "lost"}
	causeNames = [causeCount]string{
		"arrived", "key_held", "slot_granted", "backend_answered", "backend_refused", "deadline_passed",
		"cannot_meet_deadline", "queue_full", "table_full", "displaced", "no_endpoint", "no_retry_left",
		"caller_cancelled", "owner_lost", "both_holders_lost", "cut_off", "bad_message", "answer_gone", "handed_over", "lease_lost",
	}
)

// String returns the name in metrics, logs and the output of `why`.
func (s State) String() string { return stateNames[s] }

// States returns every state.
func States() []State {
	all := make([]State, stateCount)
	for i := range all {
		all[i] = State(i)
	}
	return all
}

// String returns the name in logs and the output of `why`.
func (c Cause) String() string { return causeNames[c] }

// final reports whether the state is final. A late answer can still turn Lost into
// Answered.
func (s State) final() bool { return s >= Answered }
