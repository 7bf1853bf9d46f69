package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"oxbowsaddle/internal/steer"
)

const (
	// maxPacketSize is the largest datagram that is read.
	maxPacketSize = 2048
	// flowLogRate and flowLinesAtOnce bound the log lines about flows:
	// a line costs some 10 µs, so at most 0.1% of a core.
	flowLogRate  = 100
	flowLogBurst = 300
)

// Codec reads and writes packets as the fabric carries them.
type Codec struct {
	// Decode reads a caller's packet; false where it is none.
	Decode func(raw []byte) (steer.Packet, bool)
	// Forward appends the datagram for an endpoint.
	Forward func(buf, raw []byte, number uint64, tag uint32) []byte
	// Reset appends a reset to the caller of a packet.
	Reset func(buf []byte, p steer.Packet, seq uint32) []byte
}

// packetLoop carries packets until the context ends.
func (e *Entry) packetLoop(ctx context.Context, conn *net.UDPConn) error {
	raw, out := make([]byte, maxPacketSize), make([]byte, 0, maxPacketSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(raw)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			continue // an earlier send found a closed port
		}
		e.handlePacket(conn, raw[:n], out)
	}
}

// handlePacket decides about one packet and does it.
func (e *Entry) handlePacket(conn *net.UDPConn, raw, out []byte) {
	p, ok := e.config.Codec.Decode(raw)
	if !ok {
		e.counts.add(steer.Decision{Reason: steer.Malformed})
		return
	}
	now := e.config.Now()
	e.mu.Lock()
	d := e.steerer.Decide(now, p)
	e.mu.Unlock()
	e.sampleDecisionTime(now)
	e.counts.add(d)
	switch d.Action {
	case steer.Forward:
		// A datagram that cannot be sent is lost, as on any link; its sender repeats it.
		_, _ = conn.WriteToUDPAddrPort(e.config.Codec.Forward(out, raw, d.Number, d.Tag), d.To)
	case steer.Reset:
		e.sendReset(conn, out, p, d.Seq)
	}
	e.logDecision(now, p, d)
}

// sendReset resets the flow of a packet at its caller. A reset that cannot be sent
// is lost, as on any link; the flow's next packet is reset again.
func (e *Entry) sendReset(conn *net.UDPConn, buf []byte, p steer.Packet, seq uint32) {
	caller := netip.AddrPortFrom(p.Src.Addr(), e.config.Packets.Port())
	_, _ = conn.WriteToUDPAddrPort(e.config.Codec.Reset(buf, p, seq), caller)
}

// sampleDecisionTime takes the time of one decision in timeOneIn.
func (e *Entry) sampleDecisionTime(start time.Time) {
	if e.untimedPackets++; e.untimedPackets >= timeOneIn {
		e.untimedPackets = 0
		e.timings.decision.Observe(e.config.Now().Sub(start))
	}
}

// logDecision keeps what complaints ask for, and writes a line for it: each
// flow that is opened or is not just steered. Lines beyond the rate are left
// out, and the next one says how many.
func (e *Entry) logDecision(now time.Time, p steer.Packet, d steer.Decision) {
	if !isRecorded(d) {
		return
	}
	e.decisions.add(time.Now(), p, d) // operators ask by the time of day
	if !e.flowLogLimiter.AllowN(now, 1) {
		e.droppedFlowLines++
		return
	}
	e.config.Log.Info("flow", "caller", p.Src, "route", p.Dst, "seq", p.Seq, "copy", p.Copy, "tag", p.Tag,
		"action", d.Action, "reason", d.Reason, "endpoint", d.ID, "version", d.Version, "left_out", e.droppedFlowLines)
	e.droppedFlowLines = 0
}
