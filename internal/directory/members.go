package directory

import (
	"slices"
	"strings"
	"time"

	"oxbowsaddle/internal/wire"
)

const (
	// aliveFor is how recently an instance must have been heard of to become
	// a voter: five rosters.
	aliveFor = time.Second
	// deadAfter is how long a voter must have been silent before another
	// instance takes its place: well above a restart, well below the time in
	// which a lost instance must be replaced.
	deadAfter = 2 * time.Second
	// listedFor is how long an instance that was heard of stays in rosters.
	listedFor = 20 * time.Second
)

// peer is a control instance that was heard of.
type peer struct {
	wire  *wire.ControlInstance
	heard time.Time
}

// Hear takes the roster of another control instance, which names itself
// first. An id at the address of another one has replaced it: the disk that
// kept the old id is lost.
func (d *Directory) Hear(now time.Time, roster *wire.Roster) {
	for i, c := range roster.Instances {
		if c.Id == d.config.Self || d.replaced[c.Id] {
			continue
		}
		heard := now.Add(-time.Duration(c.AgeNanos))
		if i == 0 {
			heard = now
			d.replace(c)
		} else if d.addressTaken(c) || now.Sub(heard) > listedFor {
			continue
		}
		if p := d.peers[c.Id]; p == nil {
			d.peers[c.Id] = &peer{c, heard}
		} else if heard.After(p.heard) {
			p.heard, p.wire = heard, c
		}
	}
}

// replace marks the other ids at the address of an instance as replaced.
func (d *Directory) replace(c *wire.ControlInstance) {
	for id, p := range d.peers {
		if id != c.Id && p.wire.Address == c.Address {
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

func (d *Directory) addressTaken(c *wire.ControlInstance) bool {
	if c.Address == d.config.Address {
		return true
	}
	for id, p := range d.peers {
		if id != c.Id && p.wire.Address == c.Address {
			return true
		}
	}
	return false
}

// AddressOf returns the peer address that an id was made at.
func AddressOf(id string) string {
	address, _, _ := strings.Cut(id, "#")
	return address
}

// Roster lists this instance first, then the others that it heard of, then
// voters that it has not heard of in this life.
func (d *Directory) Roster(now time.Time) *wire.Roster {
	r := &wire.Roster{Voters: d.replica.Voters(), Leader: d.replica.Leader()}
	r.Instances = append(r.Instances, &wire.ControlInstance{
		Id: d.config.Self, Address: d.config.Address, Domain: d.config.Domain, Front: d.config.Front,
	})
	for id, p := range d.peers {
		age := now.Sub(p.heard)
		if age > listedFor {
			delete(d.peers, id)
			continue
		}
		c := p.wire
		r.Instances = append(r.Instances, &wire.ControlInstance{
			Id: c.Id, Address: c.Address, Domain: c.Domain, Front: c.Front, AgeNanos: int64(age),
		})
	}
	slices.SortFunc(r.Instances[1:], func(a, b *wire.ControlInstance) int { return strings.Compare(a.Id, b.Id) })
	return r
}

// Addresses returns where the other control instances may be called.
func (d *Directory) Addresses() []string {
	var all []string
	add := func(address string) {
		if address != d.config.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	for _, p := range d.peers {
		add(p.wire.Address)
	}
	for _, id := range d.replica.Voters() {
		add(AddressOf(id))
	}
	slices.Sort(all)
	return all
}

// Front returns the address for operators of an instance, or "".
func (d *Directory) Front(id string) string {
	if id == d.config.Self {
		return d.config.Front
	}
	if p := d.peers[id]; p != nil {
		return p.wire.Front
	}
	return ""
}

// learners returns the instances that are alive and do not vote.
func (d *Directory) learners(now time.Time) []string {
	var ids []string
	for id, p := range d.peers {
		if now.Sub(p.heard) < aliveFor && !slices.Contains(d.replica.Voters(), id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// dead reports whether a voter is lost: its disk is, or it has been silent
// for long while this instance led.
func (d *Directory) dead(now time.Time, id string) bool {
	if id == d.config.Self {
		return false
	}
	if d.replaced[id] {
		return true
	}
	heard := d.ledSince
	if p := d.peers[id]; p != nil && p.heard.After(heard) {
		heard = p.heard
	}
	return now.Sub(heard) > deadAfter
}

// changeVoters proposes the next change of the voters, if one is wanted. A
// dead voter goes first, and only then another one comes: the other order
// would raise the majority by one, and the newcomer's loss, which is still the
// same loss, would leave too few. A voter that is only silent may come back
// with its disk, so it goes only when a newcomer can take its place at once.
// One change at a time: the log refuses the next while one is not committed.
func (d *Directory) changeVoters(now time.Time) {
	voters := d.replica.Voters()
	var dead, live []string
	for _, id := range voters {
		if d.dead(now, id) {
			dead = append(dead, id)
		} else {
			live = append(live, id)
		}
	}
	// Those whose disk is lost for certain go first.
	slices.SortStableFunc(dead, func(a, b string) int { return d.order(a) - d.order(b) })
	newcomer := d.newcomer(now, live)
	switch {
	case len(dead) > 0 && (d.replaced[dead[0]] || newcomer != "" || len(voters) > d.config.Voters):
		d.propose(now, without(voters, dead[0]))
	case len(voters) > d.config.Voters:
		d.propose(now, without(voters, d.crowded(live)))
	case len(voters) < d.config.Voters && newcomer != "":
		d.propose(now, append(slices.Clone(voters), newcomer))
	}
}

func (d *Directory) order(id string) int {
	if d.replaced[id] {
		return 0
	}
	return 1
}

func (d *Directory) propose(now time.Time, voters []string) {
	// A refusal means that the last change is still under way; the next tick
	// asks again.
	_, _ = d.replica.ProposeVoters(now, voters)
}

// newcomer returns the learner that holds the committed log and whose failure
// domain has the fewest voters, or "".
func (d *Directory) newcomer(now time.Time, live []string) string {
	best, fewest := "", 0
	for _, id := range d.learners(now) {
		if match := d.replica.Match(id); match == 0 || match < d.replica.Commit() {
			continue
		}
		if n := d.inDomain(live, d.domain(id)); best == "" || n < fewest {
			best, fewest = id, n
		}
	}
	return best
}

// crowded returns the voter, other than this instance, whose failure domain
// has the most voters.
func (d *Directory) crowded(live []string) string {
	best, most := "", -1
	for _, id := range live {
		if n := d.inDomain(live, d.domain(id)); id != d.config.Self && n > most {
			best, most = id, n
		}
	}
	return best
}

func (d *Directory) inDomain(ids []string, domain string) int {
	n := 0
	for _, id := range ids {
		if d.domain(id) == domain {
			n++
		}
	}
	return n
}

func (d *Directory) domain(id string) string {
	if id == d.config.Self {
		return d.config.Domain
	}
	if p := d.peers[id]; p != nil {
		return p.wire.Domain
	}
	return ""
}

func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}
