package soak

import (
	"fmt"
	"time"

	"oxbowsaddle/internal/wire"
)

const templateBody = `{"parameters":{}}`

// workEndpoints is how many endpoints the service of work has, and workSlots
// how many requests each of them runs at a time.
const (
	workEndpoints = 4
	workSlots     = 3
)

// initialChange is the document that a world starts from.
func (sim *Sim) initialChange() *wire.Change {
	team := fmt.Sprintf(`{"template":"portal","services":["booking","desk"],"first":["issue"],`+
		`"parameters":{"idle":%q,"balance":%g,"request_life":%q}}`, sim.config.IdleTimeout, sim.config.Balance, requestLifetime)
	objects := append(sim.serviceObjects(), &wire.Object{Kind: "template", Name: "portal", Body: []byte(templateBody)},
		&wire.Object{Kind: "team", Name: "visa", Body: []byte(team)})
	return &wire.Change{Id: "first", Author: "soak", Objects: objects}
}

// serviceObjects returns both serviceObjects as they should be now.
func (sim *Sim) serviceObjects() []*wire.Object {
	feed := `{"name":"feed","address":"` + serviceAddr + `","protocol":"tcp","kind":"flow"}`
	issue := `{"name":"issue","address":"` + issueAddr + `","protocol":"udp","kind":"work"}`
	batch := `{"name":"batch","address":"` + batchAddr + `","protocol":"udp","kind":"work","repeatable":true}`
	return []*wire.Object{
		{Kind: "service", Name: "booking", Body: sim.serviceBody(feed, "b", 9000, sim.config.Endpoints)},
		{Kind: "service", Name: "desk", Body: sim.serviceBody(issue+","+batch, "k", 9500, workEndpoints)},
	}
}

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

func (sim *Sim) commitServices() {
	sim.changeCount++
	sim.commit(&wire.Command{Body: &wire.Command_Change{Change: &wire.Change{
		Id: fmt.Sprint("change-", sim.changeCount), Author: "soak", Base: sim.state.Revision(),
		Objects: sim.serviceObjects(),
	}}})
}

// Drain lets an endpoint leave.
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

// ToggleWorkDrain lets an endpoint for work leave, or come back; one always stays.
func (sim *Sim) ToggleWorkDrain(i int) {
	name := fmt.Sprintf("k%d", i%workEndpoints)
	if _, leaving := sim.leavingSince[name]; leaving {
		delete(sim.leavingSince, name)
	} else if name != "k0" {
		sim.leavingSince[name] = sim.now
	}
	sim.commitServices()
}

// Undrain lets an endpoint take work again.
func (sim *Sim) Undrain(i int) {
	name := fmt.Sprintf("b%d", i)
	if _, leaving := sim.leavingSince[name]; leaving {
		delete(sim.leavingSince, name)
		sim.commitServices()
	}
}

// Join adds an endpoint.
func (sim *Sim) Join() {
	sim.config.Endpoints++
	sim.commitServices()
}

// Kill ends an entry without a word.
func (sim *Sim) Kill(name string) { sim.entries[name].alive = false }

// Restart begins a new life with empty memory.
func (sim *Sim) Restart(name string) {
	old := sim.entries[name]
	old.alive = false
	sim.startEntry(name, old.domain)
}

// Stop ends an entry as planned: it hands its records over first.
func (sim *Sim) Stop(name string) { sim.entries[name].member.AnnounceStop() }

// Pause freezes an entry.
func (sim *Sim) Pause(name string, d time.Duration) {
	sim.entries[name].pausedUntil = sim.now.Add(d)
}

// SetPartitioned cuts a domain off from the others, or mends it.
func (sim *Sim) SetPartitioned(domain string, partitioned bool) {
	if domain == leaderDomain || sim.partitioned[domain] == partitioned {
		return
	}
	sim.partitioned[domain] = partitioned
	if !partitioned {
		sim.reconnectedAt[domain] = sim.now
	}
}
