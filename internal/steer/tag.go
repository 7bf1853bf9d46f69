package steer

import "github.com/dchest/siphash"

const (
	// The keys of the hash of tags and of opening packets; they are part of the
	// protocol between entries.
	hashKey0 = 0x6f78626f77736164
	hashKey1 = 0x646c652074616773

	// startToleranceBeats is how many heartbeat periods apart two starts must be for
	// every entry to see the same one first: entries learn of an endpoint within
	// a few.
	startToleranceBeats = 10
)

// Tag returns the tag of an incarnation of an endpoint; it is the same on
// every entry, and never 0.
func Tag(id string) uint32 {
	h := siphash.Hash(hashKey0, hashKey1, []byte(id))
	return max(1, uint32(h^h>>32))
}

// assignTag gives the tag to one of the incarnations that hash to it, so that
// all entries decide alike. The others get no flows.
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

// tagPrecedes reports whether a has a tag tagPrecedes b: the older one, since flows of its
// own are open; where they are about as old, the one whose id comes first. An
// entry that has just started tells their age by their sequences, as others have
// seen it themselves.
func (s *Steerer) tagPrecedes(a, b *backend) bool {
	if tolerance := startToleranceBeats * s.config.Beat; a.startedAt.Sub(b.startedAt).Abs() > tolerance {
		return a.startedAt.Before(b.startedAt)
	}
	return a.ID < b.ID
}

// releaseTag gives the tag of a forgotten incarnation to another one that hashes to
// it, if there is one.
func (s *Steerer) releaseTag(forgotten *backend) {
	if s.byTag[forgotten.tag] != forgotten {
		return
	}
	delete(s.byTag, forgotten.tag)
	for _, b := range s.byID {
		if b.tag == forgotten.tag {
			b.tagConflict = false
			s.assignTag(b)
		}
	}
}
