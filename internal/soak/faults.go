package soak

import (
	"fmt"
	"time"

	"oxbowsaddle/internal/wire"
)

const templateBody = `{"parameters":{}}`

// deskEndpoints is how many endpoints the service of work has, and workSlots
// how many requests each of them runs at a time.
const (
	deskEndpoints = 4
	workSlots     = 3
)

// firstChange is the document that a world starts from.
func (w *World) firstChange() *wire.Change {
	team := fmt.Sprintf(`{"template":"portal","services":["booking","desk"],"first":["issue"],`+
		`"parameters":{"idle":%q,"balance":%g,"request_life":%q}}`, w.config.Idle, w.config.Balance, requestLife)
	objects := append(w.services(), &wire.Object{Kind: "template", Name: "portal", Body: []byte(templateBody)},
		&wire.Object{Kind: "team", Name: "visa", Body: []byte(team)})
	return &wire.Change{Id: "first", Author: "soak", Objects: objects}
}

// services returns both services as they should be now.
func (w *World) services() []*wire.Object {
	feed := `{"name":"feed","address":"` + serviceAddr + `","protocol":"tcp","kind":"flow"}`
	issue := `{"name":"issue","address":"` + issueAddr + `","protocol":"udp","kind":"work"}`
	batch := `{"name":"batch","address":"` + batchAddr + `","protocol":"udp","kind":"work","repeatable":true}`
	return []*wire.Object{
		{Kind: "service", Name: "booking", Body: w.serviceBody(feed, "b", 9000, w.config.Endpoints)},
		{Kind: "service", Name: "desk", Body: w.serviceBody(issue+","+batch, "k", 9500, deskEndpoints)},
	}
}

func (w *World) serviceBody(classes, prefix string, port, endpoints int) []byte {
	body := `{"classes":[` + classes + `],"endpoints":[`
	for i := range endpoints {
		if i > 0 {
			body += ","
		}
		name := fmt.Sprint(prefix, i)
		_, leaving := w.leaving[name]
		body += fmt.Sprintf(`{"name":%q,"address":"127.0.0.1:%d","domain":"d%d","slots":%d,"connections":2000,"leaving":%v}`,
			name, port+i, i%w.config.Domains, workSlots, leaving)
	}
	return []byte(body + "]}")
}

func (w *World) change() {
	w.changes++
	w.commit(&wire.Command{Body: &wire.Command_Change{Change: &wire.Change{
		Id: fmt.Sprint("change-", w.changes), Author: "soak", Base: w.state.Revision(),
		Objects: w.services(),
	}}})
}

// Drain lets an endpoint leave.
func (w *World) Drain(i int) {
	name := fmt.Sprintf("b%d", i)
	if len(w.leaving) >= w.config.Endpoints/2 {
		return
	}
	if _, already := w.leaving[name]; !already {
		w.leaving[name] = w.now
		w.change()
	}
}

// DrainDesk lets an endpoint for work leave, or come back; one always stays.
func (w *World) DrainDesk(i int) {
	name := fmt.Sprintf("k%d", i%deskEndpoints)
	if _, leaving := w.leaving[name]; leaving {
		delete(w.leaving, name)
	} else if name != "k0" {
		w.leaving[name] = w.now
	}
	w.change()
}

// Undrain lets an endpoint take work again.
func (w *World) Undrain(i int) {
	name := fmt.Sprintf("b%d", i)
	if _, leaving := w.leaving[name]; leaving {
		delete(w.leaving, name)
		w.change()
	}
}

// Join adds an endpoint.
func (w *World) Join() {
	w.config.Endpoints++
	w.change()
}

// Kill ends an entry without a word.
func (w *World) Kill(name string) { w.entries[name].alive = false }

// Restart begins a new life with empty memory.
func (w *World) Restart(name string) {
	old := w.entries[name]
	old.alive = false
	w.start(name, old.domain)
}

// Stop ends an entry as planned: it hands its records over first.
func (w *World) Stop(name string) { w.entries[name].member.AnnounceStop() }

// Pause freezes an entry.
func (w *World) Pause(name string, d time.Duration) {
	w.entries[name].pausedUntil = w.now.Add(d)
}

// Cut cuts a domain off from the others, or mends it.
func (w *World) Cut(domain string, off bool) {
	if domain == leaderDomain || w.cut[domain] == off {
		return
	}
	w.cut[domain] = off
	if !off {
		w.mended[domain] = w.now
	}
}
