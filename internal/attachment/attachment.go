// Package attachment decides which control instances an entry keeps links to.
// It ranks them by a rendezvous hash of entry and instance, so that links spread
// evenly over all instances, and the loss or addition of an instance moves only
// its own share of the links. The package performs no I/O.
package attachment

import (
	"cmp"
	"slices"

	"github.com/dchest/siphash"
)

const (
	// Keys of the hash that ranks control instances.
	rankKey0 = 0x6f78626f77736164
	rankKey1 = 0x7072696d61727900

	// MinLinks is the minimum number of links of an entry: with one lost and one
	// lagging behind, another still delivers changes in time.
	MinLinks = 3
	// maxUnusable bounds the unusable instances that are tried in addition to the
	// links in use. It covers the instances of one failure domain.
	maxUnusable = 5
)

type (
	// Candidate is a control instance that an entry may link to.
	Candidate struct {
		Address string
		Domain  string // failure domain, empty if unknown
	}

	// Config describes the entry that chooses its links.
	Config struct {
		Entry  string // name
		Domain string // failure domain
		Links  int    // desired number of links in use
	}
)

// Rank returns the rendezvous hash of an entry and a control instance.
func Rank(entry, address string) uint64 {
	return siphash.Hash(rankKey0, rankKey1, []byte(entry+" "+address))
}

// RequiredLinks returns how many links an entry needs so that one remains after the
// given number of instances is lost at once.
func RequiredLinks(losses int) int { return max(MinLinks, losses+1) }

// Choose returns the addresses to keep links to, in order of preference. It takes
// instances of the entry's own failure domain, except for at least one link to
// another, then the others, and those of unknown failure domain last. An unusable
// instance keeps its place, so that it is used again once it is back, and a usable
// one is chosen in addition.
func (c Config) Choose(candidates []Candidate, usable func(address string) bool) []string {
	local, remote, unknown := c.groupByDomain(candidates)
	s := selection{usable: usable}
	local = s.takeUntil(local, c.Links-1)
	s.takeUntil(remote, c.Links)
	s.takeUntil(local, c.Links)
	s.takeUntil(unknown, c.Links)
	return s.chosen
}

// groupByDomain returns the addresses of the candidates in the entry's failure
// domain, in others and in unknown ones, each group sorted by rank.
func (c Config) groupByDomain(candidates []Candidate) (local, remote, unknown []string) {
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

// selection accumulates the chosen addresses.
type selection struct {
	usable      func(address string) bool
	chosen      []string
	usableCount int
	unusable    int // chosen addresses that are not usable
}

// takeUntil chooses from a list until the given number of addresses is usable, and
// returns the rest of the list.
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
