package main

import (
	"fmt"
	"strings"
	"time"
)

// configuration returns a configuration of a version; its time-out depends on the version.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-a","host":"127.198.0.1","pathPrefix":"/8080/","routeType":"unsafe","timeoutMs":%d,"targetLatencyMs":120,"priority":1,"service":"desk","maxAttempts":2}],"services":[{"name":"desk","healthCheckPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, version, 2000+version)
}

// putUntilAcknowledged sends a configuration to the machines in turn, unchanged, until it is
// acknowledged or the time is over.
func putUntilAcknowledged(r run, machines []*machine, version int, limit time.Duration) bool {
	return putUntilAcknowledgedBody(r, machines, configuration(version), limit)
}

// putUntilAcknowledgedBody does the same with a given configuration.
func putUntilAcknowledgedBody(r run, machines []*machine, body string, limit time.Duration) bool {
	start := time.Now()
	for i := 0; time.Since(start) < limit; i++ {
		m := machines[i%len(machines)]
		a := m.call("PUT", "/v1/config", body)
		r.record.printf("PUT of %.12s at %s: %d", body, m.name, a.status)
		if a.status == 200 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// lostMajority: of four control instances one is killed, a second one is killed 1.5 s later, and the
// one that then acknowledges a change loses its disk. All come back. One disk was lost, as many as
// faultTolerance allows, so the configuration must be read back.
func lostMajority(r run) (int, error) {
	const (
		secondKill   = 1500 * time.Millisecond
		change       = 2400 * time.Millisecond
		downTime     = 2800 * time.Millisecond // of the two machines that lose power
		wipeDownTime = 3 * time.Second         // of the machine that loses its disk
		recovery     = 12 * time.Second        // recoveryS
		margin       = 28 * time.Second
	)
	f, err := newFleet(r.record, qasr)
	if err != nil {
		return unable, err
	}
	atEnd(f.end)
	defer f.end()
	var all []*machine
	for i, zone := range qasr.zones {
		all = append(all, f.add("control", "core-"+zone+"-1", zone, 11+i))
	}
	for _, m := range all[:3] {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	for _, m := range all {
		if err := m.start(); err != nil {
			return unable, err
		}
	}
	if !putUntilAcknowledged(r, all, 1, 10*time.Second) {
		return unable, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(5 * time.Second)
	var leader *machine
	for _, m := range all {
		if a := callOnce("GET", fmt.Sprintf("http://%s:%d/v1/config", m.ip, controlPort), ""); a.status == 200 {
			leader = m
		}
	}
	if leader == nil {
		return unable, fmt.Errorf("no machine answers a read")
	}
	var others []*machine // the seeds that do not lead
	for _, m := range all[:3] {
		if m != leader {
			others = append(others, m)
		}
	}
	if len(others) != 2 {
		return unable, fmt.Errorf("the leader is no seed")
	}
	first, second := others[0], all[3]
	r.record.printf("%s leads; %s and %s are to be killed", leader.name, first.name, second.name)

	t0 := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(t0.Add(d))) }
	kill := func(m *machine, why string) {
		if r.trouble {
			m.kill()
			r.record.printf("%s %s", why, m.name)
		}
	}
	start := func(m *machine) error {
		if !r.trouble {
			return nil
		}
		return m.start()
	}
	kill(first, "power lost (disk remains)")
	at(secondKill)
	kill(second, "power lost (disk remains)")
	at(change)
	if !putUntilAcknowledged(r, []*machine{leader}, 2, time.Second) {
		return unable, fmt.Errorf("the change was not acknowledged")
	}
	wiped := time.Now()
	kill(leader, "kill, and the disk is lost, right after the acknowledgement:")
	if r.trouble {
		if err := leader.loseDisk(); err != nil {
			return unable, err
		}
	}
	at(downTime)
	if err := start(first); err != nil {
		return unable, err
	}
	at(secondKill + downTime)
	if err := start(second); err != nil {
		return unable, err
	}
	time.Sleep(time.Until(wiped.Add(wipeDownTime)))
	if err := start(leader); err != nil {
		return unable, err
	}
	back := time.Now()
	r.record.printf("all machines are back; one disk was lost")

	statuses := map[string]int{}
	for time.Since(back) < recovery+margin {
		for _, m := range all {
			a := m.call("GET", "/v1/config", "")
			switch {
			case a.status == 200 && strings.Contains(a.body, `"version":2`):
				r.record.printf("GET at %s: version 2, %.1f s after all were back", m.name, time.Since(back).Seconds())
				return held, nil
			case a.status == 200:
				r.record.printf("GET at %s: 200 with another version: %.40s", m.name, a.body)
				return broken, nil
			}
			statuses[fmt.Sprintf("%s %d", m.name, a.status)]++
		}
		time.Sleep(300 * time.Millisecond)
	}
	for _, m := range all {
		for key, n := range statuses {
			if strings.HasPrefix(key, m.name) {
				r.record.printf("GET at %s: answered %d times with status %s", m.name, n, strings.TrimPrefix(key, m.name+" "))
			}
		}
	}
	a := all[1].call("PUT", "/v1/config", configuration(3))
	r.record.printf("PUT version 3 at %s: %d", all[1].name, a.status)
	for _, m := range all {
		for _, line := range m.log("msg=voters", "log opened") {
			r.record.printf("log of %s: %s", m.name, line)
		}
	}
	r.record.printf("version 2 was acknowledged and has not come back in %.0f s", time.Since(back).Seconds())
	return broken, nil
}
