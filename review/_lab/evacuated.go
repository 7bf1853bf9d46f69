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

const (
	evacuateTime = 5 * time.Second
	crashTime    = 4 * time.Second
)

// evacuated: a failure domain is evacuated. Well after evacuateMs the one endpoint of a service
// that is elsewhere crashes for a while. No new flow may reach the evacuated failure domain.
func evacuated(b *lab, trouble bool) (int, error) {
	const zone = "almadies"
	zones := []string{"plateau", zone, "diamniadio"}
	b.contracts = []string{"base", "drain", "config", "cost", "recover", "health", "flows", "places"}
	b.losses = 2
	b.addMachines(6, 9, zones)
	if err := b.startAll(zones, 8); err != nil {
		return unable, err
	}
	for i, z := range []string{"plateau", zone, "diamniadio", "plateau", zone, "diamniadio"} {
		if err := b.addEndpoint(i+1, "booking", z).start(); err != nil {
			return unable, err
		}
	}
	for i, z := range []string{zone, zone, "plateau"} {
		if err := b.addEndpoint(i+7, "documents", z).start(); err != nil {
			return unable, err
		}
	}
	last := b.endpoints[8]
	if b.order("PUT", "/v1/config", b.config(1, map[uint16]string{443: "booking", 444: "documents"}), 15*time.Second) != 200 || !b.ready(15*time.Second) {
		return unable, errors.New("the deployment does not start")
	}
	time.Sleep(6 * time.Second)
	var users sync.WaitGroup
	var answered, failed atomic.Int64
	stop := time.Now().Add(30 * time.Second)
	user := func(n int, port uint16) {
		f, result := b.clients[n%len(b.clients)].dial(netip.AddrPortFrom(netip.MustParseAddr(b.ip(9, 1)), port))
		if result == "open" {
			id := fmt.Sprintf("q%d", n)
			result = f.request(id, 2*time.Second)
			b.record.add("request %s: %s", id, result)
			f.finish()
		}
		if strings.HasPrefix(result, "answer") {
			answered.Add(1)
		} else {
			failed.Add(1)
		}
	}
	users.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			port := uint16(443)
			if n%4 == 0 {
				port = 444
			}
			users.Go(func() { user(n, port) })
			time.Sleep(10 * time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)
	if b.order("POST", "/v1/evacuations/"+zone, nil, 5*time.Second) != 200 {
		return unable, errors.New("the evacuation is not acknowledged")
	}
	acknowledged := time.Now()
	b.record.say("the evacuation of %s is acknowledged at %.3f s", zone, time.Since(b.record.start).Seconds())
	time.Sleep(evacuateTime + 3*time.Second)
	if trouble {
		last.crash()
		time.Sleep(crashTime)
		if err := last.start(); err != nil {
			return unable, err
		}
	} else {
		time.Sleep(crashTime)
	}
	users.Wait()
	b.mu.Lock()
	defer b.mu.Unlock()
	breaks, entries := 0, map[netip.Addr]int{}
	for _, s := range b.syns {
		if s.life.e.zone != zone || s.at.Sub(acknowledged) < evacuateTime {
			continue
		}
		entries[s.from]++
		if breaks++; breaks <= 5 {
			b.record.say("EVAC: %s in %s gets a new flow from %s, %.2f s after the acknowledgement", s.life.e.id, zone, s.from, s.at.Sub(acknowledged).Seconds())
		}
	}
	b.record.say("answered %d, failed %d; EVAC broken %d times, by %d of %d entries", answered.Load(), failed.Load(), breaks, len(entries), len(b.entries))
	if answered.Load() == 0 {
		return unable, errors.New("no request was answered")
	}
	if breaks > 0 {
		return broken, nil
	}
	return held, nil
}
