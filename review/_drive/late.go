package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// The route and the service of case 2.
const (
	deskRoute   = "127.198.0.1"
	deskPort    = 8080
	deskService = "desk"
)

// deskConfiguration returns a configuration with one route.
func deskConfiguration() string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"r-a","host":%q,"pathPrefix":"/%d/","routeType":"unsafe","timeoutMs":8000,"targetLatencyMs":2000,"priority":1,"service":%q,"maxAttempts":2}],"services":[{"name":%q,"healthCheckPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		deskRoute, deskPort, deskService, deskService)
}

// heldCall is a call whose bytes a cut holds up. Its sender may end before they arrive.
type heldCall struct {
	listener net.Listener
	target   string
	release  chan struct{}
	once     sync.Once
	record   *recorder
}

// holdCall returns a proxy at an address that delivers the bytes of one connection to target only
// once it is released.
func holdCall(r *recorder, address, target string) (*heldCall, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	h := &heldCall{listener: l, target: target, release: make(chan struct{}), record: r}
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		raw, _ := io.ReadAll(conn) // until the sender has closed its side
		<-h.release
		out, err := net.Dial("tcp4", target)
		if err != nil {
			return
		}
		defer func() { _ = out.Close() }()
		_, _ = out.Write(raw)
		_ = out.SetReadDeadline(time.Now().Add(time.Second))
		buf := make([]byte, 64)
		n, _ := out.Read(buf)
		r.printf("the heartbeat that was held up has arrived: %.15q", buf[:n])
	}()
	return h, nil
}

func (h *heldCall) deliver() { h.once.Do(func() { close(h.release) }) }

// lateHeartbeat: an endpoint starts, its first heartbeat is held up by a cut, and it crashes behind
// the cut. Another incarnation starts at its address and serves. Then the heartbeat arrives.
func lateHeartbeat(r run) (int, error) {
	const (
		heartbeat = 1200 * time.Millisecond
		cutLength = 6400 * time.Millisecond
		arrival   = 12600 * time.Millisecond // of the late heartbeat, after the cut has begun: the sixth try of TCP
		work      = time.Second
		beatPause = 1300 * time.Millisecond // of the live incarnation: "about every heartbeatMs"
	)
	f, err := newFleet(r.record, qasr)
	if err != nil {
		return unable, err
	}
	atEnd(f.end)
	defer f.end()
	var controls []*machine
	for i, zone := range qasr.zones {
		controls = append(controls, f.add("control", "core-"+zone+"-1", zone, 11+i))
	}
	for _, m := range controls[:3] {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	entries := []*machine{f.add("entry", "edge-amman-a-1", "amman-a", 21), f.add("entry", "edge-amman-a-2", "amman-a", 22)}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return unable, err
		}
	}
	if !putUntilAcknowledgedBody(r, controls, deskConfiguration(), 10*time.Second) {
		return unable, fmt.Errorf("the configuration was not acknowledged")
	}
	newEndpoint := func(number uint64, zone string, host int) *endpoint {
		return &endpoint{
			record: r.record, id: fmt.Sprintf("i-%08x", number), number: number, service: deskService, zone: zone,
			address: fmt.Sprintf("%s:8080", f.addr(host)), slots: 2, work: work, heartbeat: heartbeat, controls: controls,
		}
	}
	for i := range 9 { // so that the cut hits one endpoint in ten
		e := newEndpoint(0x1b000001+uint64(i), qasr.zones[1+i%3], 41+i)
		if err := e.start(); err != nil {
			return unable, err
		}
		defer e.crash()
	}
	c, err := newClient(r.record, f.addr(61))
	if err != nil {
		return unable, err
	}
	time.Sleep(3 * time.Second)

	t0 := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(t0.Add(d))) }
	old, live := newEndpoint(0x1a000001, "amman-a", 31), newEndpoint(0x1a000002, "amman-a", 31)
	live.heartbeat = beatPause
	var late *heldCall
	if r.trouble {
		r.record.printf("the endpoints at %s are cut off from all machines for %s", old.address, cutLength)
		if late, err = holdCall(r.record, fmt.Sprintf("%s:18100", f.addr(71)), fmt.Sprintf("%s:%d", controls[0].ip, controlPort)); err != nil {
			return unable, err
		}
		defer func() { _ = late.listener.Close() }()
		sender, err := net.Dial("tcp4", late.listener.Addr().String())
		if err != nil {
			return unable, err
		}
		body := old.beatBody()
		_, _ = fmt.Fprintf(sender, "PUT /v1/instances/%s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", old.id, len(body), body)
		r.record.printf("endpoint %s starts at %s and sends its first heartbeat, which the cut holds up", old.id, old.address)
		at(time.Second)
		_ = sender.Close()
		r.record.printf("endpoint %s crashes", old.id)
	}
	at(3 * time.Second) // addrReuseS is 2
	live.cut = r.trouble
	if err := live.start(); err != nil {
		return unable, err
	}
	defer live.crash()
	at(cutLength)
	live.mu.Lock()
	live.cut = false
	live.mu.Unlock()
	r.record.printf("no link is cut any more")
	at(cutLength + 2*heartbeat)

	// Long flows on the live incarnation, through one entry. Two of them carry requests.
	var onLive []*flow
	for range 8 {
		fl := c.openFlow(entries[0], deskRoute, deskPort)
		if _, open := live.holds(fl.port); open {
			onLive = append(onLive, fl)
		}
	}
	if len(onLive) < 2 {
		return unable, fmt.Errorf("no two flows were placed on %s", live.id)
	}
	for i, fl := range onLive[:2] {
		fl.request(fmt.Sprintf("early-%d", i))
	}
	at(arrival - 100*time.Millisecond)
	before := live.lastBeat()
	for !live.lastBeat().After(before) {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(225 * time.Millisecond)
	arrived := time.Now()
	r.record.printf("%s has been free of disruption for %.1f s", live.id, time.Since(t0.Add(cutLength)).Seconds())
	if r.trouble {
		late.deliver()
	}
	after := func(d time.Duration) { time.Sleep(time.Until(arrived.Add(d))) }
	after(270 * time.Millisecond)
	onLive[0].request("late-0")
	after(830 * time.Millisecond)
	onLive[1].request("late-1")
	after(6 * time.Second)

	resetAtOnce := 0
	for _, fl := range onLive {
		if open, reset, when := fl.state(); open && reset != nil && reset.sum == 0 {
			_, openThere := live.holds(fl.port)
			r.record.printf("flow of port %d, open at %s (%t), was reset by the system %.2f s after the late heartbeat", fl.port, live.id, openThere, when.Sub(arrived).Seconds())
			resetAtOnce++
		}
	}

	// A flow through the other entry. That entry is then stopped as planned, and the router hands
	// the flow's packets to the first one.
	var moved *flow
	for range 12 {
		fl := c.openFlow(entries[1], deskRoute, deskPort)
		if holds, _ := live.holds(fl.port); holds {
			moved = fl
			break
		}
	}
	resetMoved := 0
	if moved != nil {
		moved.request("moved-0")
		time.Sleep(2 * time.Second)
		r.record.printf("planned stop of %s; flow of port %d goes on through %s", entries[1].name, moved.port, entries[0].name)
		entries[1].signal(syscall.SIGTERM)
		time.Sleep(1200 * time.Millisecond)
		c.mu.Lock()
		moved.entry = entries[0]
		c.mu.Unlock()
		moved.request("moved-1")
		time.Sleep(3 * time.Second)
		if open, reset, when := moved.state(); open && reset != nil && reset.sum == 0 {
			r.record.printf("flow of port %d was reset by the system %.1f s after the late heartbeat", moved.port, when.Sub(arrived).Seconds())
			resetMoved++
		}
	}
	live.mu.Lock()
	r.record.printf("%s has sent %d resets and is alive; requests it ran: %v", live.id, live.resets, live.ran)
	live.mu.Unlock()
	for _, line := range entries[0].log("endpoint asked", "suspected", "endpoint_lost") {
		r.record.printf("log of %s: %s", entries[0].name, line)
	}
	r.record.printf("open flows of a live endpoint reset by the system: %d of %d at once, %d of 1 that moved", resetAtOnce, len(onLive), resetMoved)
	if resetAtOnce+resetMoved > 0 {
		return broken, nil
	}
	return held, nil
}

// lastBeat returns when the last heartbeat was acknowledged.
func (e *endpoint) lastBeat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beatAt
}
