// Package intent holds the configuration that operators submit: templates, services
// and teams. It parses and validates a document, reports every fault with its
// location, and provides the classes and policies for the routing table.
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

// The kinds of configuration object.
const (
	KindTemplate = "template"
	KindService  = "service"
	KindTeam     = "team"
)

// The kinds of traffic class: flows of packets, or single requests.
const (
	ClassFlow = "flow"
	ClassWork = "work"
)

type (
	// Template sets defaults and narrower bounds of parameters for its teams.
	Template struct {
		About      string               `json:"about,omitempty"`
		Parameters map[string]Parameter `json:"parameters"`
	}

	// Class is a kind of traffic of a service, with the address that receives it.
	// Repeatable requests may run more than once.
	Class struct {
		Name       string         `json:"name"`
		Address    netip.AddrPort `json:"address"`
		Protocol   string         `json:"protocol"`
		Kind       string         `json:"kind"`
		Repeatable bool           `json:"repeatable,omitempty"`
	}

	// Endpoint is an address on a backend server where a service runs. Health is the
	// address of its health check, Slots how many requests it runs concurrently, and
	// Connections its maximum number of flows. A leaving endpoint gets no new work.
	Endpoint struct {
		Name        string         `json:"name"`
		Address     netip.AddrPort `json:"address"`
		Health      netip.AddrPort `json:"health,omitzero"`
		Domain      string         `json:"domain"`
		Slots       int            `json:"slots"`
		Connections int            `json:"connections"`
		Leaving     bool           `json:"leaving,omitempty"`
	}

	// Service is a set of equivalent endpoints and the classes of traffic they serve.
	Service struct {
		Classes   []Class    `json:"classes"`
		Endpoints []Endpoint `json:"endpoints"`
	}

	// Team owns services and sets parameters within the bounds of its template.
	// PriorityClasses lists its classes of traffic by priority, highest first.
	Team struct {
		Template        string           `json:"template"`
		Services        []string         `json:"services"`
		PriorityClasses []string         `json:"first,omitempty"`
		Parameters      map[string]Value `json:"parameters,omitempty"`
	}

	// Document is the complete configuration. Its maps are shared by copies of the
	// value; use Clone for an independent copy.
	Document struct {
		templates         map[string]Template
		services          map[string]Service
		teams             map[string]Team
		teamByService     map[string]string           // by service name
		serviceByClass    map[route.ServiceKey]string // by address of a class
		serviceByEndpoint map[netip.AddrPort]string   // by address of an endpoint
	}

	// Fault is an error in a document and its location.
	Fault struct {
		Location string
		Text     string
	}
)

// String returns the location and the text.
func (f Fault) String() string { return f.Location + ": " + f.Text }

// NewDocument returns an empty document.
func NewDocument() Document {
	return Document{
		templates: map[string]Template{}, services: map[string]Service{}, teams: map[string]Team{}, teamByService: map[string]string{},
		serviceByClass: map[route.ServiceKey]string{}, serviceByEndpoint: map[netip.AddrPort]string{},
	}
}

// Clone returns an independent copy.
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

// Put adds or replaces an object with the given JSON, which must not have unknown
// fields.
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
		return fmt.Errorf("unknown kind %q: must be template, service or team", kind)
	}
}

// Remove removes an object. It fails if there is no such object.
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
		return fmt.Errorf("body holds more than one JSON value")
	}
	objects[name] = object
	return nil
}

// Parameters returns the value of every parameter for a team: the team's own value,
// the default of its template, or the general default, in this order.
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

// TeamOf returns the name of the team that owns a service.
func (d Document) TeamOf(service string) (string, bool) {
	name, ok := d.teamByService[service]
	return name, ok
}

// claimAddresses registers the addresses of a service that no other service has.
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

// releaseAddresses unregisters the addresses of a service.
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

// claimServices registers the services of a team that no other team owns.
func (d Document) claimServices(team string) {
	for _, service := range d.teams[team].Services {
		if d.teamByService[service] == "" {
			d.teamByService[service] = team
		}
	}
}

// releaseServices unregisters the services of a team.
func (d Document) releaseServices(team string) {
	for _, service := range d.teams[team].Services {
		if d.teamByService[service] == team {
			delete(d.teamByService, service)
		}
	}
}

// Policy returns the policy of a service, from the parameters of its team.
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

// Classes returns the classes of a service with their priorities: the position in
// the team's PriorityClasses, where 0 is the highest. Classes that aren't listed share
// the lowest priority.
func (d Document) Classes(service string) []route.Class {
	name, _ := d.TeamOf(service)
	first := d.teams[name].PriorityClasses
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
