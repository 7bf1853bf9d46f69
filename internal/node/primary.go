package node

import (
	"cmp"
	"slices"

	"oxbowsaddle/internal/attachment"
)

// primary decides from which control instance an entry is told every change of
// endpoints as it comes. The others tell it sums of what has changed, so that it
// notices soon what the primary does not tell, without being told all of it by
// each.
type primary struct {
	entry   string            // name of the entry, by which entries spread
	domain  string            // failure domain of the entry
	domains map[string]string // failure domain of a control instance, by address
	chosen  string            // address, "" for none
}

func newPrimary(entry, domain string) *primary {
	return &primary{entry: entry, domain: domain, domains: map[string]string{}}
}

// setDomain notes in which failure domain a control instance is.
func (p *primary) setDomain(address, domain string) { p.domains[address] = domain }

// choose chooses among the control instances that are linked: the present one
// as long as it is and none is nearer, else one of the own failure domain, else
// any. It reports the one before where that changes.
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
