package instance

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"

	"oxbowsaddle/internal/fault"
)

const (
	batchSize        = 64
	maxDatagramBytes = 9216 // a jumbo frame with tunnel header
)

// batchConn reads and writes UDP datagrams in batches, over IPv4 or IPv6.
type batchConn struct {
	udp    *net.UDPConn
	read   func([]ipv4.Message, int) (int, error)
	write  func([]ipv4.Message, int) (int, error)
	in     []ipv4.Message
	out    []ipv4.Message
	queued int
	addrs  map[netip.AddrPort]*net.UDPAddr
}

func newBatchConn(addr netip.AddrPort, queueBytes int) (*batchConn, error) {
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fault.Wrap(listenKind(err), fmt.Errorf("packet address: %w", err))
	}
	if err := errors.Join(udp.SetReadBuffer(queueBytes), udp.SetWriteBuffer(queueBytes)); err != nil {
		return nil, fault.Wrap(fault.InvalidSettings, errors.Join(err, udp.Close()))
	}
	b := &batchConn{udp: udp, addrs: map[netip.AddrPort]*net.UDPAddr{}}
	if addr.Addr().Is4() {
		p := ipv4.NewPacketConn(udp)
		b.read, b.write = p.ReadBatch, p.WriteBatch
	} else {
		p := ipv6.NewPacketConn(udp)
		b.read, b.write = p.ReadBatch, p.WriteBatch
	}
	b.in, b.out = newMessages(), newMessages()
	return b, nil
}

func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	return messages
}

// receive returns the next batch of datagrams, or none at the deadline. The batch is
// valid until the next call.
func (b *batchConn) receive(deadline time.Time) ([]ipv4.Message, error) {
	if err := b.udp.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	n, err := b.read(b.in, 0)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil, nil
		}
		return nil, err
	}
	return b.in[:n], nil
}

// nextBuffer returns the empty buffer of the next datagram to send.
func (b *batchConn) nextBuffer() []byte { return b.out[b.queued].Buffers[0][:0] }

// enqueue queues a datagram that was appended to the buffer of nextBuffer, and flushes
// a full batch.
func (b *batchConn) enqueue(data []byte, to netip.AddrPort) error {
	m := &b.out[b.queued]
	m.Buffers[0] = data
	m.Addr = b.udpAddr(to)
	b.queued++
	if b.queued == len(b.out) {
		return b.flush()
	}
	return nil
}

// udpAddr converts an address. The results are cached to avoid allocations.
func (b *batchConn) udpAddr(to netip.AddrPort) *net.UDPAddr {
	const maxAddrs = 1 << 16
	a := b.addrs[to]
	if a == nil {
		if len(b.addrs) >= maxAddrs {
			clear(b.addrs)
		}
		a = net.UDPAddrFromAddrPort(to)
		b.addrs[to] = a
	}
	return a
}

// flush sends the queued datagrams. A datagram that the kernel rejects is dropped.
func (b *batchConn) flush() error {
	sent := 0
	for sent < b.queued {
		n, err := b.write(b.out[sent:b.queued], 0)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		sent += max(n, 1)
	}
	b.queued = 0
	return nil
}
