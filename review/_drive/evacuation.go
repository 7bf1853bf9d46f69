package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The routes and services of case 3.
const (
	bookingService   = "booking"
	documentsService = "documents"
	documentsRoute   = "127.198.0.2"
	documentsPort    = 8443
	bookingRoute     = "127.198.0.1"
	bookingPort      = 8080
	evacuatedZone    = "almadies"
)

// evacuationConfiguration returns a configuration with two routes.
func evacuationConfiguration() string {
	route := func(name, host string, port int, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":"/%d/","routeType":"safe","timeoutMs":6000,"targetLatencyMs":1200,"priority":2,"service":%q,"maxAttempts":2}`, name, host, port, service)
	}
	service := func(name string) string {
		return fmt.Sprintf(`{"name":%q,"healthCheckPath":"/health","maxConnections":2000,"protocol":"h1","tls":false}`, name)
	}
	return fmt.Sprintf(`{"version":1,"routes":[%s,%s],"services":[%s,%s],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
		route("r-booking", bookingRoute, bookingPort, bookingService), route("r-documents", documentsRoute, documentsPort, documentsService),
		service(bookingService), service(documentsService))
}

// evacuated: a zone is evacuated. Then the endpoint that is left of a small service goes down and up
// by turns.
func evacuated(r run) (int, error) {
	const (
		evacuate  = 5 * time.Second // evacuateMs
		flapFor   = 6500 * time.Millisecond
		flapGap   = 1400 * time.Millisecond
		flowPause = 150 * time.Millisecond // between two flows through one entry
		work      = 5 * time.Millisecond
	)
	f, err := newFleet(r.record, dakarNow)
	if err != nil {
		return unable, err
	}
	atEnd(f.end)
	defer f.end()
	var controls, entries []*machine
	for n := 1; n <= 2; n++ {
		for i, zone := range dakarNow.zones {
			controls = append(controls, f.add("control", fmt.Sprintf("core-%s-%d", zone, n), zone, 10*n+1+i))
		}
	}
	for _, m := range controls[:3] {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
	}
	for n := 1; n <= 2; n++ {
		for i, zone := range dakarNow.zones {
			entries = append(entries, f.add("entry", fmt.Sprintf("edge-%s-%d", zone, n), zone, 30+10*n+1+i))
		}
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return unable, err
		}
	}
	if !putUntilAcknowledgedBody(r, controls, evacuationConfiguration(), 10*time.Second) {
		return unable, fmt.Errorf("the configuration was not acknowledged")
	}
	newEndpoint := func(number uint64, service, zone string, host int) *endpoint {
		return &endpoint{
			record: r.record, id: fmt.Sprintf("i-%08x", number), number: number, service: service, zone: zone,
			address: fmt.Sprintf("%s:8080", f.addr(host)), slots: 2, work: work, heartbeat: 770 * time.Millisecond, controls: controls, quiet: true,
		}
	}
	inZone := newEndpoint(0x2a000001, documentsService, evacuatedZone, 71)
	outside := newEndpoint(0x2b000001, documentsService, "plateau", 72)
	all := []*endpoint{inZone, outside}
	for i := range 8 {
		all = append(all, newEndpoint(0x2c000001+uint64(i), bookingService, dakarNow.zones[i%3], 81+i))
	}
	for _, e := range all {
		if err := e.start(); err != nil {
			return unable, err
		}
		defer e.crash()
	}
	time.Sleep(8 * time.Second) // six control instances, of which five vote in the end

	// Clients: one behind each entry, with a flow for each request.
	var stop atomic.Bool
	var wait sync.WaitGroup
	var served, refused, failed atomic.Int64
	for i, m := range entries {
		c, err := newClient(r.record, f.addr(101+i))
		if err != nil {
			return unable, err
		}
		c.quiet = true
		wait.Go(func() {
			var flows sync.WaitGroup
			for n := 0; !stop.Load(); n++ {
				flows.Go(func() {
					fl := c.openFlow(m, documentsRoute, documentsPort)
					open, reset, _ := fl.state()
					switch {
					case reset != nil:
						refused.Add(1)
					case !open:
						failed.Add(1)
					default:
						fl.request(fmt.Sprintf("%s-%d", m.name, n))
						time.Sleep(500 * time.Millisecond)
						served.Add(1)
					}
				})
				time.Sleep(flowPause)
			}
			flows.Wait()
		})
	}
	defer wait.Wait()
	defer stop.Store(true)
	time.Sleep(2 * time.Second)
	r.record.printf("before the evacuation: %s in %s ran %d requests, %s in %s ran %d", inZone.id, inZone.zone, inZone.runs(), outside.id, outside.zone, outside.runs())

	var acknowledged time.Time
	for i := 0; acknowledged.IsZero(); i++ {
		if i > 100 {
			return unable, fmt.Errorf("the evacuation was not acknowledged")
		}
		a := controls[i%len(controls)].call("POST", "/v1/evacuations/"+evacuatedZone, "")
		r.record.printf("POST evacuation of %s at %s: %d", evacuatedZone, controls[i%len(controls)].name, a.status)
		if a.status/100 == 2 {
			acknowledged = time.Now()
		}
	}
	time.Sleep(evacuate)
	atBound := inZone.runs()
	r.record.printf("%s after the acknowledgement %s has run %d requests", evacuate, inZone.id, atBound)
	time.Sleep(3 * time.Second)
	r.record.printf("3 s later it has run %d", inZone.runs())
	r.record.printf("one of %d endpoints, %s in %s, goes down and up by turns: %t", len(all), outside.id, outside.zone, r.trouble)
	for start := time.Now(); time.Since(start) < flapFor; {
		if !r.trouble {
			time.Sleep(flapGap)
			continue
		}
		outside.crash()
		time.Sleep(flapGap / 2)
		outside = newEndpoint(outside.number+1, documentsService, "plateau", 72)
		if err := outside.start(); err != nil {
			return unable, err
		}
		defer outside.crash()
		time.Sleep(flapGap / 2)
	}
	time.Sleep(3 * time.Second)
	stop.Store(true)
	wait.Wait()

	late := inZone.runs() - atBound
	bySender := map[string]int{}
	inZone.mu.Lock()
	for id, at := range inZone.ranAt {
		if at.After(acknowledged.Add(evacuate)) {
			bySender[id[:strings.LastIndex(id, "-")]]++
		}
	}
	inZone.mu.Unlock()
	r.record.printf("flows: %d served, %d reset before they opened, %d not opened", served.Load(), refused.Load(), failed.Load())
	for _, m := range entries {
		links := map[string]bool{}
		for _, line := range m.log("control instance reached") {
			_, address, _ := strings.Cut(line, " control=")
			links[strings.TrimSuffix(strings.Fields(address)[0], fmt.Sprintf(":%d", firstPeerPort))] = true
		}
		var names []string
		for _, c := range controls {
			if links[c.ip] {
				names = append(names, c.name)
			}
		}
		r.record.printf("%s sent %d requests into %s later than %s after the acknowledgement; it has had links to %v", m.name, bySender[m.name], evacuatedZone, evacuate, names)
	}
	for _, m := range controls {
		if a := callOnce("GET", fmt.Sprintf("http://%s:%d/v1/config", m.ip, controlPort), ""); a.status == 200 {
			r.record.printf("%s leads", m.name)
		}
	}
	r.record.printf("%s, in the evacuated zone, ran %d requests later than %s after the acknowledgement", inZone.id, late, evacuate)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}

// runs returns how many requests the endpoint has run.
func (e *endpoint) runs() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, times := range e.ran {
		n += times
	}
	return n
}
