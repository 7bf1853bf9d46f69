package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// foreignHeartbeat: each control instance receives one heartbeat of another writer, in whose id
// there is a byte that can't be read. It names no endpoint to use, and all else must hold.
func foreignHeartbeat(r run) (int, error) {
	const (
		heartbeat = 1200 * time.Millisecond
		rest      = 20 * time.Second // after the last of these heartbeats
		readBack  = 16 * time.Second // four times contactMs
		// The foreign id is "kénitra-7f3a91c2" in Latin-1.
		foreignPath = "/v1/instances/k%E9nitra-7f3a91c2"
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
	entries := []*machine{f.add("entry", "edge-amman-a-1", "amman-a", 21), f.add("entry", "edge-amman-b-1", "amman-b", 22)}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return unable, err
		}
	}
	if !putUntilAcknowledged(r, controls, 1, 10*time.Second) {
		return unable, fmt.Errorf("the configuration was not acknowledged")
	}
	server := &endpoint{
		record: r.record, id: "i-3a000001", number: 0x3a000001, service: "desk", zone: "amman-a", address: f.addr(31) + ":8080",
		slots: 2, work: 20 * time.Millisecond, heartbeat: heartbeat, controls: controls,
	}
	if err := server.start(); err != nil {
		return unable, err
	}
	defer server.crash()
	c, err := newClient(r.record, f.addr(61))
	if err != nil {
		return unable, err
	}
	time.Sleep(5 * time.Second)
	serve := func(m *machine, id string) bool {
		fl := c.openFlow(m, "127.198.0.1", 8080)
		if open, _, _ := fl.state(); !open {
			r.record.printf("flow of port %d through %s did not open", fl.port, m.name)
			return false
		}
		fl.request(id)
		time.Sleep(500 * time.Millisecond)
		return true
	}
	if !serve(entries[0], "before-0") || !serve(entries[1], "before-1") {
		return unable, fmt.Errorf("flows do not open before the disruption")
	}

	for i, m := range controls {
		if r.trouble {
			body := fmt.Sprintf(`{"service":"desk","address":"%s:8080","zone":"amman-a","version":"v1","slots":2,"state":"ready","warmupLeftMs":0,"sequence":%d}`, f.addr(32), i+1)
			a := m.call("PUT", foreignPath, body)
			r.record.printf("foreign heartbeat PUT %s at %s: %d", foreignPath, m.name, a.status)
		}
		time.Sleep(heartbeat)
	}
	last := time.Now()
	time.Sleep(3 * time.Second)
	r.record.printf("planned stop and start of %s", entries[1].name)
	entries[1].signal(syscall.SIGTERM)
	<-entries[1].exited
	if err := entries[1].start(); err != nil {
		return unable, err
	}
	putUntilAcknowledged(r, controls, 2, 5*time.Second)
	time.Sleep(time.Until(last.Add(rest)))
	ready := callOnce("GET", fmt.Sprintf("http://%s:%d/v1/readiness", entries[1].ip, readinessPort), "")
	r.record.printf("readiness of %s, %.0f s after the last of these heartbeats: %d", entries[1].name, time.Since(last).Seconds(), ready.status)
	serve(entries[0], "after-0")
	serve(entries[1], "after-1")

	statuses, came := map[string]int{}, false
	for start := time.Now(); time.Since(start) < readBack && !came; time.Sleep(300 * time.Millisecond) {
		for _, m := range controls {
			a := m.call("GET", "/v1/config", "")
			statuses[fmt.Sprintf("%s %d", m.name, a.status)]++
			came = came || a.status == 200 && (strings.Contains(a.body, `"version":1`) || strings.Contains(a.body, `"version":2`))
		}
	}
	r.record.printf("reads of the configuration, by machine and status: %v", statuses)
	for _, m := range f.machines {
		lines := m.log("peer lost", "control instance lost", "cannot write hints", "panic")
		r.record.printf("%s logged %d such lines", m.name, len(lines))
		for _, line := range lines[max(0, len(lines)-1):] {
			r.record.printf("log of %s: %s", m.name, line)
		}
	}
	if !came {
		r.record.printf("the acknowledged configuration did not come in %s", readBack)
		return broken, nil
	}
	return held, nil
}
