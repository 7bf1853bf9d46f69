package steer

import (
	"net/netip"
	"slices"
	"time"

	"oxbowsaddle/internal/document"
)

// route is a route of the document with the sum of its weights.
type route struct {
	document.Route
	totalWeight uint64
}

// SetDocument applies a document unless it is older than, or the same as, the current one. It
// reports whether it was applied.
func (s *Steerer) SetDocument(now time.Time, d *document.Document) bool {
	if s.document != nil && d.Version() <= s.document.Version() {
		return false
	}
	routes := make(map[netip.AddrPort]*route, len(d.Routes()))
	for _, r := range d.Routes() {
		entry := &route{Route: r}
		for _, share := range r.Shares {
			entry.totalWeight += uint64(share.Weight)
		}
		routes[r.Addr] = entry
		delete(s.dropped, r.Addr)
	}
	for addr := range s.routes {
		if routes[addr] == nil {
			s.dropped[addr] = now
		}
	}
	s.document, s.routes, s.coldRates = d, routes, coldRatesOf(d)
	return true
}

// Version returns the current document version, 0 before the first.
func (s *Steerer) Version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version()
}

// purgeDroppedRoutes removes the records of routes that were dropped longer ago than the maximum
// age of a flow.
func (s *Steerer) purgeDroppedRoutes(now time.Time) {
	for addr, at := range s.dropped {
		if now.Sub(at) >= s.config.MaxFlowAge {
			delete(s.dropped, addr)
			delete(s.sizeStats, addr)
		}
	}
}

// service returns the service that a hash selects by weight.
func (r *route) service(hash uint64) string {
	offset := hash % r.totalWeight
	for _, share := range r.Shares {
		if offset < uint64(share.Weight) {
			return share.Service
		}
		offset -= uint64(share.Weight)
	}
	return r.Shares[len(r.Shares)-1].Service
}

// leadsTo reports whether a route sends flows to a service.
func (r *route) leadsTo(service string) bool {
	return slices.ContainsFunc(r.Shares, func(share document.Share) bool { return share.Service == service })
}
