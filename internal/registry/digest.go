package registry

import (
	"github.com/dchest/siphash"
)

// digestParts is into how many parts endpoints are divided by their ids: one
// that differs costs that part of the list.
const digestParts = 64

// The keys of the digest's hash; they are part of the protocol between entries
// and control instances.
const (
	digestKey0 = 0x6f78626f77736164
	digestKey1 = 0x646c652073756d73
)

// Digest sums up what is known of endpoints, without what each heartbeat
// changes: a sum for each part of them. The order does not matter, and toggling a
// sum twice takes it out again.
type Digest [digestParts]uint64

// Toggle adds the sum of an endpoint, or takes it out.
func (d *Digest) Toggle(id string, sum uint64) { d[part(id)] ^= sum }

// Same returns a bit for each part in which two digests agree.
func (d *Digest) Same(other *Digest) uint64 {
	var bits uint64
	for i := range d {
		if d[i] == other[i] {
			bits |= 1 << i
		}
	}
	return bits
}

// DigestOf reads a digest as it travels; what is missing is 0.
func DigestOf(sums []uint64) Digest {
	var d Digest
	copy(d[:], sums)
	return d
}

// PartBit returns the bit of the part that an endpoint belongs to.
func PartBit(id string) uint64 { return 1 << part(id) }

// part returns the part that an endpoint belongs to.
func part(id string) int {
	return int(siphash.Hash(digestKey0, digestKey1, []byte(id)) % digestParts)
}

// Sum sums up what is known of an endpoint, without what each heartbeat changes.
// Of one that has ended only that counts; the zero value is none and sums up to 0.
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
