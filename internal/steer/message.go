package steer

import (
	"net/netip"

	"oxbowsaddle/internal/wire"
)

// Subject names a flow as operators ask for it.
func Subject(src, dst netip.AddrPort) string { return src.String() + " " + dst.String() }

// Message returns a decision as it travels to operators; whoever kept it adds
// when and where it was taken, and on which flow.
func (d Decision) Message() *wire.Decision {
	return &wire.Decision{
		Action: d.Action.String(), Reason: d.Reason.String(), Endpoint: d.ID, Index: d.Version, Active: d.Version,
		NextStep: nextSteps[d.Reason],
	}
}
