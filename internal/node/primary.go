package node

import (
	"cmp"
	"slices"

	"oxbowsaddle/internal/attachment"
)

// primary chooses the control instance that sends an entry every change of endpoints. The
// others send only summaries, by which the entry detects records that the primary has missed,
// without the cost of sending every change several times.
type primary struct {
	entry   string            // name of the entry; ranks control instances differently for each entry
	domain  string            // failure domain of the entry
	domains map[string]string // failure domain of a control instance, by address
	chosen  string            // address of the primary, "" for none
}

func newPrimary(entry, domain string) *primary {
	return &primary{entry: entry, domain: domain, domains: map[string]string{}}
}

// setDomain records the failure domain of a control instance.
func (p *primary) setDomain(address, domain string) { p.domains[address] = domain }

// choose chooses the primary among the linked control instances. It prefers those in the
// entry's own failure domain, keeps the current primary if it is among the preferred, and
// otherwise takes the one of the highest rank. It returns the previous primary and whether
// the choice has changed.
func (p *primary) choose(linked []string) (previous string, changed bool) {
	previous = p.chosen
	local := slices.DeleteFunc(slices.Clone(linked), func(address string) bool { return p.domains[address] != p.domain })
	if len(local) == 0 {
		local = linked
	}
	if slices.Contains(local, previous) {
		return previous, false
	}
	p.chosen = ""
	if len(local) > 0 {
		p.chosen = slices.MaxFunc(local, func(a, b string) int {
			return cmp.Compare(attachment.Rank(p.entry, a), attachment.Rank(p.entry, b))
		})
	}
	return previous, p.chosen != previous
}
