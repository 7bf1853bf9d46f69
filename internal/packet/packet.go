// Package packet encodes and decodes the datagrams between the fabric, the
// entries and the backend servers: whole IP packets in Geneve over UDP (RFC
// 8926). A Decoder reuses its layers, so that decoding a packet doesn't allocate.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Results of decoding: Decoded, or the reason why a packet was rejected.
const (
	Decoded Reason = iota
	TooShort
	BadGeneve
	TooManyOptions
	UnknownInner
	BadIP
	Fragment
	BadTransport
	UnknownTransport
	BadRelay
	reasonCount
)

const (
	// PeerProtocol is the Geneve protocol type of datagrams between entries: the
	// second EtherType that IEEE 802 reserves for local experiments.
	PeerProtocol layers.EthernetType = 0x88B6
	// HeaderLen is the length in bytes of a Geneve header without options.
	HeaderLen = 8
	// RelayLen is the length in bytes of a Geneve header with a relay option.
	RelayLen = HeaderLen + optionHeaderLen + relayDataLen

	optionHeaderLen  = 4
	relayDataLen     = 24
	maxOptionsLength = 128
	relayOptionClass = 0xFF0B // in the experimental range of RFC 8926
	relayOptionType  = 1
	protocolTCP      = 6
	protocolUDP      = 17
)

type (
	// Reason is the result of decoding a packet.
	Reason uint8

	// Transport is the IP protocol number of the inner packet: TCP or UDP.
	Transport uint8

	// Tuple is the addresses, ports and transport of one direction of a flow.
	Tuple struct {
		src, dst  netip.AddrPort
		transport Transport
	}

	// Flags are the TCP flags that affect forwarding; all false for UDP.
	Flags struct {
		syn, ack, fin, rst bool
	}

	// Packet is a decoded packet. Its slices point into the received buffer and
	// are valid until the buffer is reused.
	Packet struct {
		tuple     Tuple
		flags     Flags
		inner     []byte
		payload   []byte
		relay     Relay
		relayed   bool
		peer      bool
		innerIPv6 bool
	}

	// Decoder decodes packets into reused layers. It must not be used concurrently.
	Decoder struct {
		geneve layers.Geneve
		ipv4   layers.IPv4
		ipv6   layers.IPv6
		tcp    layers.TCP
		udp    layers.UDP
	}
)

// The supported transports.
const (
	TCP Transport = protocolTCP
	UDP Transport = protocolUDP
)

var reasonNames = [reasonCount]string{
	"decoded", "too_short", "bad_geneve", "too_many_options", "unknown_inner", "bad_ip",
	"fragment", "bad_transport", "unknown_transport", "bad_relay",
}

// String returns the name of the reason in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns every reason.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// String returns "tcp" or "udp".
func (t Transport) String() string {
	if t == TCP {
		return "tcp"
	}
	return "udp"
}

// NewTuple returns the tuple of one direction of a flow.
func NewTuple(src, dst netip.AddrPort, t Transport) Tuple {
	return Tuple{src: src, dst: dst, transport: t}
}

// Src returns the source address and port.
func (t Tuple) Src() netip.AddrPort { return t.src }

// Dst returns the destination address and port.
func (t Tuple) Dst() netip.AddrPort { return t.dst }

// Transport returns the transport of the flow.
func (t Tuple) Transport() Transport { return t.transport }

// Reverse returns the tuple of the other direction.
func (t Tuple) Reverse() Tuple { return Tuple{src: t.dst, dst: t.src, transport: t.transport} }

// NewFlags returns TCP flags.
func NewFlags(syn, ack, fin, rst bool) Flags { return Flags{syn, ack, fin, rst} }

// Opens reports whether the packet is a SYN without ACK, which opens a TCP flow.
func (f Flags) Opens() bool { return f.syn && !f.ack }

// Accepts reports whether the packet is a SYN-ACK, which accepts a TCP flow.
func (f Flags) Accepts() bool { return f.syn && f.ack }

// Ends reports whether the packet has FIN or RST set.
func (f Flags) Ends() bool { return f.fin || f.rst }

// Resets reports whether the packet has RST set.
func (f Flags) Resets() bool { return f.rst }

// Tuple returns the tuple of the inner packet.
func (p *Packet) Tuple() Tuple { return p.tuple }

// Flags returns the TCP flags.
func (p *Packet) Flags() Flags { return p.flags }

// Inner returns the inner IP packet, or the encoded message of a peer datagram.
func (p *Packet) Inner() []byte { return p.inner }

// Payload returns the transport payload of the inner packet.
func (p *Packet) Payload() []byte { return p.payload }

// Relay returns the relay option and whether the packet has one.
func (p *Packet) Relay() (Relay, bool) { return p.relay, p.relayed }

// IsPeer reports whether the datagram is a message between entries rather than a packet.
func (p *Packet) IsPeer() bool { return p.peer }

// Clone returns a copy that doesn't refer to the received buffer.
func (p *Packet) Clone() *Packet {
	c := *p
	c.inner = append([]byte(nil), p.inner...)
	c.payload = c.inner[len(c.inner)-len(p.payload):]
	return &c
}

// Decode decodes one Geneve datagram into p.
func (d *Decoder) Decode(data []byte, p *Packet) Reason {
	if len(data) < HeaderLen {
		return TooShort
	}
	if int(data[0]&0x3f)*4 > maxOptionsLength {
		return TooManyOptions
	}
	if err := d.geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil || d.geneve.Version != 0 {
		return BadGeneve
	}
	*p = Packet{inner: d.geneve.Payload}
	if r := d.decodeOptions(p); r != Decoded {
		return r
	}
	switch d.geneve.Protocol {
	case PeerProtocol:
		p.peer = true
		return Decoded
	case layers.EthernetTypeIPv4:
		return d.decodeIPv4(p)
	case layers.EthernetTypeIPv6:
		return d.decodeIPv6(p)
	default:
		return UnknownInner
	}
}

// DecodeInner decodes an IP packet without a Geneve header into p.
func (d *Decoder) DecodeInner(inner []byte, p *Packet) Reason {
	*p = Packet{inner: inner}
	if len(inner) == 0 {
		return TooShort
	}
	if inner[0]>>4 == 6 {
		return d.decodeIPv6(p)
	}
	return d.decodeIPv4(p)
}

func (d *Decoder) decodeOptions(p *Packet) Reason {
	for _, o := range d.geneve.Options {
		if o.Class != relayOptionClass || o.Type != relayOptionType {
			if o.Type&0x80 != 0 {
				return BadGeneve // RFC 8926: a packet with an unknown critical option must be dropped
			}
			continue
		}
		if len(o.Data) != relayDataLen {
			return BadRelay
		}
		p.relay = decodeRelay(o.Data)
		p.relayed = true
	}
	return Decoded
}

func (d *Decoder) decodeIPv4(p *Packet) Reason {
	if err := d.ipv4.DecodeFromBytes(p.inner, gopacket.NilDecodeFeedback); err != nil || d.ipv4.Version != 4 {
		return BadIP
	}
	if d.ipv4.FragOffset != 0 || d.ipv4.Flags&layers.IPv4MoreFragments != 0 {
		return Fragment
	}
	src, _ := netip.AddrFromSlice(d.ipv4.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ipv4.DstIP)
	return d.decodeTransport(p, src, dst, d.ipv4.Protocol, d.ipv4.Payload)
}

func (d *Decoder) decodeIPv6(p *Packet) Reason {
	p.innerIPv6 = true
	if err := d.ipv6.DecodeFromBytes(p.inner, gopacket.NilDecodeFeedback); err != nil || d.ipv6.Version != 6 {
		return BadIP
	}
	src, _ := netip.AddrFromSlice(d.ipv6.SrcIP)
	dst, _ := netip.AddrFromSlice(d.ipv6.DstIP)
	return d.decodeTransport(p, src, dst, d.ipv6.NextHeader, d.ipv6.Payload)
}

func (d *Decoder) decodeTransport(p *Packet, src, dst netip.Addr, proto layers.IPProtocol, data []byte) Reason {
	switch proto {
	case layers.IPProtocolTCP:
		if err := d.tcp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return BadTransport
		}
		p.tuple = NewTuple(netip.AddrPortFrom(src, uint16(d.tcp.SrcPort)), netip.AddrPortFrom(dst, uint16(d.tcp.DstPort)), TCP)
		p.flags = Flags{d.tcp.SYN, d.tcp.ACK, d.tcp.FIN, d.tcp.RST}
		p.payload = d.tcp.Payload
	case layers.IPProtocolUDP:
		if err := d.udp.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
			return BadTransport
		}
		p.tuple = NewTuple(netip.AddrPortFrom(src, uint16(d.udp.SrcPort)), netip.AddrPortFrom(dst, uint16(d.udp.DstPort)), UDP)
		p.payload = d.udp.Payload
	case layers.IPProtocolIPv6Fragment:
		return Fragment
	default:
		return UnknownTransport
	}
	return Decoded
}

// TCPSequence returns the sequence and acknowledgement numbers of the last TCP
// packet that d decoded.
func (d *Decoder) TCPSequence() (seq, ack uint32) { return d.tcp.Seq, d.tcp.Ack }

// Relay is the Geneve option of a packet that one entry relays to another.
type Relay struct {
	kind     RelayKind
	hops     uint8
	endpoint uint32
	index    uint64
	trace    uint64
}

// RelayKind says what the receiver of a relayed packet must do.
type RelayKind uint8

// Kinds of relayed packets.
const (
	// RelayDecide asks the owner of the bucket to choose the endpoint.
	RelayDecide RelayKind = iota + 1
	// RelayStore asks the second holder to store the owner's decision and to
	// forward the packet to the endpoint.
	RelayStore
	// RelayCheck asks the owner of the bucket whether an answer may be forwarded.
	RelayCheck
	// RelayWork passes a request, or the answer to one, to the owner of the service.
	RelayWork
)

// NewRelay returns a relay option. A trace of 0 means that the packet isn't sampled.
func NewRelay(kind RelayKind, endpoint uint32, index, trace uint64) Relay {
	return Relay{kind: kind, endpoint: endpoint, index: index, trace: trace}
}

// Kind returns what the receiver must do.
func (r Relay) Kind() RelayKind { return r.kind }

// Hops returns how often the packet has been relayed.
func (r Relay) Hops() uint8 { return r.hops }

// Endpoint returns the endpoint that was chosen or that sent the answer.
func (r Relay) Endpoint() uint32 { return r.endpoint }

// Index returns the index of the table that the sender decided with.
func (r Relay) Index() uint64 { return r.index }

// Trace returns the trace ID of a sampled packet, or 0.
func (r Relay) Trace() uint64 { return r.trace }

// WithTrace returns the option with a trace ID.
func (r Relay) WithTrace(trace uint64) Relay {
	r.trace = trace
	return r
}

// After returns the option for the hop after previous, with the same trace ID.
func (r Relay) After(previous Relay) Relay {
	r.hops = previous.hops + 1
	r.trace = previous.trace
	return r
}

// WithHop returns the option with the hop count incremented.
func (r Relay) WithHop() Relay {
	r.hops++
	return r
}

func decodeRelay(data []byte) Relay {
	return Relay{
		kind:     RelayKind(data[0]),
		hops:     data[1],
		endpoint: binary.BigEndian.Uint32(data[4:]),
		index:    binary.BigEndian.Uint64(data[8:]),
		trace:    binary.BigEndian.Uint64(data[16:]),
	}
}

func (r Relay) encode(data []byte) {
	data[0] = byte(r.kind)
	data[1] = r.hops
	clear(data[2:4]) // reserved
	binary.BigEndian.PutUint32(data[4:], r.endpoint)
	binary.BigEndian.PutUint64(data[8:], r.index)
	binary.BigEndian.PutUint64(data[16:], r.trace)
}
