package node

import (
	"net/netip"
	"time"

	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/wire"
)

const (
	// maxDecisions is the number of decisions that an entry keeps for operators.
	maxDecisions = 2048
	// maxDecisionsPerReply bounds the decisions in one reply to an operator.
	maxDecisionsPerReply = 20
)

type (
	// logRecord is a decision that operators may query later. It is stored by value to
	// avoid an allocation per decision.
	logRecord struct {
		at              time.Time // wall clock
		src, dst        netip.AddrPort
		retransmissions int
		decision        steer.Decision
	}

	// decisionLog keeps the most recent decisions of an entry.
	decisionLog struct {
		ring *explain.Ring[logRecord]
	}
)

func newDecisionLog() *decisionLog { return &decisionLog{explain.NewRing[logRecord](maxDecisions)} }

// isRecorded reports whether a decision is logged: all are, except forwarding a packet of an
// established flow, and holding a SYN, whose decision follows.
func isRecorded(d steer.Decision) bool {
	return d.Reason != steer.Steered && d.Reason != steer.Corrected && d.Reason != steer.AwaitingCredit
}

// add logs a decision with its wall-clock time.
func (l *decisionLog) add(at time.Time, p steer.Packet, d steer.Decision) {
	if isRecorded(d) {
		l.ring.Add(logRecord{at: at, src: p.Src, dst: p.Dst, retransmissions: p.Retransmission, decision: d})
	}
}

// forFlow returns the most recent decisions on a flow, oldest first.
func (l *decisionLog) forFlow(src, dst netip.AddrPort) []*wire.Decision {
	return l.find(func(d logRecord) bool { return d.src == src && d.dst == dst })
}

// refused returns the most recent decisions to drop or reset a packet, oldest first.
func (l *decisionLog) refused() []*wire.Decision {
	return l.find(func(d logRecord) bool { return d.decision.Action != steer.Forward })
}

func (l *decisionLog) find(match func(logRecord) bool) []*wire.Decision {
	var matches []*wire.Decision
	for _, d := range l.ring.Find(maxDecisionsPerReply, match) {
		matches = append(matches, d.message())
	}
	return matches
}

// message returns the protocol message for a logged decision.
func (d logRecord) message() *wire.Decision {
	m := d.decision.Message()
	m.UnixNano, m.Subject = d.at.UnixNano(), steer.Subject(d.src, d.dst)
	if d.retransmissions > 0 {
		m.Hops = append(m.Hops, "this SYN is a retransmission: earlier ones were not answered")
	}
	return m
}
