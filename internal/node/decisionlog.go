package node

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/wire"
)

const (
	// maxDecisions is how many decisions an entry keeps for operators: the
	// last two minutes at 17 opened flows a second, some 0.4 MB.
	maxDecisions = 2048
	// maxDecisionsPerReply is how many of them one answer holds at most.
	maxDecisionsPerReply = 20
)

type (
	// logRecord is a decision that operators may ask about later. It is a
	// value, so that keeping one allocates nothing.
	logRecord struct {
		at              time.Time // of day
		src, dst        netip.AddrPort
		retransmissions int
		decision        steer.Decision
	}

	// decisionLog holds the last decisions of an entry.
	decisionLog struct {
		ring *explain.Ring[logRecord]
	}
)

func newDecisionLog() *decisionLog { return &decisionLog{explain.NewRing[logRecord](maxDecisions)} }

// isRecorded reports whether a decision is kept: all but those on packets that go
// where the flow is already.
func isRecorded(d steer.Decision) bool {
	return d.Reason != steer.Steered && d.Reason != steer.Corrected
}

// add keeps a decision taken at a time of day.
func (k *decisionLog) add(at time.Time, p steer.Packet, d steer.Decision) {
	if isRecorded(d) {
		k.ring.Add(logRecord{at: at, src: p.Src, dst: p.Dst, retransmissions: p.Copy, decision: d})
	}
}

// forFlow returns the last decisions on a forFlow, the oldest first.
func (k *decisionLog) forFlow(src, dst netip.AddrPort) []*wire.Decision {
	return k.find(func(d logRecord) bool { return d.src == src && d.dst == dst })
}

// refused returns the last packets that were dropped or reset.
func (k *decisionLog) refused() []*wire.Decision {
	return k.find(func(d logRecord) bool { return d.decision.Action != steer.Forward })
}

func (k *decisionLog) find(match func(logRecord) bool) []*wire.Decision {
	var matches []*wire.Decision
	for _, d := range k.ring.Find(maxDecisionsPerReply, match) {
		matches = append(matches, d.message())
	}
	return matches
}

// message returns a kept decision as it travels.
func (d logRecord) message() *wire.Decision {
	m := d.decision.Message()
	m.UnixNano, m.Subject = d.at.UnixNano(), steer.Subject(d.src, d.dst)
	if d.retransmissions > 0 {
		m.Hops = append(m.Hops, "the opening packet came again: earlier ones were not answered")
	}
	return m
}
