// Package document defines a versioned configuration: routes, their services and
// limits. The document with the highest version is in force. A Document is immutable.
package document

import (
	"fmt"
	"net/netip"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

type (
	// Share is one service of a route's traffic split. It receives new flows in
	// proportion to its weight.
	Share struct {
		Service string
		Weight  uint32
	}

	// Route maps one address to the services that receive its new flows.
	Route struct {
		Name          string
		Addr          netip.AddrPort
		Repeatable    bool          // whether a request may be retried
		Bulk          bool          // whether responses are large
		Timeout       time.Duration // deadline of a request
		TargetLatency time.Duration // target latency of a response
		Priority      int           // 0 is the highest
		Shares        []Share       // a single share of weight 1 without a split
	}

	// Service is a set of interchangeable endpoints.
	Service struct {
		Name        string
		HealthPath  string
		Connections int // maximum number of flows of one endpoint
		// ColdRate is how many requests a second a cold endpoint can serve, 0 for no limit.
		ColdRate float64
	}

	// Config is the content of a Document.
	Config struct {
		Version     uint64
		Routes      []Route
		Services    []Service
		IdleTimeout time.Duration // idle time after which a flow may be dropped
		Source      []byte        // the text that the operator sent, returned to readers of the document
	}

	// Document is a validated configuration.
	Document struct {
		config  Config
		message *wire.Document // built once and shared by all recipients
	}
)

// New validates a configuration and returns its document, or a description of
// every fault with its location.
func New(c Config) (*Document, []string) {
	if faults := check(c); len(faults) > 0 {
		return nil, faults
	}
	return &Document{config: c, message: toMessage(c)}, nil
}

// Version returns the version; the document with the higher one is newer.
func (d *Document) Version() uint64 { return d.config.Version }

// Routes returns the routes, which the caller must not modify.
func (d *Document) Routes() []Route { return d.config.Routes }

// Services returns the services, which the caller must not modify.
func (d *Document) Services() []Service { return d.config.Services }

// IdleTimeout returns the idle time after which a flow may be dropped, or 0 if the
// document does not set it.
func (d *Document) IdleTimeout() time.Duration { return d.config.IdleTimeout }

// Source returns the text that the operator sent.
func (d *Document) Source() []byte { return d.config.Source }

// check describes every fault of a configuration, with its location.
func check(c Config) []string {
	var faults []string
	services := map[string]bool{}
	for i, s := range c.Services {
		if s.Name == "" {
			faults = append(faults, fmt.Sprintf("services[%d]: name is empty", i))
		}
		if services[s.Name] {
			faults = append(faults, fmt.Sprintf("services[%d]: name %q is duplicated", i, s.Name))
		}
		if !(s.ColdRate >= 0) {
			faults = append(faults, fmt.Sprintf("services[%d] %q: rate of cold endpoints is negative", i, s.Name))
		}
		services[s.Name] = true
	}
	routeByAddr := map[netip.AddrPort]string{}
	for i, r := range c.Routes {
		routeFaults := checkRoute(r, services)
		if other, ok := routeByAddr[r.Addr]; ok && r.Addr.IsValid() {
			routeFaults = append(routeFaults, fmt.Sprintf("address %s also belongs to route %q", r.Addr, other))
		}
		routeByAddr[r.Addr] = r.Name
		for _, f := range routeFaults {
			faults = append(faults, fmt.Sprintf("routes[%d] %q: %s", i, r.Name, f))
		}
	}
	return faults
}

// checkRoute describes the faults of a single route.
func checkRoute(r Route, known map[string]bool) []string {
	var faults []string
	if !r.Addr.IsValid() || r.Addr.Port() == 0 {
		faults = append(faults, "no valid address and port")
	}
	if r.Timeout <= 0 {
		faults = append(faults, "timeout must be positive")
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

// Message returns the wire and storage form of the document, which the caller must
// not modify.
func (d *Document) Message() *wire.Document { return d.message }

// toMessage returns the wire and storage form of a configuration.
func toMessage(c Config) *wire.Document {
	message := &wire.Document{Version: c.Version, IdleNanos: int64(c.IdleTimeout), Source: c.Source}
	for _, s := range c.Services {
		message.Services = append(message.Services, &wire.DocumentService{Name: s.Name, HealthPath: s.HealthPath, Connections: uint32(s.Connections), ColdRate: s.ColdRate})
	}
	for _, r := range c.Routes {
		route := &wire.DocumentRoute{
			Name: r.Name, Address: r.Addr.String(), Repeatable: r.Repeatable, Bulk: r.Bulk,
			TimeoutNanos: int64(r.Timeout), TargetNanos: int64(r.TargetLatency), Priority: int32(r.Priority),
		}
		for _, s := range r.Shares {
			route.Shares = append(route.Shares, &wire.Share{Service: s.Service, Weight: s.Weight})
		}
		message.Routes = append(message.Routes, route)
	}
	return message
}

// FromMessage returns the document in a message. An invalid one returns an error
// of kind InvalidChange.
func FromMessage(m *wire.Document) (*Document, error) {
	c := Config{Version: m.Version, IdleTimeout: time.Duration(m.IdleNanos), Source: m.Source}
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
			TargetLatency: time.Duration(r.TargetNanos), Priority: int(r.Priority),
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
