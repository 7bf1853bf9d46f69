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
func (s *Sim) initialChange() *wire.Change {
	team := fmt.Sprintf(`{"template":"portal","services":["booking","desk"],"first":["issue"],`+
		`"parameters":{"idle":%q,"balance":%g,"request_life":%q}}`, s.config.IdleTimeout, s.config.Balance, requestLifetime)
	objects := append(s.serviceObjects(), &wire.Object{Kind: "template", Name: "portal", Body: []byte(templateBody)},
		&wire.Object{Kind: "team", Name: "visa", Body: []byte(team)})
	return &wire.Change{Id: "first", Author: "soak", Objects: objects}
}

// serviceObjects returns the desired configuration of both services: "booking"
// has a flow class, "desk" has two work classes.
func (s *Sim) serviceObjects() []*wire.Object {
	feed := `{"name":"feed","address":"` + serviceAddr + `","protocol":"tcp","kind":"flow"}`
	issue := `{"name":"issue","address":"` + issueAddr + `","protocol":"udp","kind":"work"}`
	batch := `{"name":"batch","address":"` + batchAddr + `","protocol":"udp","kind":"work","repeatable":true}`
	return []*wire.Object{
		{Kind: "service", Name: "booking", Body: s.serviceBody(feed, "b", 9000, s.config.Endpoints)},
		{Kind: "service", Name: "desk", Body: s.serviceBody(issue+","+batch, "k", 9500, workEndpoints)},
	}
}

// serviceBody returns the JSON configuration of a service with endpoints on
// consecutive ports.
func (s *Sim) serviceBody(classes, prefix string, port, endpoints int) []byte {
	body := `{"classes":[` + classes + `],"endpoints":[`
	for i := range endpoints {
		if i > 0 {
			body += ","
		}
		name := fmt.Sprint(prefix, i)
		_, leaving := s.leavingSince[name]
		body += fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","domain":"d%d","slots":%d,"connections":2000,"leaving":%v}`,
			name, port+i, i%s.config.Domains, workSlots, leaving)
	}
	return []byte(body + "]}")
}

// commitServices commits a change to the desired configuration of both services.
func (s *Sim) commitServices() {
	s.changeCount++
	s.commit(&wire.Command{Body: &wire.Command_Change{Change: &wire.Change{
		Id: fmt.Sprint("change-", s.changeCount), Author: "soak", Base: s.state.Revision(),
		Objects: s.serviceObjects(),
	}}})
}

// Drain marks an endpoint of the flow service as leaving, unless half of the
// endpoints are leaving already.
func (s *Sim) Drain(i int) {
	name := fmt.Sprintf("b%d", i)
	if len(s.leavingSince) >= s.config.Endpoints/2 {
		return
	}
	if _, already := s.leavingSince[name]; !already {
		s.leavingSince[name] = s.now
		s.commitServices()
	}
}

// ToggleWorkDrain marks an endpoint of the work service as leaving, or no longer
// as leaving. The first endpoint always stays.
func (s *Sim) ToggleWorkDrain(i int) {
	name := fmt.Sprintf("k%d", i%workEndpoints)
	if _, leaving := s.leavingSince[name]; leaving {
		delete(s.leavingSince, name)
	} else if name != "k0" {
		s.leavingSince[name] = s.now
	}
	s.commitServices()
}

// Undrain marks an endpoint of the flow service as no longer leaving.
func (s *Sim) Undrain(i int) {
	name := fmt.Sprintf("b%d", i)
	if _, leaving := s.leavingSince[name]; leaving {
		delete(s.leavingSince, name)
		s.commitServices()
	}
}

// Join adds an endpoint to the flow service.
func (s *Sim) Join() {
	s.config.Endpoints++
	s.commitServices()
}

// Kill ends an entry without notice to the others.
func (s *Sim) Kill(name string) { s.entries[name].alive = false }

// Restart ends an entry without notice and starts it again without its state.
func (s *Sim) Restart(name string) {
	old := s.entries[name]
	old.alive = false
	s.startEntry(name, old.domain)
}

// Stop begins a planned stop: the entry hands its state over before it ends.
func (s *Sim) Stop(name string) { s.entries[name].member.AnnounceStop(time.Time{}) }

// Pause suspends an entry; it handles messages that arrive meanwhile afterwards.
func (s *Sim) Pause(name string, d time.Duration) {
	s.entries[name].pausedUntil = s.now.Add(d)
}

// SetPartitioned cuts a domain off from the others or reconnects it. The
// domain of the leader can't be cut off.
func (s *Sim) SetPartitioned(domain string, partitioned bool) {
	if domain == leaderDomain || s.partitioned[domain] == partitioned {
		return
	}
	s.partitioned[domain] = partitioned
	if !partitioned {
		s.reconnectedAt[domain] = s.now
	}
}
