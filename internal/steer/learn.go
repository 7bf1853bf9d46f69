package steer

import (
	"slices"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// Learn applies the endpoint reports of the control instance source. It returns the IDs of the
// endpoints whose records are missing or outdated here and must be requested from it.
func (s *Steerer) Learn(now time.Time, source string, reports *wire.Reports) (missing []string) {
	if reports.Whole {
		s.MarkSourceReady(now, source)
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
			missing = append(missing, m.Id)
		}
	}
	return missing
}

// learnSilence records whether a control instance reports an endpoint as silent.
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

// learnSum compares the checksum of a control instance's record of an endpoint. It returns
// false if the full record must be requested.
func (s *Steerer) learnSum(now time.Time, r *reporter, m *wire.RecordSum) bool {
	b := s.byID[m.Id]
	switch {
	case b == nil:
		return false
	case b.Gone:
		return true // an ended endpoint never changes again
	case b.sum != m.Sum:
		return false
	}
	if r.markKnown(m.Id) {
		s.updateSilence(now, b)
	}
	return true
}

// learnMatchingParts handles the parts of the digest that match that of a control instance: the
// instance knows all endpoints of these parts. Once it is ready, those that it has not reported
// as silent count as alive.
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

// MarkSourceReady records that the control instance source has been up long enough to receive a
// heartbeat of every live endpoint. From now on, endpoints that it knows and has not reported as
// silent count as alive.
func (s *Steerer) MarkSourceReady(now time.Time, source string) {
	for _, id := range s.reporterOf(source).markReady() {
		if b := s.byID[id]; b != nil {
			s.updateSilence(now, b)
		}
	}
}

// Digest returns the digest of all known endpoints, which lets a control instance omit records
// that this entry has.
func (s *Steerer) Digest() registry.Digest { return s.digest }

// RemoveSource drops the silence reports of a control instance that is out of reach.
func (s *Steerer) RemoveSource(now time.Time, source string) {
	delete(s.reporters, source)
	for _, b := range s.byID {
		s.updateSilence(now, b)
	}
}

// learnEndpoint applies the report of one endpoint and updates the digest.
func (s *Steerer) learnEndpoint(now time.Time, e registry.Endpoint) {
	s.applyReport(now, e)
	b := s.byID[e.ID]
	s.digest.Toggle(b.ID, b.sum)
	b.sum = registry.Sum(b.Endpoint)
	s.digest.Toggle(b.ID, b.sum)
}

// applyReport applies the report of one endpoint. The end of an endpoint is final; otherwise the
// report with the highest sequence wins.
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
		s.markReachable(b) // the report shows that it is alive; it may refuse connections from now on
	}
	b.warmUntil = now.Add(e.Warmup)
	s.updatePool(b)
}

// addBackend adds an incarnation and returns it.
func (s *Steerer) addBackend(now time.Time, e registry.Endpoint) *backend {
	b := &backend{
		Endpoint: e, tag: Tag(e.ID), digestPart: registry.PartBit(e.ID), learnedAt: now,
		startedAt: now.Add(-time.Duration(e.Sequence) * s.config.HeartbeatInterval),
	}
	s.byID[e.ID] = b
	if !e.Addr.IsValid() {
		return b // first reported as ended; kept so that older reports do not revive it
	}
	s.byAddr[e.Addr] = append(s.byAddr[e.Addr], b)
	s.assignTag(b)
	return b
}

// updateSilence recomputes whether every control instance that knows an endpoint reports it as
// silent.
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

// purgeEndedBackends removes incarnations that ended longer ago than the maximum age of a flow.
// A crashed endpoint is never reported as ended; it is removed once it has been silent, and has
// answered no client, for that long.
func (s *Steerer) purgeEndedBackends(now time.Time) {
	for _, b := range s.byID {
		if b.Gone && now.Sub(b.goneAt) >= s.config.MaxFlowAge || !b.Gone && s.presumedCrashed(now, b) {
			s.removeBackend(b)
		}
	}
}

// presumedCrashed reports whether an incarnation has been silent for so long that none of its
// flows can be left.
func (s *Steerer) presumedCrashed(now time.Time, b *backend) bool {
	return b.silent && b.flows == 0 && now.Sub(b.silentAt) >= s.config.MaxFlowAge && now.Sub(b.reach.lastResponseAt) >= s.config.MaxFlowAge
}

// removeBackend removes an incarnation.
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

// LearnDigest compares the digest of a control instance that sends only checksums. It reports
// whether this entry must request the records that differ: whether any part differs as it did
// in the previous digest. A part that the control instance has changed since does not count, as
// its records may still be in flight.
func (s *Steerer) LearnDigest(now time.Time, source string, digest registry.Digest) (behind bool) {
	r := s.reporterOf(source)
	for i, sum := range digest {
		differs := sum != s.digest[i]
		behind = behind || differs && r.differed[i] && sum == r.digest[i]
		r.differed[i] = differs
	}
	r.digest = digest
	s.learnMatchingParts(now, r, s.digest.EqualParts(&digest))
	return behind
}
