package steer

import "github.com/dchest/siphash"

const (
	// hashKey0 and hashKey1 are the keys of the hash of endpoint IDs and of SYNs. All entries
	// must use the same.
	hashKey0 = 0x6f78626f77736164
	hashKey1 = 0x646c652074616773

	// startToleranceHeartbeats is how many heartbeat periods two start times must differ by for all
	// entries to agree on their order. Entries learn of an endpoint within a few periods.
	startToleranceHeartbeats = 10
)

// Tag returns the tag of an endpoint's incarnation. It is the same on every entry and never 0.
func Tag(id string) uint32 {
	h := siphash.Hash(hashKey0, hashKey1, []byte(id))
	return max(1, uint32(h^h>>32))
}

// assignTag gives an incarnation its tag. If several have IDs that hash to the same tag, all
// entries give it to the same one; the others are marked as in conflict and get no flows.
func (s *Steerer) assignTag(b *backend) {
	holder := s.byTag[b.tag]
	switch {
	case holder == nil:
		s.byTag[b.tag] = b
	case s.tagPrecedes(holder, b):
		b.tagConflict = true
	default:
		holder.tagConflict = true
		s.updatePool(holder)
		s.byTag[b.tag] = b
	}
	s.updatePool(b)
}

// tagPrecedes reports whether a takes precedence over b for a shared tag. The older one does, as
// it may have open flows; if they are about the same age, the one with the lower ID. Ages are
// estimated from heartbeat sequences, so that entries that have just started agree with others.
func (s *Steerer) tagPrecedes(a, b *backend) bool {
	if tolerance := startToleranceHeartbeats * s.config.HeartbeatInterval; a.startedAt.Sub(b.startedAt).Abs() > tolerance {
		return a.startedAt.Before(b.startedAt)
	}
	return a.ID < b.ID
}

// releaseTag passes the tag of a removed incarnation to another one with the same tag, if any.
func (s *Steerer) releaseTag(removed *backend) {
	if s.byTag[removed.tag] != removed {
		return
	}
	delete(s.byTag, removed.tag)
	for _, b := range s.byID {
		if b.tag == removed.tag {
			b.tagConflict = false
			s.assignTag(b)
		}
	}
}
