// Package standin simulates the environment of the load balancer in tests and
// the demo: a network fabric that sprays packets over the entries, backend
// servers, and clients that open flows and send requests. Their counts are
// independent of those of the load balancer.
package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"oxbowsaddle/internal/packet"
)

const (
	maxPacketBytes    = 9216
	socketBufferBytes = 4 << 20
)

type (
	// Fabric sends each packet of a client to a random entry, and delivers the
	// packets that it gets from entries to the clients.
	Fabric struct {
		conn      *net.UDPConn
		encoder   *packet.Encoder
		mu        sync.Mutex
		rng       *rand.Rand
		entries   map[string]netip.AddrPort
		hidden    map[string]bool  // cut off from the clients, by name
		reachable []netip.AddrPort // entries that are not hidden
		receivers map[netip.AddrPort]func(*packet.Packet)
	}
)

// NewFabric opens the fabric's socket and starts to deliver packets.
func NewFabric(addr netip.AddrPort, seed uint64) (*Fabric, error) {
	conn, err := listenUDP(addr)
	if err != nil {
		return nil, err
	}
	encoder, err := packet.NewEncoder()
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	f := &Fabric{
		conn: conn, encoder: encoder, rng: rand.New(rand.NewPCG(seed, 5)),
		entries: map[string]netip.AddrPort{}, hidden: map[string]bool{}, receivers: map[netip.AddrPort]func(*packet.Packet){},
	}
	go f.run()
	return f, nil
}

func listenUDP(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("stand-in socket: %w", err)
	}
	if err := errors.Join(conn.SetReadBuffer(socketBufferBytes), conn.SetWriteBuffer(socketBufferBytes)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return conn, nil
}

// Addr returns the address to which entries send packets for clients.
func (f *Fabric) Addr() netip.AddrPort { return localAddr(f.conn) }

func localAddr(conn *net.UDPConn) netip.AddrPort {
	addr, ok := conn.LocalAddr().(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	a := addr.AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket.
func (f *Fabric) Close() error { return f.conn.Close() }

// AddEntry adds an entry to those that get packets of clients.
func (f *Fabric) AddEntry(name string, addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries[name] = addr
	f.updateReachable()
}

// RemoveEntry removes an entry.
func (f *Fabric) RemoveEntry(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, name)
	f.updateReachable()
}

func (f *Fabric) updateReachable() {
	f.reachable = f.reachable[:0]
	for name, addr := range f.entries {
		if !f.hidden[name] {
			f.reachable = append(f.reachable, addr)
		}
	}
}

// SetHidden cuts entries off from the clients, or reconnects them.
func (f *Fabric) SetHidden(names []string, hidden bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.hidden[name] = hidden
	}
	f.updateReachable()
}

// PickAmong returns a random entry among the allowed ones, hidden or not.
func (f *Fabric) PickAmong(isAllowed func(name string) bool) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var candidates []netip.AddrPort
	for name, addr := range f.entries {
		if isAllowed(name) {
			candidates = append(candidates, addr)
		}
	}
	if len(candidates) == 0 {
		return netip.AddrPort{}, false
	}
	return candidates[f.rng.IntN(len(candidates))], true
}

// Pick returns a random entry that is not hidden.
func (f *Fabric) Pick() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.reachable) == 0 {
		return netip.AddrPort{}, false
	}
	return f.reachable[f.rng.IntN(len(f.reachable))], true
}

// Attach sets the function that receives packets for a client's address.
func (f *Fabric) Attach(client netip.AddrPort, receive func(*packet.Packet)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.receivers[client] = receive
}

// Detach removes the receiver of a client's address.
func (f *Fabric) Detach(client netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.receivers, client)
}

// Send sends a client's packet, given without encapsulation, to a random entry.
func (f *Fabric) Send(inner []byte) {
	to, ok := f.Pick()
	if !ok {
		return
	}
	// A datagram that cannot be sent is lost, as on a real network.
	_, _ = f.conn.WriteToUDPAddrPort(f.encoder.AppendPlain(nil, inner), to)
}

func (f *Fabric) run() {
	var d packet.Decoder
	var p packet.Packet
	buffer := make([]byte, maxPacketBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || d.Decode(buffer[:n], &p) != packet.Decoded {
			continue
		}
		f.mu.Lock()
		receive := f.receivers[p.Tuple().Dst()]
		f.mu.Unlock()
		if receive != nil {
			receive(p.Clone())
		}
	}
}
