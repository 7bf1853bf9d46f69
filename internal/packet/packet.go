// Package packet reads and writes what travels between the fabric, the
// entries and the backend servers: whole IP packets in Geneve over UDP
// (RFC 8926). It decides nothing. A Decoder reuses its layers, so that a
// packet in steady state costs no allocation.
package packet

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
)

// Reasons for which a packet is not decoded. The list is closed.
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
	// PeerProtocol is the Geneve protocol type of datagrams between entries:
	// the second of the two types that IEEE 802 leaves for local experiments.
	PeerProtocol layers.EthernetType = 0x88B6
	// HeaderLen is the length in bytes of a Geneve header without options.
	HeaderLen = 8
	// RelayLen is the length in bytes of a Geneve header with a relay option.
	RelayLen = HeaderLen + optionHeaderLen + relayDataLen

	optionHeaderLen  = 4
	relayDataLen     = 24
	maxOptionsLength = 128
	relayOptionClass = 0xFF0B // experimental range of RFC 8926
	relayOptionType  = 1
	protocolTCP      = 6
	protocolUDP      = 17
)

type (
	// Reason says why a packet was not decoded.
	Reason uint8

	// Transport is the IP protocol number of the inner packet: TCP or UDP.
	Transport uint8

	// Tuple names one direction of a flow.
	Tuple struct {
		src, dst  netip.AddrPort
		transport Transport
	}

	// Flags are the TCP flags that decisions depend on; zero for UDP.
	Flags struct {
		syn, ack, fin, rst bool
	}

	// Packet is a decoded packet. Its slices point into the received buffer
	// and are valid until the next call of Decode.
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

	// Decoder decodes packets with reused layers; one goroutine uses it.
	Decoder struct {
		geneve layers.Geneve
		ipv4   layers.IPv4
		ipv6   layers.IPv6
		tcp    layers.TCP
		udp    layers.UDP
	}
)

// The transports that flows may use.
const (
	TCP Transport = protocolTCP
	UDP Transport = protocolUDP
)

var reasonNames = [reasonCount]string{
	"decoded", "too_short", "bad_geneve", "too_many_options", "unknown_inner", "bad_ip",
	"fragment", "bad_transport", "unknown_transport", "bad_relay",
}

// String returns the name of the reason as metrics and logs show it.
func (r Reason) String() string { return reasonNames[r] }

// Reasons returns every reason, for metrics made at start.
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

// Src returns the sender's address and port.
func (t Tuple) Src() netip.AddrPort { return t.src }

// Dst returns the receiver's address and port.
func (t Tuple) Dst() netip.AddrPort { return t.dst }

// Transport returns the transport of the flow.
func (t Tuple) Transport() Transport { return t.transport }

// Reverse returns the tuple of the other direction.
func (t Tuple) Reverse() Tuple { return Tuple{src: t.dst, dst: t.src, transport: t.transport} }

// NewFlags returns TCP flags.
func NewFlags(syn, ack, fin, rst bool) Flags { return Flags{syn, ack, fin, rst} }

// Opens reports whether the packet asks for a new TCP flow.
func (f Flags) Opens() bool { return f.syn && !f.ack }

// Accepts reports whether the packet is the answer to a SYN.
func (f Flags) Accepts() bool { return f.syn && f.ack }

// Ends reports whether the packet closes a direction or resets the flow.
func (f Flags) Ends() bool { return f.fin || f.rst }

// Resets reports whether the packet resets the flow.
func (f Flags) Resets() bool { return f.rst }

// Tuple returns the inner addresses as sent.
func (p *Packet) Tuple() Tuple { return p.tuple }

// Flags returns the TCP flags.
func (p *Packet) Flags() Flags { return p.flags }

// Inner returns the inner IP packet, or the protobuf bytes of a peer datagram.
func (p *Packet) Inner() []byte { return p.inner }

// Payload returns the payload of the inner transport.
func (p *Packet) Payload() []byte { return p.payload }

// Relay returns the relay option and whether the packet carries one.
func (p *Packet) Relay() (Relay, bool) { return p.relay, p.relayed }

// IsPeer reports whether this is a datagram between entries, not a packet.
func (p *Packet) IsPeer() bool { return p.peer }

// Clone returns a copy that stays valid when the buffer is used again.
func (p *Packet) Clone() *Packet {
	c := *p
	c.inner = append([]byte(nil), p.inner...)
	c.payload = c.inner[len(c.inner)-len(p.payload):]
	return &c
}

// Decode reads one Geneve datagram into p and returns why it could not.
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

// DecodeInner reads a bare inner IP packet, as the stand-ins hold it.
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
				return BadGeneve // an unknown critical option must not be ignored
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

// TCPSequence returns the sequence and acknowledgement numbers of the last
// TCP packet that this decoder has read.
func (d *Decoder) TCPSequence() (seq, ack uint32) { return d.tcp.Seq, d.tcp.Ack }

// Relay travels with a packet from one entry to another.
type Relay struct {
	kind     RelayKind
	hops     uint8
	origin   uint16
	endpoint uint32
	index    uint64
	trace    uint64
}

// RelayKind says what the receiver of a relayed packet is asked to do.
type RelayKind uint8

// The kinds of relay.
const (
	// RelayDecide asks the bucket's owner to decide.
	RelayDecide RelayKind = iota + 1
	// RelayStore tells the second holder to keep the owner's decision and
	// to pass the packet on to the endpoint.
	RelayStore
	// RelayCheck asks the owner whether an answer may pass.
	RelayCheck
	// RelayWork hands a request or an answer of work to the service's owner.
	RelayWork
)

// NewRelay returns a relay option. Trace 0 means that the packet is not sampled.
func NewRelay(kind RelayKind, endpoint uint32, index, trace uint64) Relay {
	return Relay{kind: kind, endpoint: endpoint, index: index, trace: trace}
}

// Kind returns what is asked.
func (r Relay) Kind() RelayKind { return r.kind }

// Hops returns how many entries have relayed the packet.
func (r Relay) Hops() uint8 { return r.hops }

// Endpoint returns the endpoint that was decided or that sent the answer.
func (r Relay) Endpoint() uint32 { return r.endpoint }

// Index returns the index of the state that the sender decided by.
func (r Relay) Index() uint64 { return r.index }

// Trace returns the trace id of a sampled packet, or 0.
func (r Relay) Trace() uint64 { return r.trace }

// WithTrace returns the option with the trace id of a sampled packet.
func (r Relay) WithTrace(trace uint64) Relay {
	r.trace = trace
	return r
}

// After returns the option as one hop after another one, whose trace it keeps.
func (r Relay) After(previous Relay) Relay {
	r.hops = previous.hops + 1
	r.trace = previous.trace
	return r
}

// WithHop returns the option with one more hop counted.
func (r Relay) WithHop() Relay {
	r.hops++
	return r
}

func decodeRelay(data []byte) Relay {
	return Relay{
		kind:     RelayKind(data[0]),
		hops:     data[1],
		origin:   binary.BigEndian.Uint16(data[2:]),
		endpoint: binary.BigEndian.Uint32(data[4:]),
		index:    binary.BigEndian.Uint64(data[8:]),
		trace:    binary.BigEndian.Uint64(data[16:]),
	}
}

func (r Relay) encode(data []byte) {
	data[0] = byte(r.kind)
	data[1] = r.hops
	binary.BigEndian.PutUint16(data[2:], r.origin)
	binary.BigEndian.PutUint32(data[4:], r.endpoint)
	binary.BigEndian.PutUint64(data[8:], r.index)
	binary.BigEndian.PutUint64(data[16:], r.trace)
}
