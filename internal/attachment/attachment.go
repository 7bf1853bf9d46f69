// Package attachment decides which control instances an entry is linked to: a few,
// ranked by a hash of entry and instance, so that entries spread evenly over all
// instances, and what is lost or new moves its own share of the links alone. The
// package has no I/O.
package attachment

import (
	"cmp"
	"slices"

	"github.com/dchest/siphash"
)

const (
	// The keys by which entries spread over control instances.
	rankKey0 = 0x6f78626f77736164
	rankKey1 = 0x7072696d61727900

	// LinksLeast is how few links an entry keeps at least: with one lost and one that is
	// behind, another still tells what is new.
	LinksLeast = 3
	// triedMost bounds the instances out of use that are tried beside the links in use:
	// those of a failure domain.
	triedMost = 5
)

type (
	// Candidate is a control instance that an entry may link to.
	Candidate struct {
		Address string
		Domain  string // failure domain, "" where it is not known
	}

	// Config sets who the entry is.
	Config struct {
		Entry  string // name
		Domain string // failure domain
		Links  int    // links in use that are wanted
	}
)

// Rank returns a number for a control instance that differs by entry.
func Rank(entry, address string) uint64 {
	return siphash.Hash(rankKey0, rankKey1, []byte(entry+" "+address))
}

// Links returns how many links an entry keeps so that one is left after the
// loss of some instances at once.
func Links(losses int) int { return max(LinksLeast, losses+1) }

// Choose returns the addresses that links are kept to, the preferred ones first:
// those of the own failure domain but for one link at least, which leaves it, then
// others, and those whose failure domain is not known last. One that is not usable,
// as far as known, is kept in its place, so that it is used again once it is back,
// and another one beside it.
func (c Config) Choose(candidates []Candidate, usable func(address string) bool) []string {
	near, far, unknown := c.divide(candidates)
	p := picking{usable: usable}
	near = p.take(near, c.Links-1)
	p.take(far, c.Links)
	p.take(near, c.Links)
	p.take(unknown, c.Links)
	return p.picked
}

// divide returns the candidates by where they are, each list by rank.
func (c Config) divide(candidates []Candidate) (near, far, unknown []string) {
	for _, each := range candidates {
		switch each.Domain {
		case c.Domain:
			near = append(near, each.Address)
		case "":
			unknown = append(unknown, each.Address)
		default:
			far = append(far, each.Address)
		}
	}
	for _, list := range [][]string{near, far, unknown} {
		slices.SortFunc(list, func(a, b string) int {
			return cmp.Or(cmp.Compare(Rank(c.Entry, b), Rank(c.Entry, a)), cmp.Compare(a, b))
		})
	}
	return near, far, unknown
}

// picking is what has been chosen so far.
type picking struct {
	usable func(address string) bool
	picked []string
	inUse  int
	tried  int // that are not usable
}

// take chooses from a list until enough are usable, and returns what is left of it.
func (p *picking) take(list []string, enough int) []string {
	for i, address := range list {
		switch {
		case p.inUse >= enough:
			return list[i:]
		case p.usable(address):
			p.inUse++
		case p.tried < triedMost:
			p.tried++
		default:
			continue
		}
		p.picked = append(p.picked, address)
	}
	return nil
}
