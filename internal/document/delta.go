package document

import (
	"net/netip"
	"reflect"
	"slices"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// Frame returns the message that sends the document to an entry: the difference
// from base, which the entry already has, or the whole document if base is nil. The
// source is left out, since entries do not use it.
func (d *Document) Frame(base *Document, confirmed bool) *wire.DocumentFrame {
	whole := d.message
	m := &wire.Document{Version: whole.Version, Services: whole.Services, IdleNanos: whole.IdleNanos}
	f := &wire.DocumentFrame{Document: m, Confirmed: confirmed}
	if base == nil {
		m.Routes = whole.Routes
		return f
	}
	f.Base = base.Version()
	baseRoutes := base.byAddr()
	for i, r := range d.Routes() {
		if previous, ok := baseRoutes[r.Addr]; !ok || !reflect.DeepEqual(previous, r) {
			m.Routes = append(m.Routes, whole.Routes[i])
		}
		delete(baseRoutes, r.Addr)
	}
	for i, r := range base.Routes() {
		if _, removed := baseRoutes[r.Addr]; removed {
			f.Removed = append(f.Removed, base.message.Routes[i].Address)
		}
	}
	return f
}

// byAddr returns the routes keyed by address.
func (d *Document) byAddr() map[netip.AddrPort]Route {
	routes := make(map[netip.AddrPort]Route, len(d.Routes()))
	for _, r := range d.Routes() {
		routes[r.Addr] = r
	}
	return routes
}

// FromFrame returns the document that a frame describes, given the entry's current
// one, which may be nil. It returns an error of kind Conflict if the frame was made
// for another base.
func FromFrame(base *Document, f *wire.DocumentFrame) (*Document, error) {
	if f.Base == 0 {
		return FromMessage(f.Document)
	}
	if base == nil || base.Version() != f.Base {
		return nil, fault.New(fault.Conflict, "document %d differs from version %d, which is not held", f.Document.Version, f.Base)
	}
	replaced := map[string]bool{}
	for _, address := range f.Removed {
		replaced[address] = true
	}
	for _, r := range f.Document.Routes {
		replaced[r.Address] = true
	}
	merged := &wire.Document{
		Version: f.Document.Version, Services: f.Document.Services, IdleNanos: f.Document.IdleNanos, Routes: slices.Clone(f.Document.Routes),
	}
	for _, r := range base.message.Routes {
		if !replaced[r.Address] {
			merged.Routes = append(merged.Routes, r)
		}
	}
	return FromMessage(merged)
}
