package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// endpoint is one incarnation of a backend server.
type endpoint struct {
	record    *recorder
	id        string
	number    uint64
	service   string
	zone      string
	address   string // IP:port
	slots     int
	work      time.Duration
	heartbeat time.Duration
	controls  []*machine
	quiet     bool // requests are not recorded one by one
	conn      *net.UDPConn
	health    *http.Server
	stopped   chan struct{}

	mu       sync.Mutex
	sequence int
	cut      bool // its calls get no answer
	draining bool
	acked    bool // its draining was acknowledged
	flows    map[string]*served
	ran      map[string]int // how often a request has run, by id
	ranAt    map[string]time.Time
	resets   int // RSTs sent
	busy     int
	queue    []func()
	beatAt   time.Time // last heartbeat that was acknowledged
}

// served is a flow at an endpoint.
type served struct {
	client       *net.UDPAddr
	in           packet // a packet of the client, for the addresses
	iss          uint32
	next         uint32 // next byte expected
	sent         uint32 // sequence number after the last byte sent
	acked        uint32 // acknowledged by the client
	open         bool
	echo         uint32
	unackedCount int // packets received since the last acknowledgement sent
	waiting      []byte
}

// start listens for packets and for health checks, and begins with heartbeats.
func (e *endpoint) start() error {
	udp, err := net.ResolveUDPAddr("udp4", e.address)
	if err != nil {
		return err
	}
	if e.conn, err = net.ListenUDP("udp4", udp); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", e.address)
	if err != nil {
		return err
	}
	e.ranAt = map[string]time.Time{}
	e.stopped, e.flows, e.ran = make(chan struct{}), map[string]*served{}, map[string]int{}
	e.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Oxbowsaddle-Instance-Id", e.id)
	})}
	go func() { _ = e.health.Serve(listener) }()
	go e.packetLoop()
	go e.heartbeatLoop()
	e.record.printf("endpoint %s starts at %s", e.id, e.address)
	return nil
}

// crash ends the endpoint; it says nothing.
func (e *endpoint) crash() {
	select {
	case <-e.stopped:
		return
	default:
	}
	close(e.stopped)
	_ = e.conn.Close()
	_ = e.health.Close()
}

// beatBody returns the body of the next heartbeat.
func (e *endpoint) beatBody() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"warmupLeftMs":0,"sequence":%d}`,
		e.service, e.address, e.zone, e.slots, state, e.sequence)
}

// heartbeatLoop sends heartbeats, each to the next control instance after one without an answer.
func (e *endpoint) heartbeatLoop() {
	at := 0
	for {
		e.mu.Lock()
		cut := e.cut
		e.mu.Unlock()
		if !cut {
			for range e.controls {
				a := e.controls[at%len(e.controls)].call("PUT", "/v1/instances/"+e.id, e.beatBody())
				if a.status == http.StatusOK {
					e.mu.Lock()
					e.beatAt = time.Now()
					e.acked = e.acked || e.draining
					e.mu.Unlock()
					break
				}
				at++
			}
		}
		select {
		case <-e.stopped:
			return
		case <-time.After(e.heartbeat):
		}
	}
}

// packetLoop handles the datagrams of entries.
func (e *endpoint) packetLoop() {
	buf := make([]byte, 2048)
	for {
		n, err := e.conn.Read(buf)
		if err != nil {
			return
		}
		if n < numberLen {
			continue
		}
		if number := binary.BigEndian.Uint64(buf); number != 0 && number != e.number {
			continue // for another incarnation: it stays silent
		}
		p, intact := decode(buf[numberLen:n])
		if intact {
			e.handle(p)
		}
	}
}

// flowName names a flow by its client's address and port, and the route.
func flowName(p packet) string { return fmt.Sprint(p.src, p.sport, p.dst, p.dport) }

// handle handles one packet of a client.
func (e *endpoint) handle(p packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.flows[flowName(p)]
	switch {
	case p.flags == flagSYN:
		if f == nil {
			f = &served{client: &net.UDPAddr{IP: net.IP(p.src[:]), Port: packetPort}, in: p, iss: uint32(e.number)*7919 + p.seq, next: p.seq + 1}
			f.sent, f.acked = f.iss+1, f.iss
			e.flows[flowName(p)] = f
		}
		f.echo = p.echo
		e.send(f, flagSYN|flagACK, f.iss, nil)
		return
	case f == nil:
		e.resets++
		r := packet{flags: flagRST, src: p.dst, dst: p.src, sport: p.dport, dport: p.sport, seq: p.ack, echo: p.echo}
		_, _ = e.conn.WriteToUDP(r.encode(), &net.UDPAddr{IP: net.IP(p.src[:]), Port: packetPort})
		return
	}
	f.echo = p.echo
	if p.flags&flagRST != 0 {
		delete(e.flows, flowName(p))
		return
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked, f.open = p.ack, true
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.next {
		f.next += uint32(len(p.data))
		e.receive(f, p.data)
	}
	if f.unackedCount++; f.unackedCount >= 2 { // each second packet is acknowledged
		e.send(f, flagACK, f.sent, nil)
	}
}

// receive takes the bytes of requests; each request here is one packet.
func (e *endpoint) receive(f *served, data []byte) {
	id := ""
	for _, line := range strings.Split(string(data), "\r\n") {
		if value, found := strings.CutPrefix(line, "X-Oxbowsaddle-Request-Id: "); found {
			id = value
		}
	}
	e.queue = append(e.queue, func() {
		e.ran[id]++
		e.ranAt[id] = time.Now()
		if !e.quiet {
			e.record.printf("endpoint %s runs request %s", e.id, id)
		}
		time.AfterFunc(e.work, func() { e.finish(f, id) })
	})
	e.dispatch()
}

// dispatch starts queued requests while slots are free.
func (e *endpoint) dispatch() {
	for e.busy < e.slots && len(e.queue) > 0 {
		e.busy++
		next := e.queue[0]
		e.queue = e.queue[1:]
		next()
	}
}

// finish answers a request.
func (e *endpoint) finish(f *served, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy--
	e.dispatch()
	body := "done " + id
	data := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Oxbowsaddle-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	seq := f.sent
	f.sent += uint32(len(data))
	e.transmit(f, seq, data, 200*time.Millisecond, 8)
}

// transmit sends an answer, again until it is acknowledged.
func (e *endpoint) transmit(f *served, seq uint32, data []byte, pause time.Duration, tries int) {
	select {
	case <-e.stopped:
		return
	default:
	}
	if tries == 0 || int32(f.acked-seq) >= int32(len(data)) {
		return
	}
	e.send(f, flagACK, seq, data)
	time.AfterFunc(pause, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.transmit(f, seq, data, min(2*pause, 1600*time.Millisecond), tries-1)
	})
}

// send sends one packet to the client, with the last echo received.
func (e *endpoint) send(f *served, flags byte, seq uint32, data []byte) {
	f.unackedCount = 0
	p := packet{
		flags: flags, src: f.in.dst, dst: f.in.src, sport: f.in.dport, dport: f.in.sport, seq: seq, ack: f.next, echo: f.echo, data: data,
	}
	_, _ = e.conn.WriteToUDP(p.encode(), f.client)
}

// holds reports whether the endpoint holds a flow of a client's port, and whether it is open.
func (e *endpoint) holds(port uint16) (held, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range e.flows {
		if f.in.sport == port {
			return true, f.open
		}
	}
	return false, false
}
