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
	// maxUnusable bounds the instances out of use that are tried beside the links in use:
	// those of a failure domain.
	maxUnusable = 5
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
	local, remote, unknown := c.partition(candidates)
	s := selection{usable: usable}
	local = s.takeUntil(local, c.Links-1)
	s.takeUntil(remote, c.Links)
	s.takeUntil(local, c.Links)
	s.takeUntil(unknown, c.Links)
	return s.chosen
}

// partition returns the candidates by where they are, each list by rank.
func (c Config) partition(candidates []Candidate) (local, remote, unknown []string) {
	for _, candidate := range candidates {
		switch candidate.Domain {
		case c.Domain:
			local = append(local, candidate.Address)
		case "":
			unknown = append(unknown, candidate.Address)
		default:
			remote = append(remote, candidate.Address)
		}
	}
	for _, list := range [][]string{local, remote, unknown} {
		slices.SortFunc(list, func(a, b string) int {
			return cmp.Or(cmp.Compare(Rank(c.Entry, b), Rank(c.Entry, a)), cmp.Compare(a, b))
		})
	}
	return local, remote, unknown
}

// selection is what has been chosen so far.
type selection struct {
	usable      func(address string) bool
	chosen      []string
	usableCount int
	unusable    int // that are not usable
}

// takeUntil chooses from a list until enough are usable, and returns what is left of it.
func (s *selection) takeUntil(list []string, enough int) []string {
	for i, address := range list {
		switch {
		case s.usableCount >= enough:
			return list[i:]
		case s.usable(address):
			s.usableCount++
		case s.unusable < maxUnusable:
			s.unusable++
		default:
			continue
		}
		s.chosen = append(s.chosen, address)
	}
	return nil
}
