package directory

import (
	"slices"
	"time"
)

const (
	// maxLearnerSilence is five roster intervals; an instance that is silent for
	// longer cannot become a voter.
	maxLearnerSilence = time.Second
	// maxLearnerAckAge is how old the last append may be that a learner has acknowledged for it to
	// become a voter. It covers two heartbeats: the changes that follow wait for the new voter.
	maxLearnerAckAge = 2 * Heartbeat
	// maxVoterSilence allows a voter to restart before it is replaced.
	maxVoterSilence = 2 * time.Second
)

// learners returns the live instances that are not voters.
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

// isDead reports whether a voter has lost its disk, or has been silent for more
// than maxVoterSilence while this instance led.
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

// changeVoters proposes the next change of the voters, if one is needed. A voter
// with a lost disk is removed before its replacement is added: the opposite
// order raises the majority by one, so that losing the new voter could leave too
// few. A voter that is only silent may return with its disk. Its replacement is
// added first, since with one voter less the loss of one more disk could leave
// too few for good.
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
	// Voters with a lost disk are removed first.
	slices.SortStableFunc(dead, func(a, b string) int { return d.removalOrder(a) - d.removalOrder(b) })
	candidate := d.promotableLearner(now, live)
	surplus := len(voters) > d.config.Voters
	switch {
	case len(dead) > 0 && (d.replaced[dead[0]] || surplus):
		d.proposeVoters(now, without(voters, dead[0]))
	case surplus:
		d.proposeVoters(now, without(voters, d.surplusVoter(live)))
	case candidate != "" && (len(dead) > 0 || len(voters) < d.config.Voters):
		d.proposeVoters(now, append(slices.Clone(voters), candidate))
	}
}

// removalOrder is the sort key of dead voters: 0 for a lost disk, 1 for
// silence only.
func (d *Directory) removalOrder(id string) int {
	if d.replaced[id] {
		return 0
	}
	return 1
}

// proposeVoters proposes a new list of voters to the replicated log.
func (d *Directory) proposeVoters(now time.Time, voters []string) {
	// An error means that the previous change is not committed yet; the next
	// tick retries.
	_, _ = d.replica.ProposeVoters(now, voters)
}

// promotableLearner returns the learner that holds all committed entries, has
// acknowledged an append within maxLearnerAckAge, and whose failure domain has
// the fewest live voters, or "".
func (d *Directory) promotableLearner(now time.Time, live []string) string {
	best, fewest := "", 0
	for _, id := range d.learners(now) {
		if match := d.replica.Match(id); match == 0 || match < d.replica.Commit() {
			continue
		}
		if now.Sub(d.replica.LastAck(id)) > maxLearnerAckAge {
			continue
		}
		if n := d.countInDomain(live, d.domainOf(id)); best == "" || n < fewest {
			best, fewest = id, n
		}
	}
	return best
}

// surplusVoter returns the voter other than this instance whose failure domain
// has the most live voters.
func (d *Directory) surplusVoter(live []string) string {
	best, most := "", -1
	for _, id := range live {
		if n := d.countInDomain(live, d.domainOf(id)); id != d.config.Self && n > most {
			best, most = id, n
		}
	}
	return best
}

// countInDomain counts the IDs in a failure domain.
func (d *Directory) countInDomain(ids []string, domain string) int {
	n := 0
	for _, id := range ids {
		if d.domainOf(id) == domain {
			n++
		}
	}
	return n
}

// domainOf returns the failure domain of an instance, or "" if it is unknown.
func (d *Directory) domainOf(id string) string {
	if id == d.config.Self {
		return d.config.Domain
	}
	if p := d.peers[id]; p != nil {
		return p.instance.Domain
	}
	return ""
}

// without returns a copy of ids with one removed.
func without(ids []string, id string) []string {
	return slices.DeleteFunc(slices.Clone(ids), func(other string) bool { return other == id })
}
