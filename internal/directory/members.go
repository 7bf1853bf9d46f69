package directory

import (
	"slices"
	"strings"
	"time"

	"oxbowsaddle/internal/wire"
)

// maxListedSilence is how long a silent instance stays in rosters.
const maxListedSilence = 20 * time.Second

// peer is another control instance known from rosters.
type peer struct {
	instance  *wire.ControlInstance
	lastHeard time.Time
}

// HandleRoster updates the known peers from the roster of another control
// instance, which lists itself first. An instance that reports a new ID at a
// known address has lost its disk, so the previous ID is marked as replaced.
func (d *Directory) HandleRoster(now time.Time, roster *wire.Roster) {
	for i, c := range roster.Instances {
		if c.Id == d.config.Self || d.replaced[c.Id] {
			continue
		}
		heard := now.Add(-time.Duration(c.AgeNanos))
		if i == 0 {
			heard = now
			d.markReplaced(c)
		} else if d.addressTaken(c) || now.Sub(heard) > maxListedSilence {
			continue
		}
		if p := d.peers[c.Id]; p == nil {
			d.peers[c.Id] = &peer{c, heard}
		} else if heard.After(p.lastHeard) {
			p.lastHeard, p.instance = heard, c
		}
	}
}

// markReplaced marks the other IDs at the address of an instance as replaced.
func (d *Directory) markReplaced(c *wire.ControlInstance) {
	for id, p := range d.peers {
		if id != c.Id && p.instance.Address == c.Address {
			d.replaced[id] = true
			delete(d.peers, id)
		}
	}
	for _, id := range d.replica.Voters() {
		if id != c.Id && AddressOf(id) == c.Address {
			d.replaced[id] = true
		}
	}
}

// addressTaken reports whether the address of an instance belongs to this
// instance or to a known peer with another ID.
func (d *Directory) addressTaken(c *wire.ControlInstance) bool {
	if c.Address == d.config.Address {
		return true
	}
	for id, p := range d.peers {
		if id != c.Id && p.instance.Address == c.Address {
			return true
		}
	}
	return false
}

// AddressOf returns the peer address contained in an ID.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, "#")
	return address
}

// Roster lists this instance first, then its peers by ID. Peers silent for
// longer than maxListedSilence are forgotten.
func (d *Directory) Roster(now time.Time) *wire.Roster {
	r := &wire.Roster{Voters: d.replica.Voters(), Leader: d.replica.Leader(), Leads: d.replica.Current(now)}
	r.Current = r.Leads || d.replica.FollowsLeader(now)
	r.Instances = append(r.Instances, &wire.ControlInstance{
		Id: d.config.Self, Address: d.config.Address, Domain: d.config.Domain, Front: d.config.Front,
	})
	for id, p := range d.peers {
		age := now.Sub(p.lastHeard)
		if age > maxListedSilence {
			delete(d.peers, id)
			continue
		}
		c := p.instance
		r.Instances = append(r.Instances, &wire.ControlInstance{
			Id: c.Id, Address: c.Address, Domain: c.Domain, Front: c.Front, AgeNanos: int64(age),
		})
	}
	slices.SortFunc(r.Instances[1:], func(a, b *wire.ControlInstance) int { return strings.Compare(a.Id, b.Id) })
	return r
}

// Addresses returns the sorted addresses of the known peers and voters, without
// this instance's own.
func (d *Directory) Addresses() []string {
	var all []string
	addOther := func(address string) {
		if address != d.config.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	for _, p := range d.peers {
		addOther(p.instance.Address)
	}
	for _, id := range d.replica.Voters() {
		addOther(AddressOf(id))
	}
	slices.Sort(all)
	return all
}

// Front returns the address for operators and endpoints of an instance, or ""
// if it is unknown.
func (d *Directory) Front(id string) string {
	if id == d.config.Self {
		return d.config.Front
	}
	if p := d.peers[id]; p != nil {
		return p.instance.Front
	}
	return ""
}
