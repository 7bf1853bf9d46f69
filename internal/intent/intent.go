// Package intent holds what operators want: templates, services and teams.
// It reads them strictly, checks a whole document and names every fault with
// its place, and compiles a document into what the route table needs.
package intent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
)

// The kinds of object.
const (
	KindTemplate = "template"
	KindService  = "service"
	KindTeam     = "team"
)

// The kinds of traffic class.
const (
	ClassFlow = "flow"
	ClassWork = "work"
)

type (
	// Template names parameters with narrower bounds and defaults for teams.
	Template struct {
		About      string               `json:"about,omitempty"`
		Parameters map[string]Parameter `json:"parameters"`
	}

	// Class is one address of a service.
	Class struct {
		Name       string         `json:"name"`
		Address    netip.AddrPort `json:"address"`
		Protocol   string         `json:"protocol"`
		Kind       string         `json:"kind"`
		Repeatable bool           `json:"repeatable,omitempty"`
	}

	// Endpoint is one place on a backend server where a service runs.
	Endpoint struct {
		Name        string         `json:"name"`
		Address     netip.AddrPort `json:"address"`
		Health      netip.AddrPort `json:"health,omitzero"`
		Domain      string         `json:"domain"`
		Slots       int            `json:"slots"`
		Connections int            `json:"connections"`
		Leaving     bool           `json:"leaving,omitempty"`
	}

	// Service is a set of endpoints and the classes of traffic they take.
	Service struct {
		Classes   []Class    `json:"classes"`
		Endpoints []Endpoint `json:"endpoints"`
	}

	// Team is made from a template: which services it reaches, which callers
	// come first, and the parameters it sets.
	Team struct {
		Template   string           `json:"template"`
		Services   []string         `json:"services"`
		First      []string         `json:"first,omitempty"`
		Parameters map[string]Value `json:"parameters,omitempty"`
	}

	// Document is the whole of what operators have had accepted.
	Document struct {
		templates         map[string]Template
		services          map[string]Service
		teams             map[string]Team
		teamByService     map[string]string           // service to team
		serviceByClass    map[route.ServiceKey]string // class address to service
		serviceByEndpoint map[netip.AddrPort]string   // endpoint address to service
	}

	// Fault is one thing wrong with a document, and where.
	Fault struct {
		Place string
		Text  string
	}
)

// String returns place and text.
func (f Fault) String() string { return f.Place + ": " + f.Text }

// NewDocument returns an empty document.
func NewDocument() Document {
	return Document{
		templates: map[string]Template{}, services: map[string]Service{}, teams: map[string]Team{}, teamByService: map[string]string{},
		serviceByClass: map[route.ServiceKey]string{}, serviceByEndpoint: map[netip.AddrPort]string{},
	}
}

// Clone returns a copy that can be changed.
func (d Document) Clone() Document {
	return Document{
		templates: maps.Clone(d.templates), services: maps.Clone(d.services), teams: maps.Clone(d.teams), teamByService: maps.Clone(d.teamByService),
		serviceByClass: maps.Clone(d.serviceByClass), serviceByEndpoint: maps.Clone(d.serviceByEndpoint),
	}
}

// Template returns a template by name.
func (d Document) Template(name string) (Template, bool) {
	t, ok := d.templates[name]
	return t, ok
}

// Services returns the names of the services in order.
func (d Document) Services() []string { return slices.Sorted(maps.Keys(d.services)) }

// Service returns a service by name.
func (d Document) Service(name string) (Service, bool) {
	s, ok := d.services[name]
	return s, ok
}

// Team returns a team by name.
func (d Document) Team(name string) (Team, bool) {
	t, ok := d.teams[name]
	return t, ok
}

// TeamsOf returns the names of the teams made from a template, in order.
func (d Document) TeamsOf(template string) []string {
	var names []string
	for _, name := range d.Teams() {
		if d.teams[name].Template == template {
			names = append(names, name)
		}
	}
	return names
}

// Templates returns the names of the templates in order.
func (d Document) Templates() []string { return slices.Sorted(maps.Keys(d.templates)) }

// Teams returns the names of the teams in order.
func (d Document) Teams() []string { return slices.Sorted(maps.Keys(d.teams)) }

// Put reads one object strictly and sets it.
func (d Document) Put(kind, name string, body []byte) error {
	if name == "" {
		return fmt.Errorf("a %s needs a name", kind)
	}
	switch kind {
	case KindTemplate:
		return putObject(d.templates, name, body)
	case KindService:
		d.releaseAddresses(name)
		if err := putObject(d.services, name, body); err != nil {
			return err
		}
		d.claimAddresses(name)
		return nil
	case KindTeam:
		d.releaseServices(name)
		if err := putObject(d.teams, name, body); err != nil {
			return err
		}
		d.claimServices(name)
		return nil
	default:
		return fmt.Errorf("unknown kind %q: template, service or team", kind)
	}
}

// Remove drops one object; a missing one is an error.
func (d Document) Remove(kind, name string) error {
	before := len(d.templates) + len(d.services) + len(d.teams)
	switch kind {
	case KindTemplate:
		delete(d.templates, name)
	case KindService:
		d.releaseAddresses(name)
		delete(d.services, name)
	case KindTeam:
		d.releaseServices(name)
		delete(d.teams, name)
	}
	if before == len(d.templates)+len(d.services)+len(d.teams) {
		return fmt.Errorf("there is no %s %q", kind, name)
	}
	return nil
}

func putObject[T any](objects map[string]T, name string, body []byte) error {
	var object T
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&object); err != nil {
		return err
	}
	if decoder.More() {
		return fmt.Errorf("more than one value")
	}
	objects[name] = object
	return nil
}

// Parameters returns every parameter of a team: its own value, else the
// template's default, else the general one.
func (d Document) Parameters(team Team) map[string]float64 {
	values := make(map[string]float64, len(specs))
	template := d.templates[team.Template]
	for _, s := range specs {
		values[s.Name] = s.DefaultValue
		if p, ok := template.Parameters[s.Name]; ok && p.Default != nil {
			values[s.Name] = p.Default.number
		}
		if v, ok := team.Parameters[s.Name]; ok {
			values[s.Name] = v.number
		}
	}
	return values
}

// TeamOf returns the name of the team that reaches a service.
func (d Document) TeamOf(service string) (string, bool) {
	name, ok := d.teamByService[service]
	return name, ok
}

// claimAddresses takes the addresses of a service that no other service has.
func (d Document) claimAddresses(service string) {
	for _, c := range d.services[service].Classes {
		if d.serviceByClass[c.key()] == "" {
			d.serviceByClass[c.key()] = service
		}
	}
	for _, e := range d.services[service].Endpoints {
		if d.serviceByEndpoint[e.Address] == "" {
			d.serviceByEndpoint[e.Address] = service
		}
	}
}

// releaseAddresses gives the addresses of a service up.
func (d Document) releaseAddresses(service string) {
	for _, c := range d.services[service].Classes {
		if d.serviceByClass[c.key()] == service {
			delete(d.serviceByClass, c.key())
		}
	}
	for _, e := range d.services[service].Endpoints {
		if d.serviceByEndpoint[e.Address] == service {
			delete(d.serviceByEndpoint, e.Address)
		}
	}
}

// claimServices takes the services of a team that no other team has.
func (d Document) claimServices(team string) {
	for _, service := range d.teams[team].Services {
		if d.teamByService[service] == "" {
			d.teamByService[service] = team
		}
	}
}

// releaseServices forgets which services a team reaches.
func (d Document) releaseServices(team string) {
	for _, service := range d.teams[team].Services {
		if d.teamByService[service] == team {
			delete(d.teamByService, service)
		}
	}
}

// Policy returns the policy of a service as its team's template decides it.
func (d Document) Policy(service string) route.Policy {
	name, _ := d.TeamOf(service)
	p := d.Parameters(d.teams[name])
	return route.Policy{
		Team:          name,
		Idle:          seconds(p[Idle]),
		DrainDeadline: seconds(p[DrainDeadline]),
		Balance:       p[Balance],
		RequestLife:   seconds(p[RequestLife]),
		QueueLimit:    int(p[QueueLimit]),
		LowestShare:   p[LowestShare],
		RetryShare:    p[RetryShare],
	}
}

// Classes returns the classes of a service with the priorities that its team
// gives them: the order of `first`, the others after those.
func (d Document) Classes(service string) []route.Class {
	name, _ := d.TeamOf(service)
	first := d.teams[name].First
	var classes []route.Class
	for _, c := range d.services[service].Classes {
		priority := slices.Index(first, c.Name)
		if priority < 0 {
			priority = len(first)
		}
		classes = append(classes, route.Class{
			Name:       c.Name,
			Key:        c.key(),
			Work:       c.Kind == ClassWork,
			Repeatable: c.Repeatable,
			Priority:   priority,
		})
	}
	return classes
}

func (c Class) key() route.ServiceKey {
	transport := packet.TCP
	if c.Protocol == packet.UDP.String() {
		transport = packet.UDP
	}
	return route.ServiceKey{Addr: c.Address, Transport: transport}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
