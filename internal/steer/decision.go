package steer

import "net/netip"

// What to do with a packet.
const (
	Drop Action = iota
	Forward
	Reset
)

// Why it is done: the closed list.
const (
	Placed       Reason = iota // a new flow, on the endpoint chosen for it
	Repeated                   // a copy, to the endpoint that was chosen before
	Replaced                   // a copy, to another one: the first is silent
	Steered                    // by its tag
	Corrected                  // by the tag that the flow settled on
	NoTable                    // nothing is known yet
	NoRoute                    // no route leads from that address
	RouteDropped               // the configuration in force dropped the route
	NoEndpoint                 // no endpoint may take the flow
	UnknownTag                 // no endpoint is known by the tag
	EndpointGone               // the flow's endpoint has ended
	EndpointLost               // the flow's endpoint cannot be reached from here
	Evacuated                  // the failure domains of all endpoints that could take the flow are evacuated
	Cold                       // all endpoints that could take the flow are cold, and carry few requests a second
	Malformed                  // the packet cannot be read, or no caller sends such

	// ReasonCount is how many there are.
	ReasonCount
)

type (
	// Action is what to do with a packet.
	Action int

	// Reason is why.
	Reason int

	// Decision is what to do with one packet.
	Decision struct {
		Action Action
		Reason Reason
		To     netip.AddrPort // of the endpoint
		Number uint64         // what names the endpoint's incarnation in front of the packet
		Tag    uint32         // to be written into the packet
		Seq    uint32         // of a reset: what the caller expects next
		// For the log: the endpoint's id, and the document that decided.
		ID      string
		Version uint64
	}
)

var (
	actionNames = [...]string{"drop", "forward", "reset"}
	reasonNames = [ReasonCount]string{
		"placed", "repeated", "replaced", "steered", "corrected", "no_table", "no_route", "route_dropped",
		"no_endpoint", "unknown_tag", "endpoint_gone", "endpoint_lost", "evacuated", "cold", "malformed",
	}
)

// String returns the action's name.
func (a Action) String() string { return actionNames[a] }

// String returns the reason's name.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns the closed list.
func Reasons() []Reason {
	all := make([]Reason, ReasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
