package node

import (
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// takeOffer notes which version a control instance has in force, and asks for
// it where it is newer than the one held.
func (e *Entry) takeOffer(source string, offer *wire.DocumentOffer) {
	now := e.config.Now()
	e.takeEvacuations(source, offer.Evacuations)
	e.mu.Lock()
	e.fetch.offer(now, source, offer.Version)
	held := e.held
	e.mu.Unlock()
	if offer.Confirmed && held != nil && held.Version() >= offer.Version {
		e.putInForce(held, true)
		e.confirm(held.Version())
	}
	e.askDocument()
}

// askDocument asks for the newest document that is on offer, if any is newer
// than what is held.
func (e *Entry) askDocument() {
	now := e.config.Now()
	e.mu.Lock()
	held := uint64(0)
	if e.held != nil {
		held = e.held.Version()
	}
	link := e.links[e.fetch.next(now, held)]
	e.mu.Unlock()
	if link == nil {
		return
	}
	// A link that fails is noticed where it is read; another one is asked then.
	_ = link.send(&wire.Frame{Body: &wire.Frame_Want{Want: &wire.DocumentWant{Held: held}}})
}

// takeDocument takes a committed document from a control instance.
func (e *Entry) takeDocument(source string, frame *wire.DocumentFrame) {
	e.takeEvacuations(source, frame.Evacuations) // before the document, which may be of a later place in the log
	e.mu.Lock()
	e.fetch.arrived(source)
	doc, err := document.FromFrame(e.held, frame)
	if err == nil && (e.held == nil || doc.Version() > e.held.Version()) {
		e.held = doc
	}
	e.mu.Unlock()
	if err != nil {
		e.config.Log.Error("document refused", "control", source, "error", err)
		e.askDocument()
		return
	}
	// After a loss of power everywhere none is confirmed until a leader is elected;
	// callers are served meanwhile, though routers are told that this entry is not ready.
	e.putInForce(doc, frame.Confirmed)
	if frame.Confirmed {
		e.confirm(doc.Version())
	}
	e.askDocument()
}

// takeEvacuations has new flows avoid the failure domains that are evacuated,
// unless what is known already is as new.
func (e *Entry) takeEvacuations(source string, m *wire.Evacuations) {
	set := evacuation.FromMessage(m)
	e.mu.Lock()
	fresh := e.steerer.SetEvacuations(set)
	e.mu.Unlock()
	if fresh {
		e.config.Log.Info("evacuations in force", "control", source, "revision", set.Revision(), "domains", set.Domains())
	}
}

// confirm notes that a document is known to be the newest of its term.
func (e *Entry) confirm(version uint64) {
	if !e.confirmed.Swap(true) {
		e.config.Log.Info("ready", "version", version)
	}
}

// putInForce has new flows placed by a document, unless a newer one is in
// force already.
func (e *Entry) putInForce(doc *document.Document, confirmed bool) {
	now := e.config.Now()
	e.mu.Lock()
	fresh := e.steerer.SetDocument(now, doc)
	lag, known := e.fetch.lag(now, doc.Version())
	e.mu.Unlock()
	if fresh && known {
		e.timings.lag.Observe(lag)
	}
	if fresh {
		e.config.Log.Info("document in force", "version", doc.Version(), "routes", len(doc.Routes()), "confirmed", confirmed)
	}
}

// takeReports takes what a control instance reports of endpoints. It returns what it
// must be asked for, nil for nothing.
func (e *Entry) takeReports(source string, reports *wire.Reports) *wire.RecordsWant {
	now := e.config.Now()
	e.mu.Lock()
	lacking := e.steerer.Learn(now, source, reports)
	behind := len(reports.Digest) > 0 && e.steerer.LearnDigest(now, source, registry.DigestOf(reports.Digest))
	digest := e.steerer.Digest()
	e.mu.Unlock()
	if len(reports.Endpoints) > 0 && !e.learned.Swap(true) {
		e.config.Log.Info("endpoints known", "control", source, "endpoints", len(reports.Endpoints))
	}
	switch {
	case behind:
		return &wire.RecordsWant{Digest: digest[:]}
	case len(lacking) > 0:
		return &wire.RecordsWant{Ids: lacking}
	default:
		return nil
	}
}

// inForce tells which document and evacuations are in force.
func (e *Entry) inForce() *wire.Receipt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wire.Receipt{Version: e.steerer.Version(), Evacuations: e.steerer.Evacuations().Revision()}
}

// digest sums up what is known of endpoints.
func (e *Entry) digest() registry.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steerer.Digest()
}
