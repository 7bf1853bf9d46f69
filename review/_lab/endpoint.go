package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// flowKey names a flow by the addresses of a client's packets.
type flowKey struct{ src, dst netip.AddrPort }

// endpoint is a stand-in of one endpoint, at one address through all its starts.
type endpoint struct {
	lab     *lab
	id      string // kept by all starts
	number  uint64 // the hex digits of the id
	service string
	zone    string
	addr    netip.AddrPort
	slots   int
	work    time.Duration
	warmup  time.Duration // announced after a start

	mu     sync.Mutex
	life   *life     // nil while it is down
	cut    bool      // from control: no heartbeat arrives there
	healed time.Time // end of the last cut
}

// setCut cuts the endpoint off from the machines that serve control, or ends that. Entries and
// clients still reach it, and it them.
func (e *endpoint) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	if !cut {
		e.healed = time.Now()
	}
	e.lab.record.add("endpoint %s is cut off from control: %v", e.id, cut)
}

// calm reports whether the endpoint has not been cut off in the last contactMs.
func (e *endpoint) calm() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.cut && time.Since(e.healed) >= contactTime
}

// isCut reports whether the endpoint is cut off from control.
func (e *endpoint) isCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cut
}

// life is one start of an endpoint.
type life struct {
	e        *endpoint
	born     time.Time
	udp      *net.UDPConn
	http     *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
	slotsSem chan struct{}

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	draining bool
	sequence uint64
	dead     bool
}

// serverFlow is the endpoint's end of a flow.
type serverFlow struct {
	iss, next, una uint32 // own sequence numbers: initial, next and oldest that is not acknowledged
	rcv            uint32 // next sequence number of the client
	echo           uint32
	open           bool
	openAt         time.Time
	input          []byte
	unacked        []pkt
	tries          int
	resendAt       time.Time
	ackDue         time.Time
}

// start starts the endpoint: it listens, and then sends its first heartbeat.
func (e *endpoint) start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.addr))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", e.addr.String())
	if err != nil {
		_ = conn.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{e: e, born: time.Now(), udp: conn, cancel: cancel, ctx: ctx, slotsSem: make(chan struct{}, e.slots), flows: map[flowKey]*serverFlow{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", l.health)
	l.http = &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second}
	go func() { _ = l.http.Serve(listener) }()
	e.mu.Lock()
	e.life = l
	e.mu.Unlock()
	e.lab.record.add("endpoint %s starts at %s, born %d", e.id, e.addr, l.born.UnixMilli())
	go l.receive()
	go l.timers()
	go l.heartbeats()
	return nil
}

// crash ends the endpoint without a word. It forgets its flows.
func (e *endpoint) crash() {
	e.mu.Lock()
	l := e.life
	e.life = nil
	e.mu.Unlock()
	if l == nil {
		return
	}
	l.mu.Lock()
	l.dead = true
	l.mu.Unlock()
	l.cancel()
	_ = l.udp.Close()
	_ = l.http.Close()
	e.lab.record.add("endpoint %s crashes", e.id)
}

// current returns the start that runs, nil if there is none.
func (e *endpoint) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (l *life) health(w http.ResponseWriter, _ *http.Request) {
	l.slotsSem <- struct{}{}
	defer func() { <-l.slotsSem }()
	w.Header().Set("X-Oxbowsaddle-Instance-Id", l.e.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// heartbeats sends a heartbeat at the start, and then about every heartbeat interval.
func (l *life) heartbeats() {
	node := rand.IntN(len(l.e.lab.controls))
	for l.ctx.Err() == nil {
		wait := time.After(time.Duration((0.95 + 0.1*rand.Float64()) * float64(heartbeatInterval)))
		for range 3 {
			if l.beat(l.e.lab.controls[node%len(l.e.lab.controls)]) {
				break
			}
			node++
		}
		select {
		case <-l.ctx.Done():
		case <-wait:
		}
	}
}

// drain makes the endpoint say that it leaves, at once and in all later heartbeats, until that is
// acknowledged.
func (l *life) drain() bool {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	for i := range 10 {
		if l.beat(l.e.lab.controls[i%len(l.e.lab.controls)]) {
			return true
		}
	}
	return false
}

// beat sends one heartbeat and reports whether it was acknowledged within a second.
func (l *life) beat(c *process) bool {
	l.mu.Lock()
	l.sequence++
	state := "ready"
	if l.draining {
		state = "draining"
	}
	body := map[string]any{
		"service": l.e.service, "address": l.e.addr.String(), "zone": l.e.zone, "version": "v1", "slots": l.e.slots, "state": state,
		"warmupLeftMs": max(0, (l.e.warmup - time.Since(l.born)).Milliseconds()), "sequence": l.sequence, "born": l.born.UnixMilli(),
	}
	l.mu.Unlock()
	if l.e.isCut() { // silence: the caller gives up after a second
		select {
		case <-l.ctx.Done():
		case <-time.After(time.Second):
		}
		return false
	}
	status := l.e.lab.call(l.ctx, "PUT", c, "/v1/instances/"+l.e.id, body)
	if l.ctx.Err() == nil {
		l.e.lab.record.add("heartbeat of %s sequence %d %s to %s: %d", l.e.id, body["sequence"], state, c.name, status)
	}
	return status/100 == 2
}

func (l *life) receive() {
	buf := make([]byte, 4096)
	for {
		n, from, err := l.udp.ReadFromUDPAddrPort(buf)
		if l.ctx.Err() != nil {
			return
		}
		if err != nil || n < numberLn+headLen {
			continue
		}
		if number := binary.BigEndian.Uint64(buf); number != 0 && number != l.e.number {
			continue // meant for another endpoint
		}
		p, sound := decode(buf[numberLn:n])
		if !sound {
			l.e.lab.unsound.Add(1)
			l.e.lab.record.add("UNASKED: a packet in another form reaches %s", l.e.id)
			continue
		}
		l.mu.Lock()
		l.handle(p, from.Addr())
		l.mu.Unlock()
	}
}

// handle handles a packet of a client. The caller holds the lock.
func (l *life) handle(p pkt, from netip.Addr) {
	key := flowKey{p.src, p.dst}
	f := l.flows[key]
	if p.flags&flagSYN != 0 {
		if p.flags&flagACK != 0 {
			return
		}
		if f == nil {
			f = &serverFlow{iss: rand.Uint32(), rcv: p.seq + 1}
			f.next, f.una = f.iss+1, f.iss
			l.flows[key] = f
		}
		f.echo = p.echo
		l.e.lab.record.add("SYN copy %d of %s to %s, from %s, is taken by %s in %s", p.ack, key.src, key.dst, from, l.e.id, l.e.zone)
		l.e.lab.taken(l, from)
		l.send(key, f, pkt{flags: flagSYN | flagACK, seq: f.iss, ack: f.rcv})
		return
	}
	if f == nil {
		if p.flags&flagRST == 0 {
			l.e.lab.record.add("reset by %s: it does not hold the flow of %s", l.e.id, key.src)
			l.sendReset(key, p)
		}
		return
	}
	f.echo = p.echo
	if p.flags&flagRST != 0 {
		delete(l.flows, key)
		return
	}
	if !f.open {
		if p.ack != f.iss+1 {
			return
		}
		f.open, f.openAt, f.una = true, time.Now(), f.iss+1
		l.e.lab.opened(key, l)
	}
	if int32(p.ack-f.una) > 0 {
		f.una, f.tries = p.ack, 0
		kept := f.unacked[:0]
		for _, u := range f.unacked {
			if int32(u.seq+uint32(len(u.data))-p.ack) > 0 {
				kept = append(kept, u)
			}
		}
		f.unacked = kept
		f.resendAt = time.Now().Add(200 * time.Millisecond)
	}
	if len(p.data) > 0 {
		if p.seq == f.rcv {
			f.rcv += uint32(len(p.data))
			f.input = append(f.input, p.data...)
			l.requests(key, f)
		}
		f.ackDue = time.Now().Add(20 * time.Millisecond)
	}
	if p.flags&flagFIN != 0 {
		l.send(key, f, pkt{flags: flagFIN | flagACK, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1})
		l.e.lab.closed(key)
		delete(l.flows, key)
	}
}

// requests runs the whole requests in the input of a flow.
func (l *life) requests(key flowKey, f *serverFlow) {
	for {
		end := bytes.Index(f.input, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		head := string(f.input[:end])
		f.input = f.input[end+4:]
		id := ""
		for _, line := range strings.Split(head, "\r\n") {
			if name, value, ok := strings.Cut(line, ": "); ok && name == "X-Oxbowsaddle-Request-Id" {
				id = value
			}
		}
		go l.run(key, f, id)
	}
}

// run works on one request and answers it.
func (l *life) run(key flowKey, f *serverFlow, id string) {
	select {
	case l.slotsSem <- struct{}{}:
	case <-l.ctx.Done():
		return
	}
	l.e.lab.ran(id, l)
	time.Sleep(l.e.work)
	<-l.slotsSem
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead || l.flows[key] != f {
		return
	}
	body := "done " + id
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Oxbowsaddle-Server-Stamp: %s-%d\r\nX-Oxbowsaddle-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", l.e.id, l.born.UnixMilli(), id, len(body), body)
	p := pkt{flags: flagACK, seq: f.next, ack: f.rcv, data: []byte(answer)}
	f.next += uint32(len(answer))
	f.unacked = append(f.unacked, p)
	f.resendAt = time.Now().Add(200 * time.Millisecond)
	l.send(key, f, p)
	if l.draining { // it closes each flow after its next answer
		l.send(key, f, pkt{flags: flagFIN | flagACK, seq: f.next, ack: f.rcv})
		f.next++
		l.e.lab.closed(key)
	}
}

// send sends a packet of the endpoint directly to the client.
func (l *life) send(key flowKey, f *serverFlow, p pkt) {
	p.src, p.dst, p.echo = key.dst, key.src, f.echo
	if p.flags&flagACK != 0 {
		f.ackDue = time.Time{}
	}
	_, _ = l.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.src.Addr(), l.e.lab.packetPort))
}

func (l *life) sendReset(key flowKey, p pkt) {
	r := pkt{flags: flagRST, seq: p.ack, ack: p.seq, src: key.dst, dst: key.src, echo: p.echo}
	_, _ = l.udp.WriteToUDPAddrPort(r.encode(), netip.AddrPortFrom(key.src.Addr(), l.e.lab.packetPort))
}

// timers sends again what was not acknowledged, and late acknowledgements.
func (l *life) timers() {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-ticker.C:
			l.mu.Lock()
			for key, f := range l.flows {
				if len(f.unacked) > 0 && now.After(f.resendAt) {
					if f.tries++; f.tries > 8 {
						delete(l.flows, key)
						continue
					}
					for _, u := range f.unacked {
						u.ack = f.rcv
						l.send(key, f, u)
					}
					f.resendAt = now.Add(min(1600*time.Millisecond, 200*time.Millisecond<<f.tries))
				}
				if !f.ackDue.IsZero() && now.After(f.ackDue) {
					l.send(key, f, pkt{flags: flagACK, seq: f.next, ack: f.rcv})
				}
			}
			l.mu.Unlock()
		}
	}
}

// call makes one call to a control instance as the pages have it: redirects up to twice, a
// second for the answer. It returns the status, 0 for no answer.
func (b *lab) call(ctx context.Context, method string, c *process, path string, body any) int {
	status, _ := b.callBody(ctx, method, c, path, body)
	return status
}

func (b *lab) callBody(ctx context.Context, method string, c *process, path string, body any) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var raw []byte
	switch v := body.(type) {
	case nil:
	case []byte:
		raw = v
	default:
		raw, _ = json.Marshal(body)
	}
	url := "http://" + c.control + path
	for range 3 {
		r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
		if err != nil {
			return 0, nil
		}
		if raw != nil {
			r.Header.Set("Content-Type", "application/json")
		}
		resp, err := b.http.Do(r)
		if err != nil {
			return 0, nil
		}
		answer, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return 0, nil
		}
		if resp.StatusCode != http.StatusTemporaryRedirect {
			return resp.StatusCode, answer
		}
		url = resp.Header.Get("Location")
	}
	return http.StatusTemporaryRedirect, nil
}
