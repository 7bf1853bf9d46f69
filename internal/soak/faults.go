package soak

import (
	"fmt"
	"time"

	"oxbowsaddle/internal/wire"
)

const templateBody = `{"parameters":{}}`

const (
	workEndpoints = 4 // endpoints of the work service
	workSlots     = 3 // requests that each of them runs at a time
)

// initialChange returns the initial configuration: a template, a team and its
// two services.
func (sim *Sim) initialChange() *wire.Change {
	team := fmt.Sprintf(`{"template":"portal","services":["booking","desk"],"first":["issue"],`+
		`"parameters":{"idle":%q,"balance":%g,"request_life":%q}}`, sim.config.IdleTimeout, sim.config.Balance, requestLifetime)
	objects := append(sim.serviceObjects(), &wire.Object{Kind: "template", Name: "portal", Body: []byte(templateBody)},
		&wire.Object{Kind: "team", Name: "visa", Body: []byte(team)})
	return &wire.Change{Id: "first", Author: "soak", Objects: objects}
}

// serviceObjects returns the desired configuration of both services: "booking"
// has a flow class, "desk" has two work classes.
func (sim *Sim) serviceObjects() []*wire.Object {
	feed := `{"name":"feed","address":"` + serviceAddr + `","protocol":"tcp","kind":"flow"}`
	issue := `{"name":"issue","address":"` + issueAddr + `","protocol":"udp","kind":"work"}`
	batch := `{"name":"batch","address":"` + batchAddr + `","protocol":"udp","kind":"work","repeatable":true}`
	return []*wire.Object{
		{Kind: "service", Name: "booking", Body: sim.serviceBody(feed, "b", 9000, sim.config.Endpoints)},
		{Kind: "service", Name: "desk", Body: sim.serviceBody(issue+","+batch, "k", 9500, workEndpoints)},
	}
}

// serviceBody returns the JSON configuration of a service with endpoints on
// consecutive ports.
func (sim *Sim) serviceBody(classes, prefix string, port, endpoints int) []byte {
	body := `{"classes":[` + classes + `],"endpoints":[`
	for i := range endpoints {
		if i > 0 {
			body += ","
		}
		name := fmt.Sprint(prefix, i)
		_, leaving := sim.leavingSince[name]
		body += fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","domain":"d%d","slots":%d,"connections":2000,"leaving":%v}`,
			name, port+i, i%sim.config.Domains, workSlots, leaving)
	}
	return []byte(body + "]}")
}

// commitServices commits a change to the desired configuration of both services.
func (sim *Sim) commitServices() {
	sim.changeCount++
	sim.commit(&wire.Command{Body: &wire.Command_Change{Change: &wire.Change{
		Id: fmt.Sprint("change-", sim.changeCount), Author: "soak", Base: sim.state.Revision(),
		Objects: sim.serviceObjects(),
	}}})
}

// Drain marks an endpoint of the flow service as leaving, unless half of the
// endpoints are leaving already.
func (sim *Sim) Drain(i int) {
	name := fmt.Sprintf("b%d", i)
	if len(sim.leavingSince) >= sim.config.Endpoints/2 {
		return
	}
	if _, already := sim.leavingSince[name]; !already {
		sim.leavingSince[name] = sim.now
		sim.commitServices()
	}
}

// ToggleWorkDrain marks an endpoint of the work service as leaving, or no longer
// as leaving. The first endpoint always stays.
func (sim *Sim) ToggleWorkDrain(i int) {
	name := fmt.Sprintf("k%d", i%workEndpoints)
	if _, leaving := sim.leavingSince[name]; leaving {
		delete(sim.leavingSince, name)
	} else if name != "k0" {
		sim.leavingSince[name] = sim.now
	}
	sim.commitServices()
}

// Undrain marks an endpoint of the flow service as no longer leaving.
func (sim *Sim) Undrain(i int) {
	name := fmt.Sprintf("b%d", i)
	if _, leaving := sim.leavingSince[name]; leaving {
		delete(sim.leavingSince, name)
		sim.commitServices()
	}
}

// Join adds an endpoint to the flow service.
func (sim *Sim) Join() {
	sim.config.Endpoints++
	sim.commitServices()
}

// Kill ends an entry without notice to the others.
func (sim *Sim) Kill(name string) { sim.entries[name].alive = false }

// Restart ends an entry without notice and starts it again without its state.
func (sim *Sim) Restart(name string) {
	old := sim.entries[name]
	old.alive = false
	sim.startEntry(name, old.domain)
}

// Stop begins a planned stop: the entry hands its state over before it ends.
func (sim *Sim) Stop(name string) { sim.entries[name].member.AnnounceStop() }

// Pause suspends an entry; it handles messages that arrive meanwhile afterwards.
func (sim *Sim) Pause(name string, d time.Duration) {
	sim.entries[name].pausedUntil = sim.now.Add(d)
}

// SetPartitioned cuts a domain off from the others or reconnects it. The
// domain of the leader can't be cut off.
func (sim *Sim) SetPartitioned(domain string, partitioned bool) {
	if domain == leaderDomain || sim.partitioned[domain] == partitioned {
		return
	}
	sim.partitioned[domain] = partitioned
	if !partitioned {
		sim.reconnectedAt[domain] = sim.now
	}
}
