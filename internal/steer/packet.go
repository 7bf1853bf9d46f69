package steer

import (
	"net/netip"

	"github.com/dchest/siphash"
)

// The flags of a packet.
const (
	Syn Flags = 1 << iota
	Ack
	Fin
	Rst
)

type (
	// Flags is a set of flags.
	Flags uint8

	// Packet is what the head of a caller's packet says.
	Packet struct {
		Src, Dst netip.AddrPort
		Flags    Flags
		Tag      uint32 // 0 on an opening packet
		Seq, Ack uint32
		Copy     int // which repetition of an opening packet it is, 0 for the first
		Len      int // bytes of data
	}

	// flowKey identifies a flow.
	flowKey struct {
		src, dst netip.AddrPort
	}
)

// Has reports whether all the given flags are set.
func (f Flags) Has(flags Flags) bool { return f&flags == flags }

// Opens reports whether the packet asks for a new flow.
func (p Packet) Opens() bool { return p.Flags == Syn }

// hash returns a number that is the same for all copies of an opening packet.
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
