package steer

import (
	"net/netip"

	"oxbowsaddle/internal/wire"
)

// Subject returns the name of a flow in queries of operators.
func Subject(src, dst netip.AddrPort) string { return src.String() + " " + dst.String() }

// Message returns the decision as a wire message. The caller fills in the time, the entry and
// the flow.
func (d Decision) Message() *wire.Decision {
	m := &wire.Decision{
		Action: d.Action.String(), Reason: d.Reason.String(), Endpoint: d.ID, Index: d.Version, Active: d.Version,
		NextStep: nextSteps[d.Reason],
	}
	if d.Admission != nil {
		m.Hops = append(m.Hops, "admission: "+d.Admission.Outcome.String()+"; "+d.Admission.Knowledge.String())
	}
	return m
}
