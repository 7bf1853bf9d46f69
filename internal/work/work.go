// Package work lands requests that may not be repeated at most once on a
// backend server. It has no input or output, the present time is an argument,
// and one goroutine uses an Engine.
//
// The work of a service has one owner among the entries. It keeps one queue
// for all endpoints of the service, grants their slots, and knows every
// request by caller and token. No word about a request that may not be
// repeated leaves the owner, and nothing is dispatched, before a second entry
// holds the request's key. The design is in docs/design/work.md.
package work

import (
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// The states of a request.
const (
	Received   State = iota // the second holder has not confirmed the key
	Queued                  // waits for a slot
	Dispatched              // sent to a backend server
	Answered                // the backend server's answer is known
	Refused                 // not run, and never will be
	Unknown                 // it may have run
	Cancelled               // by its caller
	Lost                    // an earlier owner held it; an answer may still come
	stateCount
)

// What an Out is for.
const (
	ToCaller OutKind = iota
	ToBackend
	ToPeer       // a message
	RelayRequest // the packet, to the owner
	RelayAnswer  // the packet, to the owner
)

type (
	// State is where a request stands.
	State uint8

	// OutKind says where an Out goes.
	OutKind uint8

	// Out is something to be sent.
	Out struct {
		Kind     OutKind
		Endpoint *route.Endpoint // ToBackend
		Peer     string          // ToPeer and the relays
		Message  *wire.Peer      // ToPeer
		Inner    []byte          // the packet
		Relay    packet.Relay    // of a relay
		// Until is when what is sent stops being true: a process that was
		// paused between the decision and the send must not send it.
		Until time.Time
	}

	// Event is one step of a request, with its cause, for explanations.
	Event struct {
		ID       route.FlowID
		Service  uint32
		Token    []byte
		Caller   packet.Tuple
		State    State
		Cause    Cause
		Endpoint uint32
	}

	// Cause says why a request took a step. The list is closed.
	Cause uint8

	// Config is what an Engine is made from.
	Config struct {
		Self        string
		Domain      string
		Incarnation uint64 // of this life of the entry
		Hasher      route.Hasher
		Requests    int           // requests that one service holds
		HeldKeys    int           // keys held for the owners of other services
		HoldRetry   time.Duration // after which an unanswered message is sent again
		RetryFloor  float64       // retries a second that are always allowed
		// Linger is how long a packet may lie in an entry that was paused and
		// still holds its lease. Records outlive a request by it.
		Linger time.Duration
	}

	// View is what the control goroutine tells the engine; it is immutable.
	View struct {
		Table      *route.Table
		Steps      []*route.Table // the last tables at which the entries changed, in order
		LeaseUntil time.Time
		Island     bool
		Reachable  []string
		Domains    []string
	}

	// Stats counts what the engine has done.
	Stats struct {
		States                                      [stateCount]uint64
		Requests, Queue, Kept                       int
		Duplicates, Late, Retries, Shed, Overflow   uint64
		NoLease                                     uint64
		Holds, HoldBytes, Broken, Takeovers, Blanks uint64
	}
)

// The causes.
const (
	Arrived Cause = iota
	KeyHeld
	SlotGranted
	BackendAnswered
	BackendRefused
	DeadlinePassed
	CannotMeetDeadline
	QueueFull
	TableFull
	Displaced
	NoEndpoint
	NoRetryLeft
	CallerCancelled
	OwnerLost
	BothHoldersLost
	CutOff
	BadMessage
	AnswerGone
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

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// States returns every state, for metrics made at start.
func States() []State {
	all := make([]State, stateCount)
	for i := range all {
		all[i] = State(i)
	}
	return all
}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

// final reports whether nothing more is decided about the request.
func (s State) final() bool { return s >= Answered }
