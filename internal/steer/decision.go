package steer

import (
	"net/netip"

	"oxbowsaddle/internal/credit"
)

// Actions on a packet.
const (
	Drop Action = iota
	Forward
	Reset
	Hold // until the decision is returned as Resolved
)

// Reasons for a decision.
const (
	Placed         Reason = iota // new flow, placed on a chosen endpoint
	Repeated                     // retransmitted SYN, to the endpoint chosen before
	Replaced                     // retransmitted SYN, to another endpoint than the first, which did not answer
	Steered                      // forwarded by tag
	Corrected                    // forwarded by the tag of the endpoint that the flow was established with
	NoTable                      // the document or the full list of endpoints has not been received yet
	NoRoute                      // no route for the address
	RouteDropped                 // the route was removed by a newer document
	NoEndpoint                   // no endpoint accepts the flow
	UnknownTag                   // no known endpoint has the tag
	EndpointGone                 // the endpoint of the flow has ended
	EndpointLost                 // the endpoint of the flow cannot be reached from this entry
	Evacuated                    // all endpoints that could take the flow are in evacuated failure domains
	Cold                         // all endpoints that could take the flow are cold and limited in rate
	Malformed                    // cannot be parsed, or not valid from a client
	AwaitingCredit               // new flow, held until an allocator has answered
	Overloaded                   // new flow, rejected since its service has no slot for it

	// ReasonCount is the number of reasons.
	ReasonCount
)

type (
	// Action is what to do with a packet.
	Action int

	// Reason is why a decision was made.
	Reason int

	// AdmissionDetail describes why admission control rejected a flow.
	AdmissionDetail struct {
		Outcome   credit.Outcome
		Knowledge credit.Knowledge
	}

	// Decision says what to do with one packet.
	Decision struct {
		Action Action
		Reason Reason
		To     netip.AddrPort // address of the endpoint
		Number uint64         // identifies the endpoint's incarnation in the header prepended to the packet
		Tag    uint32         // tag to write into the packet
		Seq    uint32         // sequence number of a reset
		// ID of the endpoint and version of the document, for logs.
		ID      string
		Version uint64
		// Admission describes a decision of admission control; nil for others.
		Admission *AdmissionDetail
	}
)

var (
	actionNames = [...]string{"drop", "forward", "reset", "hold"}
	reasonNames = [ReasonCount]string{
		"placed", "repeated", "replaced", "steered", "corrected", "no_table", "no_route", "route_dropped",
		"no_endpoint", "unknown_tag", "endpoint_gone", "endpoint_lost", "evacuated", "cold", "malformed",
		"awaiting_credit", "overloaded",
	}
)

func (a Action) String() string { return actionNames[a] }

func (r Reason) String() string { return reasonNames[r] }

// Reasons returns all reasons.
func Reasons() []Reason {
	all := make([]Reason, ReasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
