// Package document holds a whole configuration under its version: routes, the
// services they lead to, and limits. The one with the highest version is in
// force. A Document is immutable once made.
package document

import (
	"fmt"
	"net/netip"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

type (
	// Share is one service that new flows of a route may go to; of all flows
	// it gets its weight's part of the sum.
	Share struct {
		Service string
		Weight  uint32
	}

	// Route says where new flows to one address go.
	Route struct {
		Name       string
		Addr       netip.AddrPort
		Repeatable bool          // a request may run more than once
		Bulk       bool          // answers are large
		Timeout    time.Duration // a request is given up after it
		Target     time.Duration // an answer is late after it
		Priority   int           // 0 comes first
		Shares     []Share       // one with weight 1 where there is no split
	}

	// Service is a set of endpoints that do the same.
	Service struct {
		Name        string
		HealthPath  string
		Connections int // flows that an endpoint holds at most
		// ColdRate is how many requests a second a cold endpoint carries, 0 for no bound.
		ColdRate float64
	}

	// Config is what a Document is made from.
	Config struct {
		Version  uint64
		Routes   []Route
		Services []Service
		Idle     time.Duration // a flow that rests longer may be forgotten
		Source   []byte        // as the operator sent it, for reading it back
	}

	// Document is one whole configuration.
	Document struct {
		config  Config
		message *wire.Document // made once, since many are sent it
	}
)

// New checks a configuration and returns it, or every fault with its place.
func New(c Config) (*Document, []string) {
	if faults := check(c); len(faults) > 0 {
		return nil, faults
	}
	return &Document{config: c, message: toMessage(c)}, nil
}

// Version returns the number that says which of two documents is newer.
func (d *Document) Version() uint64 { return d.config.Version }

// Routes returns the routes; the caller must not change them.
func (d *Document) Routes() []Route { return d.config.Routes }

// Services returns the services; the caller must not change them.
func (d *Document) Services() []Service { return d.config.Services }

// Idle returns how long a flow may rest before it may be forgotten, 0 where
// the document does not say.
func (d *Document) Idle() time.Duration { return d.config.Idle }

// Source returns the document as the operator sent it.
func (d *Document) Source() []byte { return d.config.Source }

// check returns every fault of a configuration with its place.
func check(c Config) []string {
	var faults []string
	services := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			faults = append(faults, fmt.Sprintf("services[%d]: name is empty", i))
		}
		if services[s.Name] {
			faults = append(faults, fmt.Sprintf("services[%d]: name %q stands twice", i, s.Name))
		}
		if !(s.ColdRate >= 0) {
			faults = append(faults, fmt.Sprintf("services[%d] %q: rate of cold endpoints is below 0", i, s.Name))
		}
		services[s.Name] = true
	}
	routeByAddr := map[netip.AddrPort]string{}
	for i, r := range c.Routes {
		routeFaults := checkRoute(r, services)
		if other, ok := routeByAddr[r.Addr]; ok && r.Addr.IsValid() {
			routeFaults = append(routeFaults, fmt.Sprintf("address %s belongs to route %q too", r.Addr, other))
		}
		routeByAddr[r.Addr] = r.Name
		for _, f := range routeFaults {
			faults = append(faults, fmt.Sprintf("routes[%d] %q: %s", i, r.Name, f))
		}
	}
	return faults
}

// checkRoute returns what is wrong with a route by itself.
func checkRoute(r Route, known map[string]bool) []string {
	var faults []string
	if !r.Addr.IsValid() || r.Addr.Port() == 0 {
		faults = append(faults, "no valid address and port")
	}
	if r.Timeout <= 0 {
		faults = append(faults, "timeout is not above 0")
	}
	if len(r.Shares) == 0 {
		faults = append(faults, "names no service")
	}
	for _, s := range r.Shares {
		if !known[s.Service] {
			faults = append(faults, fmt.Sprintf("service %q is not known", s.Service))
		}
		if s.Weight == 0 {
			faults = append(faults, fmt.Sprintf("service %q has no weight", s.Service))
		}
	}
	return faults
}

// Message returns the document as it travels and is stored; the caller must
// not change it.
func (d *Document) Message() *wire.Document { return d.message }

// toMessage returns a configuration as it travels and is stored.
func toMessage(c Config) *wire.Document {
	message := &wire.Document{Version: c.Version, IdleNanos: int64(c.Idle), Source: c.Source}
	for _, s := range c.Services {
		message.Services = append(message.Services, &wire.DocumentService{Name: s.Name, HealthPath: s.HealthPath, Connections: uint32(s.Connections), ColdRate: s.ColdRate})
	}
	for _, r := range c.Routes {
		route := &wire.DocumentRoute{
			Name: r.Name, Address: r.Addr.String(), Repeatable: r.Repeatable, Bulk: r.Bulk,
			TimeoutNanos: int64(r.Timeout), TargetNanos: int64(r.Target), Priority: int32(r.Priority),
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, &wire.Share{Service: s.Service, Weight: s.Weight})
		}
		message.Routes = append(message.Routes, route)
	}
	return message
}

// FromMessage returns the document that a message holds; one that does not
// pass the check is refused with an error of kind InvalidChange, wherever it
// came from.
func FromMessage(m *wire.Document) (*Document, error) {
	c := Config{Version: m.Version, Idle: time.Duration(m.IdleNanos), Source: m.Source}
	for _, s := range m.Services {
		c.Services = append(c.Services, Service{Name: s.Name, HealthPath: s.HealthPath, Connections: int(s.Connections), ColdRate: s.ColdRate})
	}
	for _, r := range m.Routes {
		addr, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			return nil, fault.New(fault.InvalidChange, "document %d: route %q: %s", m.Version, r.Name, err)
		}
		route := Route{
			Name: r.Name, Addr: addr, Repeatable: r.Repeatable, Bulk: r.Bulk, Timeout: time.Duration(r.TimeoutNanos),
			Target: time.Duration(r.TargetNanos), Priority: int(r.Priority),
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, Share{Service: s.Service, Weight: s.Weight})
		}
		c.Routes = append(c.Routes, route)
	}
	d, faults := New(c)
	if len(faults) > 0 {
		return nil, fault.New(fault.InvalidChange, "document %d: %s", m.Version, faults[0])
	}
	return d, nil
}
