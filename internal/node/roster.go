package node

import (
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/wire"
)

// vouchFor is how long after the loop made it a roster tells the others that
// this instance is alive: five times as long as until the next one is sent. A
// loop that waits for its disk, or has none, makes no new one, so that others
// take the instance for silent and give its vote to another one.
const vouchFor = 5 * frameEvery

type (
	// madeRoster is a roster with when the loop made it.
	madeRoster struct {
		roster *wire.Roster
		at     time.Time
	}

	// madeStatus is what the loop believed, and when.
	madeStatus struct {
		status directory.Status
		at     time.Time
	}
)

// vouched returns the roster for other control instances, nil where it is too
// old to vouch for this one.
func (m *madeRoster) vouched(now time.Time) *wire.Roster {
	if now.Sub(m.at) > vouchFor {
		return nil
	}
	return m.roster
}
