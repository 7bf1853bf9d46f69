package node

import (
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/evacuation"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// handleOffer records the document version that a control instance has in force, and
// requests the document if it is newer than the latest one here.
func (e *Entry) handleOffer(source string, offer *wire.DocumentOffer) {
	now := e.config.Now()
	e.applyEvacuations(source, offer.Evacuations)
	e.mu.Lock()
	e.fetcher.recordOffer(now, source, offer.Version)
	latest := e.latest
	e.mu.Unlock()
	if offer.Confirmed && latest != nil && latest.Version() >= offer.Version {
		e.applyDocument(latest, true)
		e.markConfirmed(latest.Version())
	}
	e.requestDocument()
}

// requestDocument requests the newest document on offer, if it is newer than the latest
// one here and no request is pending.
func (e *Entry) requestDocument() {
	now := e.config.Now()
	e.mu.Lock()
	held := uint64(0)
	if e.latest != nil {
		held = e.latest.Version()
	}
	link := e.links[e.fetcher.nextSource(now, held)]
	e.mu.Unlock()
	if link == nil {
		return
	}
	// If the link has failed, its reader calls removeSource, which requests the document from
	// another control instance.
	_ = link.send(&wire.Frame{Body: &wire.Frame_Want{Want: &wire.DocumentWant{Held: held}}})
}

// handleDocument applies a committed document from a control instance.
func (e *Entry) handleDocument(source string, frame *wire.DocumentFrame) {
	e.applyEvacuations(source, frame.Evacuations) // first: the document may be from a later log index
	e.mu.Lock()
	e.fetcher.markAnswered(source)
	doc, err := document.FromFrame(e.latest, frame)
	if err == nil && (e.latest == nil || doc.Version() > e.latest.Version()) {
		e.latest = doc
	}
	e.mu.Unlock()
	if err != nil {
		e.config.Log.Error("document refused", "control", source, "error", err)
		e.requestDocument()
		return
	}
	// After a restart of all control instances no document is confirmed until a leader is
	// elected. Clients are served meanwhile, but the entry does not report itself ready.
	e.applyDocument(doc, frame.Confirmed)
	if frame.Confirmed {
		e.markConfirmed(doc.Version())
	}
	e.requestDocument()
}

// applyEvacuations applies the evacuations received from source if they are newer than those in
// force.
func (e *Entry) applyEvacuations(source string, m *wire.Evacuations) {
	set := evacuation.FromMessage(m)
	e.mu.Lock()
	changed := e.steerer.SetEvacuations(set)
	e.mu.Unlock()
	if changed {
		e.config.Log.Info("evacuations in force", "control", source, "revision", set.Revision(), "domains", set.Domains())
	}
}

// markConfirmed makes the entry ready, since the document in force is known to be current.
func (e *Entry) markConfirmed(version uint64) {
	if !e.confirmed.Swap(true) {
		e.config.Log.Info("ready", "version", version)
	}
}

// applyDocument places new flows according to a document, unless a newer one is in force.
func (e *Entry) applyDocument(doc *document.Document, confirmed bool) {
	now := e.config.Now()
	e.mu.Lock()
	changed := e.steerer.SetDocument(now, doc)
	lag, known := e.fetcher.offerAge(now, doc.Version())
	e.mu.Unlock()
	if changed && known {
		e.timings.lag.Observe(lag)
	}
	if changed {
		e.config.Log.Info("document in force", "version", doc.Version(), "routes", len(doc.Routes()), "confirmed", confirmed)
	}
}

// handleReports applies endpoint reports of a control instance. It returns a request for
// missing records, nil if none are missing.
func (e *Entry) handleReports(source string, reports *wire.Reports) *wire.RecordsWant {
	now := e.config.Now()
	e.mu.Lock()
	missing := e.steerer.Learn(now, source, reports)
	diverged := len(reports.Digest) > 0 && e.steerer.LearnDigest(now, source, registry.DecodeDigest(reports.Digest))
	digest := e.steerer.Digest()
	e.mu.Unlock()
	if len(reports.Endpoints) > 0 && !e.endpointsReceived.Swap(true) {
		e.config.Log.Info("endpoints known", "control", source, "endpoints", len(reports.Endpoints))
	}
	switch {
	case diverged:
		return &wire.RecordsWant{Digest: digest[:]}
	case len(missing) > 0:
		return &wire.RecordsWant{Ids: missing}
	default:
		return nil
	}
}

// appliedReceipt returns a receipt with the document version and evacuations in force.
func (e *Entry) appliedReceipt() *wire.Receipt {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &wire.Receipt{Version: e.steerer.Version(), Evacuations: e.steerer.Evacuations().Revision()}
}

// digest returns the digest of all known endpoint records.
func (e *Entry) digest() registry.Digest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steerer.Digest()
}
