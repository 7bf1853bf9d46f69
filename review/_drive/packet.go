package main

import (
	"encoding/binary"
	"hash/crc32"
	"net"
)

// The head of a packet, as PROTOCOL.md gives it.
const (
	headLen    = 32
	numberLen  = 8 // identifies the intended endpoint, before the head
	flagSYN    = 1
	flagRST    = 16
	flagFIN    = 64
	flagACK    = 128
	flagBounce = 8
)

// packet is a packet of a flow.
type packet struct {
	seq, ack     uint32
	flags        byte
	src, dst     [4]byte
	sport, dport uint16
	echo         uint32
	data         []byte
	sum          uint32
}

// encode returns the packet with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headLen, headLen+len(p.data))
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	b[14] = p.flags
	binary.BigEndian.PutUint16(b[16:], p.dport)
	copy(b[18:], p.dst[:])
	copy(b[22:], p.src[:])
	binary.BigEndian.PutUint16(b[26:], p.sport)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b, sumOf(b))
	binary.BigEndian.PutUint32(b[28:], p.echo)
	return b
}

// sumOf returns a keyed sum over every part of an encoded packet but sum, echo, pad and BOUNCED.
func sumOf(b []byte) uint32 {
	c := append([]byte("key of the stand-ins"), b...)
	head := c[len(c)-len(b):]
	for _, i := range []int{0, 1, 2, 3, 15, 28, 29, 30, 31} {
		head[i] = 0
	}
	head[14] &^= flagBounce
	return crc32.ChecksumIEEE(c)
}

// decode parses a packet; intact reports whether its sum is right.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headLen || int(binary.BigEndian.Uint16(b[12:])) != len(b)-headLen {
		return packet{}, false
	}
	p = packet{
		sum: binary.BigEndian.Uint32(b), seq: binary.BigEndian.Uint32(b[4:]), ack: binary.BigEndian.Uint32(b[8:]), flags: b[14],
		dport: binary.BigEndian.Uint16(b[16:]), dst: [4]byte(b[18:]), src: [4]byte(b[22:]), sport: binary.BigEndian.Uint16(b[26:]),
		echo: binary.BigEndian.Uint32(b[28:]), data: append([]byte(nil), b[headLen:]...),
	}
	return p, p.sum == sumOf(b)
}

// ip4 returns the bytes of an IPv4 address.
func ip4(text string) (b [4]byte) {
	copy(b[:], net.ParseIP(text).To4())
	return b
}
