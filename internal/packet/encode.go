package packet

import (
	"fmt"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Encoder prepends prebuilt Geneve headers to packets.
type Encoder struct {
	plainIPv4, plainIPv6, peer []byte
	relayIPv4, relayIPv6       []byte
}

// NewEncoder builds the header templates.
func NewEncoder() (*Encoder, error) {
	e := &Encoder{}
	var err error
	build := func(proto layers.EthernetType, relay bool) []byte {
		header, buildErr := buildHeader(proto, relay)
		if buildErr != nil {
			err = buildErr
		}
		return header
	}
	e.plainIPv4 = build(layers.EthernetTypeIPv4, false)
	e.plainIPv6 = build(layers.EthernetTypeIPv6, false)
	e.peer = build(PeerProtocol, false)
	e.relayIPv4 = build(layers.EthernetTypeIPv4, true)
	e.relayIPv6 = build(layers.EthernetTypeIPv6, true)
	if err != nil {
		return nil, fmt.Errorf("build geneve headers: %w", err)
	}
	return e, nil
}

// AppendPlain appends a Geneve datagram with the inner packet to dst.
func (e *Encoder) AppendPlain(dst, inner []byte) []byte {
	header := e.plainIPv4
	if isIPv6(inner) {
		header = e.plainIPv6
	}
	return append(append(dst, header...), inner...)
}

// AppendRelay appends a Geneve datagram with the inner packet and a relay option.
func (e *Encoder) AppendRelay(dst, inner []byte, r Relay) []byte {
	header := e.relayIPv4
	if isIPv6(inner) {
		header = e.relayIPv6
	}
	start := len(dst)
	dst = append(append(dst, header...), inner...)
	r.encode(dst[start+HeaderLen+optionHeaderLen : start+RelayLen])
	return dst
}

// AppendPeer appends a Geneve datagram that carries a peer message.
func (e *Encoder) AppendPeer(dst, message []byte) []byte {
	return append(append(dst, e.peer...), message...)
}

func isIPv6(inner []byte) bool { return len(inner) > 0 && inner[0]>>4 == 6 }

func buildHeader(proto layers.EthernetType, relay bool) ([]byte, error) {
	g := &layers.Geneve{Protocol: proto}
	if relay {
		g.Options = []*layers.GeneveOption{{Class: relayOptionClass, Type: relayOptionType, Data: make([]byte, relayDataLen)}}
	}
	buf := gopacket.NewSerializeBuffer()
	if err := g.SerializeTo(buf, gopacket.SerializeOptions{FixLengths: true}); err != nil {
		return nil, err
	}
	return append([]byte(nil), buf.Bytes()...), nil
}

// Build serializes an IP packet with the given transport payload. The flags and
// sequence numbers apply to TCP only. It allocates, so it isn't for the forwarding path.
func Build(t Tuple, f Flags, seq, ack uint32, payload []byte) ([]byte, error) {
	buf := gopacket.NewSerializeBuffer()
	opts := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	network, ip := networkLayer(t)
	transport, err := transportLayer(t, f, seq, ack, network)
	if err != nil {
		return nil, err
	}
	if err := gopacket.SerializeLayers(buf, opts, ip, transport, gopacket.Payload(payload)); err != nil {
		return nil, fmt.Errorf("build packet %v to %v: %w", t.src, t.dst, err)
	}
	return buf.Bytes(), nil
}

// BuildReset returns the RST to the sender of a TCP packet, which aborts its flow.
func BuildReset(p *Packet) ([]byte, error) {
	var d Decoder
	var decoded Packet
	if r := d.DecodeInner(p.inner, &decoded); r != Decoded || decoded.tuple.transport != TCP {
		return nil, fmt.Errorf("build reset: not a TCP packet: %s %s", r, decoded.tuple.transport)
	}
	seq, ack := d.TCPSequence()
	next := seq + uint32(len(decoded.payload))
	if decoded.flags.syn || decoded.flags.fin {
		next++
	}
	return Build(decoded.tuple.Reverse(), Flags{rst: true, ack: true}, ack, next, nil)
}

func networkLayer(t Tuple) (gopacket.NetworkLayer, gopacket.SerializableLayer) {
	proto := layers.IPProtocol(t.transport)
	if t.src.Addr().Is4() {
		ip := &layers.IPv4{Version: 4, TTL: 64, Protocol: proto, SrcIP: t.src.Addr().AsSlice(), DstIP: t.dst.Addr().AsSlice()}
		return ip, ip
	}
	ip := &layers.IPv6{Version: 6, HopLimit: 64, NextHeader: proto, SrcIP: t.src.Addr().AsSlice(), DstIP: t.dst.Addr().AsSlice()}
	return ip, ip
}

func transportLayer(t Tuple, f Flags, seq, ack uint32, network gopacket.NetworkLayer) (gopacket.SerializableLayer, error) {
	if t.transport == TCP {
		tcp := &layers.TCP{
			SrcPort: layers.TCPPort(t.src.Port()), DstPort: layers.TCPPort(t.dst.Port()),
			Seq: seq, Ack: ack, SYN: f.syn, ACK: f.ack, FIN: f.fin, RST: f.rst, Window: 65535,
		}
		return tcp, tcp.SetNetworkLayerForChecksum(network)
	}
	udp := &layers.UDP{SrcPort: layers.UDPPort(t.src.Port()), DstPort: layers.UDPPort(t.dst.Port())}
	return udp, udp.SetNetworkLayerForChecksum(network)
}
