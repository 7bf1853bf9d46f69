package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// client is a client with one address. Its flows differ in their ports.
type client struct {
	record *recorder
	quiet  bool // answers and requests are not recorded one by one
	ip     string
	conn   *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]*flow
	port   uint16
}

// flow is a flow of a client.
type flow struct {
	client   *client
	port     uint16
	dst      [4]byte
	dport    uint16
	entry    *machine // the entry that the router hands its packets to
	iss      uint32
	sent     uint32 // sequence number after the last byte sent
	acked    uint32 // acknowledged by the endpoint
	next     uint32 // next byte expected
	echo     uint32
	open     bool
	unacked  int
	reset    *packet // the reset received, nil for none
	resetAt  time.Time
	answers  int
	pending  string // id of the request without an answer
	openedAt time.Time
}

func newClient(r *recorder, ip string) (*client, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: packetPort})
	if err != nil {
		return nil, err
	}
	c := &client{record: r, ip: ip, conn: conn, flows: map[uint16]*flow{}, port: 40000}
	go c.packetLoop()
	return c, nil
}

func (c *client) packetLoop() {
	buf := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buf)
		if err != nil {
			return
		}
		p, intact := decode(buf[:n])
		if intact || p.flags == flagRST && p.sum == 0 {
			c.handle(p, intact)
		}
	}
}

// handle handles one packet of an endpoint, or a reset.
func (c *client) handle(p packet, byEndpoint bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.flows[p.dport]
	if f == nil || f.reset != nil || p.src != f.dst || p.sport != f.dport {
		return
	}
	if p.flags&flagRST != 0 {
		f.reset, f.resetAt = &p, time.Now()
		from := "the system"
		if byEndpoint {
			from = "an endpoint"
		}
		if !c.quiet {
			c.record.printf("client port %d: RST from %s, flow open: %t, request waiting: %q", f.port, from, f.open, f.pending)
		}
		return
	}
	f.echo = p.echo
	if p.flags&flagSYN != 0 {
		if !f.open {
			f.open, f.next, f.acked, f.openedAt = true, p.seq+1, p.ack, time.Now()
			f.send(flagACK, f.sent, nil)
		}
		return
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.next {
		f.next += uint32(len(p.data))
		f.answers++
		if !c.quiet {
			c.record.printf("client port %d: answer to %s", f.port, f.pending)
		}
		f.pending = ""
	}
	if f.unacked++; f.unacked >= 2 { // each second packet is acknowledged
		f.send(flagACK, f.sent, nil)
	}
}

// send sends one packet through the entry that the router picks.
func (f *flow) send(flags byte, seq uint32, data []byte) {
	f.unacked = 0
	p := packet{flags: flags, src: ip4(f.client.ip), sport: f.port, dst: f.dst, dport: f.dport, seq: seq, echo: f.echo, data: data}
	if flags != flagSYN {
		p.ack = f.next
	}
	_, _ = f.client.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: net.ParseIP(f.entry.ip), Port: packetPort})
}

// openFlow opens a flow through an entry: a SYN with copies after 200 and 600 ms, 1.4 s at most.
func (c *client) openFlow(entry *machine, dst string, dport uint16) *flow {
	c.mu.Lock()
	c.port++
	f := &flow{client: c, port: c.port, dst: ip4(dst), dport: dport, entry: entry, iss: uint32(c.port) * 100003}
	f.sent, f.acked = f.iss+1, f.iss
	c.flows[f.port] = f
	c.mu.Unlock()
	start := time.Now()
	for i, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		for time.Since(start) < at {
			time.Sleep(2 * time.Millisecond)
			c.mu.Lock()
			done := f.open || f.reset != nil
			c.mu.Unlock()
			if done {
				return f
			}
		}
		if i < 3 {
			c.mu.Lock()
			syn := packet{flags: flagSYN, src: ip4(c.ip), sport: f.port, dst: f.dst, dport: f.dport, seq: f.iss, ack: uint32(i)}
			_, _ = c.conn.WriteToUDP(syn.encode(), &net.UDPAddr{IP: net.ParseIP(entry.ip), Port: packetPort})
			c.mu.Unlock()
		}
	}
	return f
}

// request sends a request of one packet on the flow, again after 200 ms, 400 ms and so on until it
// is acknowledged.
func (f *flow) request(id string) {
	data := []byte(fmt.Sprintf("POST /issue HTTP/1.1\r\nHost: desk\r\nX-Oxbowsaddle-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id))
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	seq := f.sent
	f.sent += uint32(len(data))
	f.pending = id
	if !f.client.quiet {
		f.client.record.printf("client port %d: request %s through %s", f.port, id, f.entry.name)
	}
	f.transmit(seq, data, 200*time.Millisecond)
}

func (f *flow) transmit(seq uint32, data []byte, pause time.Duration) {
	if f.reset != nil || int32(f.acked-seq) >= int32(len(data)) || pause > 2*time.Second {
		return
	}
	f.send(flagACK, seq, data)
	time.AfterFunc(pause, func() {
		f.client.mu.Lock()
		defer f.client.mu.Unlock()
		f.transmit(seq, data, 2*pause)
	})
}

// state returns whether the flow is open, the reset received and when.
func (f *flow) state() (open bool, reset *packet, resetAt time.Time) {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	return f.open, f.reset, f.resetAt
}
