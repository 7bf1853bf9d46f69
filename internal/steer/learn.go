package steer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// Learn takes what a control instance, source, reports of endpoints. It returns
// the ids of those of which that one knows something else.
func (s *Steerer) Learn(now time.Time, source string, reports *wire.Reports) (lacking []string) {
	if reports.Whole {
		s.Vouch(now, source)
	}
	r := s.reporterOf(source)
	s.learnMatchingParts(now, r, reports.Same)
	for _, m := range reports.Endpoints {
		s.learnEndpoint(now, registry.FromMessage(m))
		s.learnSilence(now, r, m.Id, m.Silent)
	}
	for _, id := range reports.Silent {
		s.learnSilence(now, r, id, true)
	}
	for _, id := range reports.Heard {
		s.learnSilence(now, r, id, false)
	}
	s.synced = s.synced || reports.Whole
	for _, m := range reports.Sums {
		if !s.learnSum(now, r, m) {
			lacking = append(lacking, m.Id)
		}
	}
	return lacking
}

// learnSilence takes whether a control instance calls an endpoint silent.
func (s *Steerer) learnSilence(now time.Time, r *reporter, id string, silent bool) {
	b := s.byID[id]
	if b == nil {
		return
	}
	was := b.silent
	r.setSilent(id, silent)
	s.updateSilence(now, b)
	if was && !b.silent {
		s.probeOnHeartbeat(now, b)
	}
}

// learnSum takes what a control instance knows of an endpoint by its sum; it
// reports false where this entry must ask for more.
func (s *Steerer) learnSum(now time.Time, r *reporter, m *wire.RecordSum) bool {
	b := s.byID[m.Id]
	switch {
	case b == nil:
		return false
	case b.Gone:
		return true // for good, whatever others know
	case b.sum != m.Sum:
		return false
	}
	if r.markKnown(m.Id) {
		s.updateSilence(now, b)
	}
	return true
}

// learnMatchingParts takes that a control instance knows just what this entry knows of
// some parts of the endpoints: those that it has not called silent it hears.
func (s *Steerer) learnMatchingParts(now time.Time, r *reporter, parts uint64) {
	if parts == 0 {
		return
	}
	for id, b := range s.byID {
		if parts&b.digestPart != 0 && r.markKnown(id) {
			s.updateSilence(now, b)
		}
	}
}

// Vouch takes that a control instance, source, has had the time to hear every
// endpoint: those that it has not called silent it hears.
func (s *Steerer) Vouch(now time.Time, source string) {
	for _, id := range s.reporterOf(source).markReady() {
		if b := s.byID[id]; b != nil {
			s.updateSilence(now, b)
		}
	}
}

// Digest sums up what is known of endpoints, so that a control instance can
// leave out what need not be told.
func (s *Steerer) Digest() registry.Digest { return s.digest }

// Forget drops what a control instance said about silence: it is out of reach.
func (s *Steerer) Forget(now time.Time, source string) {
	delete(s.reporters, source)
	for _, b := range s.byID {
		s.updateSilence(now, b)
	}
}

// learnEndpoint takes what is reported of one endpoint, and keeps the digest.
func (s *Steerer) learnEndpoint(now time.Time, e registry.Endpoint) {
	s.applyReport(now, e)
	b := s.byID[e.ID]
	s.digest.Toggle(b.ID, b.sum)
	b.sum = registry.Sum(b.Endpoint)
	s.digest.Toggle(b.ID, b.sum)
}

// applyReport takes what is reported of one endpoint. A report that it has ended
// stands; otherwise the highest sequence does.
func (s *Steerer) applyReport(now time.Time, e registry.Endpoint) {
	b := s.byID[e.ID]
	switch {
	case b == nil:
		b = s.addBackend(now, e)
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
		delete(s.lost, b)
	}
	if b.Leaving && b.leavingAt.IsZero() {
		b.leavingAt = now
		s.markReachable(b) // it said so a moment ago, and may accept no connection from now on
	}
	b.warmUntil = now.Add(e.Warm)
	s.updatePool(b)
}

// addBackend begins what is known of an incarnation.
func (s *Steerer) addBackend(now time.Time, e registry.Endpoint) *backend {
	b := &backend{
		Endpoint: e, tag: Tag(e.ID), digestPart: registry.PartBit(e.ID), learnedAt: now,
		startedAt: now.Add(-time.Duration(e.Sequence) * s.config.Beat),
	}
	s.byID[e.ID] = b
	if !e.Addr.IsValid() {
		return b // only known to have ended: remembered so that nobody revives it
	}
	s.byAddr[e.Addr] = append(s.byAddr[e.Addr], b)
	s.assignTag(b)
	return b
}

// updateSilence works out whether an endpoint is silent to all that know it.
func (s *Steerer) updateSilence(now time.Time, b *backend) {
	known, silent := 0, 0
	for _, r := range s.reporters {
		if quiet, ok := r.silent[b.ID]; ok {
			known++
			if quiet {
				silent++
			}
		}
	}
	if was := b.silent; known == 0 || known > silent {
		b.silent = false
	} else if b.silent = true; !was {
		b.silentAt = now
	}
}

// purgeEndedBackends forgets incarnations that ended so long ago that no flow of theirs
// can be left. Of one that crashed nobody says that it has ended: it counts as ended
// once it has been silent, and has answered no caller, for as long as a flow may live.
func (s *Steerer) purgeEndedBackends(now time.Time) {
	for _, b := range s.byID {
		if b.Gone && now.Sub(b.goneAt) >= s.config.MaxFlow || !b.Gone && s.presumedCrashed(now, b) {
			s.removeBackend(b)
		}
	}
}

// presumedCrashed reports whether an incarnation that did not say so has ended long ago.
func (s *Steerer) presumedCrashed(now time.Time, b *backend) bool {
	return b.silent && b.flows == 0 && now.Sub(b.silentAt) >= s.config.MaxFlow && now.Sub(b.reach.lastResponseAt) >= s.config.MaxFlow
}

// removeBackend drops what is known of an incarnation.
func (s *Steerer) removeBackend(b *backend) {
	delete(s.byID, b.ID)
	delete(s.lost, b)
	s.digest.Toggle(b.ID, b.sum)
	s.releaseTag(b)
	if b.position != nil {
		s.removeFromPool(b)
	}
	for _, r := range s.reporters {
		r.remove(b.ID)
	}
	itself := func(other *backend) bool { return other == b }
	if s.byAddr[b.Addr] = slices.DeleteFunc(s.byAddr[b.Addr], itself); len(s.byAddr[b.Addr]) == 0 {
		delete(s.byAddr, b.Addr)
	}
}

// LearnDigest takes what a control instance that tells this entry briefly knows of all
// endpoints, in sum. It reports whether this entry must ask for what differs: for a part
// that has not changed there since the last digest, and that differed then too. While
// many change, no part is ever the same at two of them.
func (s *Steerer) LearnDigest(now time.Time, source string, digest registry.Digest) (behind bool) {
	r := s.reporterOf(source)
	for i, sum := range digest {
		differs := sum != s.digest[i]
		behind = behind || differs && r.differed[i] && sum == r.digest[i]
		r.differed[i] = differs
	}
	r.digest = digest
	s.learnMatchingParts(now, r, s.digest.Same(&digest))
	return behind
}
