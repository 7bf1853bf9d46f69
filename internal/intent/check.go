package intent

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"oxbowsaddle/internal/route"
)

// maxEndpoints bounds the endpoints of a service and thus the size of its bucket table.
const maxEndpoints = 4096

// checker collects the faults of a document.
type checker struct {
	document Document
	faults   []Fault
}

// Check returns every fault of the document, ordered by kind and name of the object.
func (d Document) Check() []Fault {
	return d.CheckObjects(d.Templates(), d.Services(), d.Teams())
}

// CheckObjects returns the faults of the named objects. If all other objects are known
// to be valid, these are all faults of the document: of two objects that claim the
// same address or service, the one added later is at fault.
func (d Document) CheckObjects(templates, services, teams []string) []Fault {
	c := &checker{document: d}
	for _, name := range templates {
		if t, ok := d.templates[name]; ok {
			c.template("template "+name, t)
		}
	}
	for _, name := range services {
		if s, ok := d.services[name]; ok {
			d.claimAddresses(name) // takes addresses that another service released in the same change
			c.service("service "+name, name, s)
		}
	}
	for _, name := range teams {
		if t, ok := d.teams[name]; ok {
			d.claimServices(name)
			c.team("team "+name, name, t)
		}
	}
	return c.faults
}

func (c *checker) add(location, format string, args ...any) {
	c.faults = append(c.faults, Fault{location, fmt.Sprintf(format, args...)})
}

func (c *checker) template(location string, t Template) {
	for _, name := range slices.Sorted(maps.Keys(t.Parameters)) {
		spec, ok := findSpec(name)
		if !ok {
			c.add(location, "unknown parameter %q", name)
			continue
		}
		p := t.Parameters[name]
		low, high := effectiveBounds(spec, p)
		if low > high {
			c.add(location, "%s has min above max", name)
		}
		for _, v := range []*Value{p.Min, p.Max} {
			if v != nil {
				c.addIfNotEmpty(location, spec.check(*v, spec.Min, spec.Max))
			}
		}
		if p.Default != nil {
			c.addIfNotEmpty(location, spec.check(*p.Default, low, high))
		}
	}
}

func (c *checker) addIfNotEmpty(location, text string) {
	if text != "" {
		c.add(location, "%s", text)
	}
}

// effectiveBounds returns the bounds of a parameter as narrowed by a template.
func effectiveBounds(spec ParameterSpec, p Parameter) (low, high float64) {
	low, high = spec.Min, spec.Max
	if p.Min != nil {
		low = p.Min.number
	}
	if p.Max != nil {
		high = p.Max.number
	}
	return low, high
}

func (c *checker) service(location, name string, s Service) {
	if len(s.Classes) == 0 {
		c.add(location, "has no class")
	}
	names := map[string]bool{}
	keys := map[route.ServiceKey]bool{}
	for i, class := range s.Classes {
		path := fmt.Sprintf("%s class %d %q", location, i+1, class.Name)
		c.class(path, class, names)
		if other := c.document.serviceByClass[class.key()]; other != name || keys[class.key()] {
			c.add(path, "address %s is already used by service %s", class.Address, other)
		}
		keys[class.key()] = true
	}
	if len(s.Endpoints) > maxEndpoints {
		c.add(location, "has %d endpoints, at most %d are allowed", len(s.Endpoints), maxEndpoints)
	}
	names = map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, e := range s.Endpoints {
		path := fmt.Sprintf("%s endpoint %d %q", location, i+1, e.Name)
		c.endpoint(path, e, names)
		if other := c.document.serviceByEndpoint[e.Address]; other != name || addresses[e.Address] {
			c.add(path, "address %s is already used by service %s", e.Address, other)
		}
		addresses[e.Address] = true
	}
}

func (c *checker) class(location string, class Class, names map[string]bool) {
	if class.Name == "" || names[class.Name] {
		c.add(location, "needs a unique name")
	}
	names[class.Name] = true
	if !class.Address.IsValid() || class.Address.Port() == 0 {
		c.add(location, "needs an address with a port")
	}
	if class.Protocol != "tcp" && class.Protocol != "udp" {
		c.add(location, "protocol must be tcp or udp, not %q", class.Protocol)
	}
	if class.Kind != ClassFlow && class.Kind != ClassWork {
		c.add(location, "kind must be flow or work, not %q", class.Kind)
	}
	if class.Kind == ClassWork && class.Protocol != "udp" {
		c.add(location, "a class of kind work needs protocol udp")
	}
}

func (c *checker) endpoint(location string, e Endpoint, names map[string]bool) {
	if e.Name == "" || names[e.Name] {
		c.add(location, "needs a unique name")
	}
	names[e.Name] = true
	if !e.Address.IsValid() || e.Address.Port() == 0 {
		c.add(location, "needs an address with a port")
	}
	if e.Domain == "" {
		c.add(location, "needs a failure domain")
	}
	if e.Slots < 1 || e.Connections < 1 {
		c.add(location, "slots and connections must be at least 1")
	}
}

func (c *checker) team(location, name string, t Team) {
	template, ok := c.document.templates[t.Template]
	if !ok {
		c.add(location, "there is no template %q", t.Template)
	}
	classes := map[string]bool{}
	for _, s := range t.Services {
		service, ok := c.document.services[s]
		if !ok {
			c.add(location, "there is no service %q", s)
		}
		if other := c.document.teamByService[s]; other != name {
			c.add(location, "service %q is already claimed by team %s", s, other)
		}
		for _, class := range service.Classes {
			classes[class.Name] = true
		}
	}
	for _, f := range t.PriorityClasses {
		if !classes[f] {
			c.add(location, "first lists %q, which is not a class of its services", f)
		}
	}
	for _, p := range slices.Sorted(maps.Keys(t.Parameters)) {
		spec, ok := findSpec(p)
		if !ok {
			c.add(location, "unknown parameter %q", p)
			continue
		}
		low, high := effectiveBounds(spec, template.Parameters[p])
		c.addIfNotEmpty(location, spec.check(t.Parameters[p], low, high))
	}
}

// Warnings returns a fault for each service that would lose its last endpoint taking
// new work. Such a change is valid but must be confirmed by the operator.
func Warnings(before, after Document, services []string) []Fault {
	var warnings []Fault
	for _, name := range services {
		if countAccepting(before.services[name]) > 0 && countAccepting(after.services[name]) == 0 {
			warnings = append(warnings, Fault{"service " + name, "would be left without an endpoint that takes new work"})
		}
	}
	return warnings
}

// countAccepting returns the number of endpoints that take new work.
func countAccepting(s Service) int {
	n := 0
	for _, e := range s.Endpoints {
		if !e.Leaving {
			n++
		}
	}
	return n
}
