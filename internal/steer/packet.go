package steer

import (
	"net/netip"

	"github.com/dchest/siphash"
)

// TCP flags that decisions depend on.
const (
	SYN Flags = 1 << iota
	ACK
	FIN
	RST
)

type (
	// Flags is a set of TCP flags.
	Flags uint8

	// Packet holds the header fields of a client's packet.
	Packet struct {
		Src, Dst       netip.AddrPort
		Flags          Flags
		Tag            uint32 // 0 on a SYN
		Seq, Ack       uint32
		Retransmission int // number of the SYN retransmission, 0 for the first SYN
		Len            int // payload bytes
	}

	// flowKey identifies a flow by its addresses.
	flowKey struct {
		src, dst netip.AddrPort
	}
)

// Has reports whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Opens reports whether the packet is a SYN that opens a flow.
func (p Packet) Opens() bool { return p.Flags == SYN }

// hash returns a hash that is the same for all retransmissions of a SYN.
func (p Packet) hash() uint64 {
	var b [40]byte
	src, dst := p.Src.Addr().As16(), p.Dst.Addr().As16()
	copy(b[:16], src[:])
	copy(b[16:32], dst[:])
	ports := [...]uint16{p.Src.Port(), p.Dst.Port()}
	for i, port := range ports {
		b[32+2*i], b[33+2*i] = byte(port>>8), byte(port)
	}
	b[36], b[37], b[38], b[39] = byte(p.Seq>>24), byte(p.Seq>>16), byte(p.Seq>>8), byte(p.Seq)
	return siphash.Hash(hashKey0, hashKey1, b[:])
}
