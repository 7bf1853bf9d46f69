package steer

import (
	"net/netip"
	"slices"
	"time"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

type (
	// route is a route of the document with the sum of its weights.
	route struct {
		document.Route
		weights uint64 // sum over the shares
	}

	// Counts tells what a Steerer holds.
	Counts struct {
		Flows, Endpoints, Silent, Suspect int
		Version                           uint64
	}
)

// SetDocument puts a document in force; an older one than that in force
// changes nothing. It reports whether it is in force now for the first time.
func (s *Steerer) SetDocument(now time.Time, d *document.Document) bool {
	if s.document != nil && d.Version() <= s.document.Version() {
		return false
	}
	routes := make(map[netip.AddrPort]*route, len(d.Routes()))
	for _, r := range d.Routes() {
		summed := &route{Route: r}
		for _, share := range r.Shares {
			summed.weights += uint64(share.Weight)
		}
		routes[r.Addr] = summed
		delete(s.dropped, r.Addr)
	}
	for addr := range s.routes {
		if routes[addr] == nil {
			s.dropped[addr] = now
		}
	}
	s.document, s.routes = d, routes
	return true
}

// Version returns the version in force, 0 before the first.
func (s *Steerer) Version() uint64 {
	if s.document == nil {
		return 0
	}
	return s.document.Version()
}

// Learn takes what a control instance, source, reports of endpoints. It returns
// the ids of those of which that one knows something else.
func (s *Steerer) Learn(now time.Time, source string, reports *wire.Reports) (lacking []string) {
	heard := s.silentBy[source]
	if heard == nil {
		heard = map[string]bool{}
		s.silentBy[source] = heard
	}
	s.learnSame(heard, reports.Same)
	for _, m := range reports.Endpoints {
		s.learn(now, registry.FromMessage(m))
		if b := s.byID[m.Id]; b != nil {
			heard[m.Id] = m.Silent
			s.settleSilence(b)
		}
	}
	s.whole = s.whole || reports.Whole
	for _, m := range reports.Sums {
		if !s.learnSum(heard, m) {
			lacking = append(lacking, m.Id)
		}
	}
	return lacking
}

// learnSum takes what a control instance knows of an endpoint by its sum; it
// reports false where this entry must ask for more.
func (s *Steerer) learnSum(heard map[string]bool, m *wire.RecordSum) bool {
	b := s.byID[m.Id]
	switch {
	case b == nil:
		return false
	case b.Gone:
		return true // for good, whatever others know
	case registry.Sum(b.Endpoint) != m.Sum:
		return false
	}
	if _, said := heard[m.Id]; !said {
		heard[m.Id] = false
		s.settleSilence(b)
	}
	return true
}

// learnSame takes that a control instance knows just what this entry knows of
// some parts of the endpoints: those that it has not called silent it hears.
func (s *Steerer) learnSame(heard map[string]bool, parts uint64) {
	if parts == 0 {
		return
	}
	for id, b := range s.byID {
		if _, said := heard[id]; !said && parts&b.part != 0 {
			heard[id] = false
			s.settleSilence(b)
		}
	}
}

// Digest sums up what is known of endpoints, so that a control instance can
// leave out what need not be told.
func (s *Steerer) Digest() registry.Digest { return s.digest }

// Forget drops what a control instance said about silence: it is out of reach.
func (s *Steerer) Forget(source string) {
	delete(s.silentBy, source)
	for _, b := range s.byID {
		s.settleSilence(b)
	}
}

// learn takes what is reported of one endpoint, and keeps the digest.
func (s *Steerer) learn(now time.Time, e registry.Endpoint) {
	if b := s.byID[e.ID]; b != nil {
		s.digest.Add(b.Endpoint)
	}
	s.take(now, e)
	if b := s.byID[e.ID]; b != nil {
		s.digest.Add(b.Endpoint)
	}
}

// take takes what is reported of one endpoint. A report that it has ended
// stands; otherwise the highest sequence does.
func (s *Steerer) take(now time.Time, e registry.Endpoint) {
	b := s.byID[e.ID]
	switch {
	case b == nil:
		b = &backend{Endpoint: e, tag: Tag(e.ID), part: registry.PartBit(e.ID), born: now.Add(-time.Duration(e.Sequence) * s.config.Beat)}
		s.byID[e.ID] = b
		if !e.Addr.IsValid() {
			break // only known to have ended: remembered so that nobody revives it
		}
		s.pools[e.Service] = append(s.pools[e.Service], b)
		s.settleTag(b)
	case b.Gone:
		return
	case e.Gone:
		b.Gone = true
	case e.Sequence <= b.Sequence:
		return
	default:
		b.Endpoint = e
	}
	if b.Gone && b.goneAt.IsZero() {
		b.goneAt = now
	}
	if b.Leaving && b.leavingAt.IsZero() {
		b.leavingAt = now
	}
	b.warmUntil = now.Add(e.Warm)
}

// settleTag gives the tag to one of the incarnations that hash to it, so that
// all entries decide alike. The others get no flows.
func (s *Steerer) settleTag(b *backend) {
	first := s.byTag[b.tag]
	switch {
	case first == nil:
		s.byTag[b.tag] = b
	case s.before(first, b):
		b.shadowed = true
	default:
		first.shadowed = true
		s.byTag[b.tag] = b
	}
}

// before reports whether a has a tag before b: the older one, since flows of its
// own are open; where they are about as old, the one whose id comes first. An
// entry that has just started tells their age by their sequences, as others have
// seen it themselves.
func (s *Steerer) before(a, b *backend) bool {
	const unsureBeats = 10 // entries learn of an endpoint within a few
	if unsure := unsureBeats * s.config.Beat; a.born.Sub(b.born).Abs() > unsure {
		return a.born.Before(b.born)
	}
	return a.ID < b.ID
}

// freeTag gives the tag of a forgotten incarnation to another one that hashes to
// it, if there is one.
func (s *Steerer) freeTag(forgotten *backend) {
	if s.byTag[forgotten.tag] != forgotten {
		return
	}
	delete(s.byTag, forgotten.tag)
	for _, b := range s.byID {
		if b.tag == forgotten.tag {
			b.shadowed = false
			s.settleTag(b)
		}
	}
}

// settleSilence works out whether an endpoint is silent to all that know it.
func (s *Steerer) settleSilence(b *backend) {
	known, silent := 0, 0
	for _, heard := range s.silentBy {
		if quiet, ok := heard[b.ID]; ok {
			known++
			if quiet {
				silent++
			}
		}
	}
	b.silent = known > 0 && known == silent
}

// dropGone forgets incarnations that ended, and routes that were dropped, so
// long ago that no flow of theirs can be left.
func (s *Steerer) dropGone(now time.Time) {
	for addr, at := range s.dropped {
		if now.Sub(at) >= s.config.MaxFlow {
			delete(s.dropped, addr)
		}
	}
	for id, b := range s.byID {
		if !b.Gone || now.Sub(b.goneAt) < s.config.MaxFlow {
			continue
		}
		delete(s.byID, id)
		s.digest.Add(b.Endpoint)
		s.freeTag(b)
		for _, heard := range s.silentBy {
			delete(heard, id)
		}
		s.pools[b.Service] = slices.DeleteFunc(s.pools[b.Service], func(other *backend) bool { return other == b })
	}
}

// service returns the service of a route that a draw falls on.
func (r *route) service(draw uint64) string {
	at := draw % r.weights
	for _, share := range r.Shares {
		if at < uint64(share.Weight) {
			return share.Service
		}
		at -= uint64(share.Weight)
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Counts returns what the Steerer holds.
func (s *Steerer) Counts(now time.Time) Counts {
	c := Counts{Flows: len(s.flows), Endpoints: len(s.byID), Version: s.Version()}
	for _, b := range s.byID {
		if b.silent {
			c.Silent++
		}
		if now.Before(b.suspectUntil) {
			c.Suspect++
		}
	}
	return c
}
