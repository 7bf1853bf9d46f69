package node

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/wire"
)

const (
	// keptDecisions is how many decisions an entry keeps for operators: the
	// last two minutes at 17 opened flows a second, some 0.4 MB.
	keptDecisions = 2048
	// toldDecisions is how many of them one answer holds at most.
	toldDecisions = 20
)

type (
	// keptDecision is a decision that operators may ask about later. It is a
	// value, so that keeping one allocates nothing.
	keptDecision struct {
		at       time.Time // of day
		src, dst netip.AddrPort
		copies   int
		decision steer.Decision
	}

	// keptRing holds the last decisions of an entry.
	keptRing struct {
		ring *explain.Ring[keptDecision]
	}
)

func newKeptRing() *keptRing { return &keptRing{explain.NewRing[keptDecision](keptDecisions)} }

// keeps reports whether a decision is kept: all but those on packets that go
// where the flow is already.
func keeps(d steer.Decision) bool {
	return d.Reason != steer.Steered && d.Reason != steer.Corrected
}

// add keeps a decision taken at a time of day.
func (k *keptRing) add(at time.Time, p steer.Packet, d steer.Decision) {
	if keeps(d) {
		k.ring.Add(keptDecision{at: at, src: p.Src, dst: p.Dst, copies: p.Copy, decision: d})
	}
}

// flow returns the last decisions on a flow, the oldest first.
func (k *keptRing) flow(src, dst netip.AddrPort) []*wire.Decision {
	return k.find(func(d keptDecision) bool { return d.src == src && d.dst == dst })
}

// refused returns the last packets that were dropped or reset.
func (k *keptRing) refused() []*wire.Decision {
	return k.find(func(d keptDecision) bool { return d.decision.Action != steer.Forward })
}

func (k *keptRing) find(match func(keptDecision) bool) []*wire.Decision {
	var told []*wire.Decision
	for _, d := range k.ring.Find(toldDecisions, match) {
		told = append(told, d.message())
	}
	return told
}

// message returns a kept decision as it travels.
func (d keptDecision) message() *wire.Decision {
	m := d.decision.Message()
	m.UnixNano, m.Subject = d.at.UnixNano(), steer.Subject(d.src, d.dst)
	if d.copies > 0 {
		m.Hops = append(m.Hops, "the opening packet came again: earlier ones were not answered")
	}
	return m
}
