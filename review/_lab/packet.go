package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The head of a packet, as PROTOCOL.md gives it: 32 bytes, big-endian.
const (
	headLen  = 32
	maxData  = 1200
	numberLn = 8 // in front of a packet to an endpoint

	flagSYN     = 1
	flagBounced = 8
	flagRST     = 16
	flagFIN     = 64
	flagACK     = 128
)

// sumKey stands for the key that only clients and endpoints know.
const sumKey = "key of the two ends"

// pkt is one packet.
type pkt struct {
	sum, seq, ack uint32
	flags         byte
	dst, src      netip.AddrPort
	echo          uint32
	data          []byte
}

// encode returns the packet as bytes. The sum is set unless the packet is a reset of the system.
func (p *pkt) encode() []byte {
	b := make([]byte, headLen+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	b[14] = p.flags
	binary.BigEndian.PutUint16(b[16:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[18:], dst[:])
	copy(b[22:], src[:])
	binary.BigEndian.PutUint16(b[26:], p.src.Port())
	copy(b[headLen:], p.data)
	binary.BigEndian.PutUint32(b[0:], sumOf(b))
	binary.BigEndian.PutUint32(b[28:], p.echo)
	return b
}

// sumOf is the keyed sum over everything but the sum itself, echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte(sumKey), b...)
	h := c[len(sumKey):]
	copy(h[0:4], []byte{0, 0, 0, 0})
	copy(h[28:32], []byte{0, 0, 0, 0})
	h[14] &^= flagBounced
	h[15] = 0
	return max(1, crc32.ChecksumIEEE(c))
}

// decode parses a packet. sound is false if the packet has another form than its sender wrote.
func decode(b []byte) (p pkt, sound bool) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[12:])) != len(b)-headLen {
		return p, false
	}
	p = pkt{
		sum: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), flags: b[14],
		dst:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[18:22])), binary.BigEndian.Uint16(b[16:])),
		src:  netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[22:26])), binary.BigEndian.Uint16(b[26:])),
		echo: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[headLen:]...),
	}
	return p, p.sum == sumOf(b)
}
