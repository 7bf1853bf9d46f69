package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// clientHost is a stand-in of the clients of one address. Its flows differ by port.
type clientHost struct {
	lab  *lab
	addr netip.Addr
	udp  *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	host     *clientHost
	key      flowKey
	iss, seq uint32 // initial and next sequence number
	peer     uint32 // next sequence number of the endpoint
	echo     uint32
	open     bool
	events   chan string // "open", "answer", "reset by the system", "reset by an endpoint"
	input    []byte
	unacked  *pkt
	tries    int
	resendAt time.Time
	ended    bool
}

func newClientHost(b *lab, addr netip.Addr) (*clientHost, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, b.packetPort)))
	if err != nil {
		return nil, err
	}
	h := &clientHost{lab: b, addr: addr, udp: conn, flows: map[uint16]*clientFlow{}, port: uint16(1024 + rand.IntN(20000))}
	go h.receive()
	go h.timers()
	return h, nil
}

// dial opens a flow to a route: a SYN, and copies after 200 and 600 ms. It gives up after 1.4 s.
// The result is "open" or why it failed.
func (h *clientHost) dial(dst netip.AddrPort) (*clientFlow, string) {
	h.mu.Lock()
	h.port++
	if h.port < 1024 {
		h.port = 1024
	}
	f := &clientFlow{host: h, key: flowKey{netip.AddrPortFrom(h.addr, h.port), dst}, iss: rand.Uint32(), events: make(chan string, 64)}
	f.seq = f.iss + 1
	h.flows[h.port] = f
	h.mu.Unlock()
	start := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		select {
		case e := <-f.events:
			if e != "open" {
				f.forget()
			}
			return f, e
		case <-time.After(time.Until(start.Add(at))):
		}
		if i < 3 {
			h.mu.Lock()
			if !f.open {
				h.send(&pkt{flags: flagSYN, seq: f.iss, ack: uint32(i), src: f.key.src, dst: dst})
			}
			h.mu.Unlock()
		}
	}
	f.forget()
	return f, "no answer"
}

// request sends a request on an open flow and waits for its answer.
func (f *clientFlow) request(id string, deadline time.Duration) string {
	h := f.host
	h.lab.sent(id)
	h.mu.Lock()
	text := fmt.Sprintf("POST /work HTTP/1.1\r\nHost: x\r\nX-Oxbowsaddle-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	p := &pkt{flags: flagACK, seq: f.seq, ack: f.peer, src: f.key.src, dst: f.key.dst, data: []byte(text)}
	f.seq += uint32(len(text))
	f.unacked, f.tries, f.resendAt = p, 0, time.Now().Add(200*time.Millisecond)
	p.echo = f.echo
	h.send(p)
	h.mu.Unlock()
	timeout := time.After(deadline)
	for {
		select {
		case e := <-f.events:
			if e == "open" {
				continue
			}
			return e
		case <-timeout:
			return "no answer"
		}
	}
}

// finish closes the flow.
func (f *clientFlow) finish() {
	f.host.mu.Lock()
	f.host.send(&pkt{flags: flagFIN | flagACK, seq: f.seq, ack: f.peer, src: f.key.src, dst: f.key.dst, echo: f.echo})
	f.host.mu.Unlock()
	f.forget()
}

func (f *clientFlow) forget() {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	if f.host.flows[f.key.src.Port()] == f {
		delete(f.host.flows, f.key.src.Port())
	}
}

// send gives a packet to the routers. The caller holds the lock.
func (h *clientHost) send(p *pkt) {
	if to, ok := h.lab.route(p.src, p.dst); ok {
		_, _ = h.udp.WriteToUDPAddrPort(p.encode(), to)
	}
}

func (h *clientHost) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := h.udp.ReadFromUDPAddrPort(buf)
		if h.lab.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		p, sound := decode(buf[:n])
		h.mu.Lock()
		h.handle(p, sound)
		h.mu.Unlock()
	}
}

// handle handles a packet. The caller holds the lock.
func (h *clientHost) handle(p pkt, sound bool) {
	f := h.flows[p.dst.Port()]
	if f == nil || f.ended || f.key.dst != p.src {
		return
	}
	if p.flags&flagRST != 0 {
		system := p.sum == 0 && len(p.data) == 0
		if !sound && !system {
			h.lab.unsound.Add(1)
			return
		}
		f.ended, f.unacked = true, nil
		if system {
			h.lab.systemReset(f.key, f.open)
			f.events <- "reset by the system"
			return
		}
		h.lab.record.add("client %s is reset by an endpoint", f.key.src)
		f.events <- "reset by an endpoint"
		return
	}
	if !sound {
		h.lab.unsound.Add(1)
		h.lab.record.add("MIXED: a packet in another form reaches %s", f.key.src)
		return
	}
	if p.flags&flagSYN != 0 {
		if p.ack != f.iss+1 || f.open {
			return
		}
		f.open, f.peer, f.echo = true, p.seq+1, p.echo
		h.send(&pkt{flags: flagACK, seq: f.seq, ack: f.peer, src: f.key.src, dst: f.key.dst, echo: f.echo})
		f.events <- "open"
		return
	}
	if !f.open {
		return
	}
	f.echo = p.echo
	if f.unacked != nil && int32(p.ack-f.seq) >= 0 {
		f.unacked = nil
	}
	if len(p.data) > 0 {
		if p.seq == f.peer {
			f.peer += uint32(len(p.data))
			f.input = append(f.input, p.data...)
		}
		h.send(&pkt{flags: flagACK, seq: f.seq, ack: f.peer, src: f.key.src, dst: f.key.dst, echo: f.echo})
		if i := bytes.Index(f.input, []byte("\r\n\r\n")); i >= 0 {
			f.events <- "answer " + string(f.input[i+4:])
			f.input = nil
		}
	}
	if p.flags&flagFIN != 0 {
		f.ended = true
		f.events <- "closed by the endpoint"
	}
}

// timers sends again what was not acknowledged.
func (h *clientHost) timers() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-h.lab.ctx.Done():
			return
		case now := <-ticker.C:
			h.mu.Lock()
			for _, f := range h.flows {
				if f.unacked != nil && now.After(f.resendAt) {
					f.tries++
					f.unacked.echo, f.unacked.ack = f.echo, f.peer
					h.send(f.unacked)
					f.resendAt = now.Add(min(1600*time.Millisecond, 200*time.Millisecond<<f.tries))
				}
			}
			h.mu.Unlock()
		}
	}
}
