package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// restartTime is how long an endpoint that crashes is down: it is started again at once.
const restartTime = 50 * time.Millisecond

// cutTime is how long an endpoint is cut off from control.
const cutTime = 5 * time.Second

// pauseTime is how long a client rests between two requests: below idleTimeoutMs.
const pauseTime = 10 * time.Second

// config returns a configuration with one route for each service, by the ports of the routes.
func (b *lab) config(version int, routes map[uint16]string) map[string]any {
	var rs, ss []map[string]any
	seen := map[string]bool{}
	for port, service := range routes {
		rs = append(rs, map[string]any{
			"name": fmt.Sprintf("r-%d", port), "host": b.ip(9, 1), "pathPrefix": fmt.Sprintf("/%d/", port), "routeType": "safe", "timeoutMs": 2000,
			"targetLatencyMs": 200, "priority": 1, "service": service, "maxAttempts": 2,
		})
		if !seen[service] {
			seen[service] = true
			ss = append(ss, map[string]any{"name": service, "healthCheckPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": false})
		}
	}
	return map[string]any{
		"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// addEndpoint adds an endpoint that is not started yet.
func (b *lab) addEndpoint(n int, service, zone string) *endpoint {
	number := uint64(0x7f3a9000 + n)
	e := &endpoint{
		lab: b, id: fmt.Sprintf("i-%x", number), number: number, service: service, zone: zone,
		addr: netip.AddrPortFrom(netip.MustParseAddr(b.ip(3, n)), b.endPort), slots: 3, work: 5 * time.Millisecond,
	}
	b.endpoints = append(b.endpoints, e)
	return e
}

// reborn cuts an endpoint off from control, lets it crash behind the cut and start again at once
// under its id, and ends the cut.
func (b *lab) reborn(e *endpoint) {
	e.setCut(true)
	time.Sleep(300 * time.Millisecond)
	e.crash()
	time.Sleep(restartTime)
	if err := e.start(); err != nil {
		b.record.add("endpoint %s does not start: %v", e.id, err)
	}
	time.Sleep(cutTime - 300*time.Millisecond - restartTime)
	e.setCut(false)
}

// sameID: endpoints, one at a time, crash behind a cut and start again under their id. Clients
// keep flows open, with pauses. Long after the cut, a flow that the new start holds must not be
// reset by the system.
func sameID(b *lab, trouble bool) (int, error) {
	zones := []string{"plateau", "almadies", "diamniadio"}
	b.addMachines(3, 3, zones)
	if err := b.startAll(zones, 8); err != nil {
		return unable, err
	}
	for i := range 7 {
		e := b.addEndpoint(i+1, "booking", zones[i%3])
		e.work = 20 * time.Millisecond
		if err := e.start(); err != nil {
			return unable, err
		}
	}
	if b.order("PUT", "/v1/config", b.config(1, map[uint16]string{443: "booking"}), 15*time.Second) != 200 || !b.ready(15*time.Second) {
		return unable, errors.New("the deployment does not start")
	}
	time.Sleep(4 * time.Second)
	route := netip.AddrPortFrom(netip.MustParseAddr(b.ip(9, 1)), 443)
	var users sync.WaitGroup
	var answered, failed atomic.Int64
	stop := time.Now().Add(45 * time.Second)
	// Each second flow: a request, a pause, and another request. The
	// others end after a request.
	user := func(n int) {
		f, result := b.clients[n%len(b.clients)].dial(route)
		if result != "open" {
			failed.Add(1)
			return
		}
		for i, pause := range []time.Duration{0, pauseTime}[:1+n%2] {
			time.Sleep(pause)
			id := fmt.Sprintf("q%d-%d", n, i)
			switch result = f.request(id, 2*time.Second); {
			case len(result) > 6 && result[:6] == "answer":
				answered.Add(1)
				b.record.add("request %s is answered: %s", id, result[7:])
			default:
				b.record.add("request %s on the flow of %s: %s", id, f.key.src, result)
				failed.Add(1)
				f.forget()
				return
			}
		}
		f.finish()
	}
	if trouble {
		users.Go(func() {
			for i := 0; time.Now().Before(stop.Add(-12 * time.Second)); i++ {
				b.reborn(b.endpoints[i%len(b.endpoints)])
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	for n := 0; time.Now().Before(stop.Add(-11 * time.Second)); n++ {
		users.Go(func() { user(n) })
		time.Sleep(2 * time.Millisecond)
	}
	users.Wait()
	return b.judgeFlows(&answered, &failed)
}

// judgeFlows is the rule FLOW (a): a reset that the flow's endpoint did not send, while this
// endpoint runs and has run for contactMs at least. No machine of the system had a disruption.
func (b *lab) judgeFlows(answered, failed *atomic.Int64) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	breaks := 0
	for _, r := range b.resets {
		if !r.calm {
			continue
		}
		if breaks++; breaks <= 10 {
			b.record.say("FLOW: the flow of %s, open at %s since %.2f s, is reset by the system after %.2f s; its endpoint runs, started %.2f s before",
				r.key.src, r.held.life.e.id, r.held.at.Sub(b.record.start).Seconds(), r.at.Sub(r.held.at).Seconds(), r.at.Sub(r.held.life.born).Seconds())
		}
	}
	b.record.say("answered %d, not answered %d, resets of the system %d, FLOW broken %d times", answered.Load(), failed.Load(), len(b.resets), breaks)
	if answered.Load() == 0 {
		return unable, errors.New("no request was answered")
	}
	if breaks > 0 {
		return broken, nil
	}
	return held, nil
}
