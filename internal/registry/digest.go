package registry

import (
	"github.com/dchest/siphash"
)

// digestParts is the number of parts of a digest. A difference in one part causes
// only the endpoints in that part to be sent.
const digestParts = 64

// Keys of the digest's hash, which are part of the protocol between entries and
// control instances.
const (
	digestKey0 = 0x6f78626f77736164
	digestKey1 = 0x646c652073756d73
)

// Digest summarizes a set of endpoint records, without the fields that every
// heartbeat changes, as one XOR of record checksums for each part. It does not depend
// on the order of the records.
type Digest [digestParts]uint64

// Toggle adds the checksum of an endpoint, or removes it if it was added before.
func (d *Digest) Toggle(id string, sum uint64) { d[part(id)] ^= sum }

// EqualParts returns a bit mask of the parts in which both digests agree.
func (d *Digest) EqualParts(other *Digest) uint64 {
	var bits uint64
	for i := range d {
		if d[i] == other[i] {
			bits |= 1 << i
		}
	}
	return bits
}

// DecodeDigest decodes a digest from its wire form; missing parts are 0.
func DecodeDigest(sums []uint64) Digest {
	var d Digest
	copy(d[:], sums)
	return d
}

// PartBit returns the mask bit of the part that an endpoint belongs to.
func PartBit(id string) uint64 { return 1 << part(id) }

// part returns the index of the part that an endpoint belongs to.
func part(id string) int {
	return int(siphash.Hash(digestKey0, digestKey1, []byte(id)) % digestParts)
}

// Sum returns the checksum of an endpoint's record, without the fields that every
// heartbeat changes. For an endpoint that is gone only its ID counts. The sum of the
// zero value is 0.
func Sum(e Endpoint) uint64 {
	if e.ID == "" {
		return 0
	}
	const initialCap = 128
	b := make([]byte, 0, initialCap)
	b = append(b, e.ID...)
	if e.Gone {
		return siphash.Hash(digestKey0, digestKey1, append(b, 0, 'g'))
	}
	b = append(append(b, 0), e.Service...)
	b = append(append(b, 0), e.Domain...)
	b = e.Addr.AppendTo(append(b, 0))
	b = append(b, 0, byte(e.Slots>>8), byte(e.Slots))
	if e.Leaving {
		b = append(b, 'l')
	}
	return siphash.Hash(digestKey0, digestKey1, b)
}
