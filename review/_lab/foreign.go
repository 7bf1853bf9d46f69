package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// withoutBorn: one heartbeat of another writer, without the field born, has the id of a live
// endpoint. It names no endpoint to use. The open flows of the endpoint must not be reset by the
// system.
func withoutBorn(b *lab, trouble bool) (int, error) {
	return b.foreign(trouble, func(e *endpoint) map[string]any {
		return map[string]any{
			"service": e.service, "address": e.addr.String(), "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready",
			"warmupLeftMs": 0, "sequence": 5,
		}
	})
}

// otherService: one heartbeat of another writer, with a service that no configuration names, has
// the id of a live endpoint, and its own start. The rest is as for withoutBorn.
func otherService(b *lab, trouble bool) (int, error) {
	return b.foreign(trouble, func(e *endpoint) map[string]any {
		return map[string]any{
			"service": "metrics", "address": netip.AddrPortFrom(e.addr.Addr(), e.addr.Port()+1).String(), "zone": e.zone, "version": "v1",
			"slots": 1, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}
	})
}

// foreign sends one heartbeat of another writer, with the id of a live endpoint, and judges the flows
// of the endpoints.
func (b *lab) foreign(trouble bool, body func(e *endpoint) map[string]any) (int, error) {
	zones := []string{"plateau", "almadies", "diamniadio"}
	b.addMachines(3, 3, zones)
	if err := b.startAll(zones, 8); err != nil {
		return unable, err
	}
	for i := range 7 {
		if err := b.addEndpoint(i+1, "booking", zones[i%3]).start(); err != nil {
			return unable, err
		}
	}
	if b.order("PUT", "/v1/config", b.config(1, map[uint16]string{443: "booking"}), 15*time.Second) != 200 || !b.ready(15*time.Second) {
		return unable, errors.New("the deployment does not start")
	}
	time.Sleep(4 * time.Second)
	var users sync.WaitGroup
	var answered, failed atomic.Int64
	stop := time.Now().Add(20 * time.Second)
	// A request, a pause of 5 s, and another request.
	user := func(n int) {
		f, result := b.clients[n%len(b.clients)].dial(netip.AddrPortFrom(netip.MustParseAddr(b.ip(9, 1)), 443))
		for i, pause := range []time.Duration{0, 5 * time.Second} {
			if result != "open" && !strings.HasPrefix(result, "answer") {
				break
			}
			time.Sleep(pause)
			id := fmt.Sprintf("q%d-%d", n, i)
			result = f.request(id, 2*time.Second)
			b.record.add("request %s on the flow of %s: %s", id, f.key.src, result)
		}
		if strings.HasPrefix(result, "answer") {
			answered.Add(1)
		} else {
			failed.Add(1)
		}
		f.finish()
	}
	users.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			users.Go(func() { user(n) })
			time.Sleep(10 * time.Millisecond)
		}
	})
	time.Sleep(6 * time.Second)
	if trouble {
		e := b.endpoints[0]
		status := b.call(b.ctx, "PUT", b.controls[1], "/v1/instances/"+e.id, body(e))
		b.record.say("a heartbeat of another writer, with the id %s: %d", e.id, status)
	}
	users.Wait()
	return b.judgeFlows(&answered, &failed)
}
