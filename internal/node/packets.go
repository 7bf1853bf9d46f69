package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"oxbowsaddle/internal/steer"
)

const (
	// maxPacketSize is the size of the read buffer in bytes.
	maxPacketSize = 2048
	// flowLogRate and flowLogBurst limit the log lines about flows, in lines per second and
	// lines, so that logging takes little processor time.
	flowLogRate  = 100
	flowLogBurst = 300
)

// Codec decodes and encodes the datagrams of the network.
type Codec struct {
	// Decode parses a client's packet; false means that it is malformed.
	Decode func(raw []byte) (steer.Packet, bool)
	// Forward appends to buf the datagram that carries raw to an endpoint.
	Forward func(buf, raw []byte, number uint64, tag uint32) []byte
	// Reset appends to buf a reset for the client that sent p.
	Reset func(buf []byte, p steer.Packet, seq uint32) []byte
}

// packetLoop reads and handles packets until the context is done.
func (e *Entry) packetLoop(ctx context.Context, conn *net.UDPConn) error {
	raw, out := make([]byte, maxPacketSize), make([]byte, 0, maxPacketSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(raw)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			continue // for example an ICMP port-unreachable error from an earlier send
		}
		e.handlePacket(conn, raw[:n], out)
	}
}

// handlePacket forwards, resets or drops one packet.
func (e *Entry) handlePacket(conn *net.UDPConn, raw, out []byte) {
	p, ok := e.config.Codec.Decode(raw)
	if !ok {
		e.counts.add(steer.Decision{Reason: steer.Malformed})
		return
	}
	now := e.config.Now()
	e.mu.Lock()
	d := e.steerer.Decide(now, p)
	if e.admission != nil {
		e.admission.afterDecision(now, p, d, raw)
	}
	e.mu.Unlock()
	e.sampleDecisionTime(now)
	e.execute(conn, now, p, d, raw, out)
}

// execute carries out a decision on a packet. It is called by packetLoop and, for packets that
// were held, by the loops of entryAdmission.
func (e *Entry) execute(conn *net.UDPConn, now time.Time, p steer.Packet, d steer.Decision, raw, out []byte) {
	e.counts.add(d)
	switch d.Action {
	case steer.Forward:
		// Send errors count as packet loss: the client retransmits.
		_, _ = conn.WriteToUDPAddrPort(e.config.Codec.Forward(out, raw, d.Number, d.Tag), d.To)
	case steer.Reset:
		e.sendReset(conn, out, p, d.Seq)
	}
	e.logDecision(now, p, d)
}

// sendReset sends a reset for the flow of a packet to its client. Send errors are ignored:
// the next packet of the flow triggers another reset.
func (e *Entry) sendReset(conn *net.UDPConn, buf []byte, p steer.Packet, seq uint32) {
	client := netip.AddrPortFrom(p.Src.Addr(), e.config.PacketAddr.Port())
	_, _ = conn.WriteToUDPAddrPort(e.config.Codec.Reset(buf, p, seq), client)
}

// sampleDecisionTime records the duration of one in decisionSampleInterval decisions.
func (e *Entry) sampleDecisionTime(start time.Time) {
	if e.untimedPackets++; e.untimedPackets >= decisionSampleInterval {
		e.untimedPackets = 0
		e.timings.decision.Observe(e.config.Now().Sub(start))
	}
}

// logDecision stores a decision for operators and writes a log line for it, except for packets
// of established flows. Lines beyond the rate limit are dropped; the next line contains their
// number.
func (e *Entry) logDecision(now time.Time, p steer.Packet, d steer.Decision) {
	if !isRecorded(d) {
		return
	}
	e.flowLogMu.Lock()
	defer e.flowLogMu.Unlock()
	e.decisions.add(time.Now(), p, d) // operators see wall-clock times
	if !e.flowLogLimiter.AllowN(now, 1) {
		e.droppedFlowLines++
		return
	}
	fields := []any{
		"caller", p.Src, "route", p.Dst, "seq", p.Seq, "copy", p.Retransmission, "tag", p.Tag,
		"action", d.Action, "reason", d.Reason, "endpoint", d.ID, "version", d.Version, "left_out", e.droppedFlowLines,
	}
	if d.Admission != nil {
		k := d.Admission.Knowledge
		fields = append(fields, "outcome", d.Admission.Outcome, "priority", k.Priority, "in_use", k.Count, "slots", k.Slots, "age", k.Age, "refusals", k.Refusals)
	}
	e.config.Log.Info("flow", fields...)
	e.droppedFlowLines = 0
}
