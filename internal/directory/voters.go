package directory

import (
	"slices"
	"time"
)

const (
	// maxLearnerSilence is how recently an instance must have been heard of to become
	// a voter: five rosters.
	maxLearnerSilence = time.Second
	// maxVoterSilence is how long a voter must have been silent before another
	// instance takes its place: well above a restart, well below the time in
	// which a lost instance must be replaced.
	maxVoterSilence = 2 * time.Second
)

// learners returns the instances that are alive and do not vote.
func (d *Directory) learners(now time.Time) []string {
	var ids []string
	for id, p := range d.peers {
		if now.Sub(p.lastHeard) < maxLearnerSilence && !slices.Contains(d.replica.Voters(), id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// isDead reports whether a voter is lost: its disk is, or it has been silent
// for long while this instance led.
func (d *Directory) isDead(now time.Time, id string) bool {
	if id == d.config.Self {
		return false
	}
	if d.replaced[id] {
		return true
	}
	heard := d.leaderSince
	if p := d.peers[id]; p != nil && p.lastHeard.After(heard) {
		heard = p.lastHeard
	}
	return now.Sub(heard) > maxVoterSilence
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
		if d.isDead(now, id) {
			dead = append(dead, id)
		} else {
			live = append(live, id)
		}
	}
	// Those whose disk is lost for certain go first.
	slices.SortStableFunc(dead, func(a, b string) int { return d.removalOrder(a) - d.removalOrder(b) })
	candidate := d.promotableLearner(now, live)
	switch {
	case len(dead) > 0 && (d.replaced[dead[0]] || candidate != "" || len(voters) > d.config.Voters):
		d.proposeVoters(now, without(voters, dead[0]))
	case len(voters) > d.config.Voters:
		d.proposeVoters(now, without(voters, d.surplusVoter(live)))
	case len(voters) < d.config.Voters && candidate != "":
		d.proposeVoters(now, append(slices.Clone(voters), candidate))
	}
}

// removalOrder sorts dead voters: 0 for one whose disk is lost for certain, 1
// for one that has only been silent.
func (d *Directory) removalOrder(id string) int {
	if d.replaced[id] {
		return 0
	}
	return 1
}

// proposeVoters proposes other voters to the replicated log.
func (d *Directory) proposeVoters(now time.Time, voters []string) {
	// A refusal means that the last change is still under way; the next tick
	// asks again.
	_, _ = d.replica.ProposeVoters(now, voters)
}

// promotableLearner returns the learner that holds the committed log and whose failure
// domain has the fewest voters, or "".
func (d *Directory) promotableLearner(now time.Time, live []string) string {
	best, fewest := "", 0
	for _, id := range d.learners(now) {
		if match := d.replica.Match(id); match == 0 || match < d.replica.Commit() {
			continue
		}
		if n := d.countInDomain(live, d.domainOf(id)); best == "" || n < fewest {
			best, fewest = id, n
		}
	}
	return best
}

// surplusVoter returns the voter, other than this instance, whose failure domain
// has the most voters.
func (d *Directory) surplusVoter(live []string) string {
	best, most := "", -1
	for _, id := range live {
		if n := d.countInDomain(live, d.domainOf(id)); id != d.config.Self && n > most {
			best, most = id, n
		}
	}
	return best
}

// countInDomain counts the instances of a failure domain.
func (d *Directory) countInDomain(ids []string, domain string) int {
	n := 0
	for _, id := range ids {
		if d.domainOf(id) == domain {
			n++
		}
	}
	return n
}

// domainOf returns the failure domainOf of an instance, "" where it was not heard
// of.
func (d *Directory) domainOf(id string) string {
	if id == d.config.Self {
		return d.config.Domain
	}
	if p := d.peers[id]; p != nil {
		return p.instance.Domain
	}
	return ""
}

// without returns a copy of the ids that lacks one.
func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}
