package node

import (
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/wire"
)

// maxRosterAge is how long after the loop made it a roster tells the others that
// this instance is alive: five times as long as until the next one is sent. A
// loop that waits for its disk, or has none, makes no new one, so that others
// take the instance for silent and give its vote to another one.
const maxRosterAge = 5 * frameInterval

type (
	// timedRoster is a roster with when the loop made it.
	timedRoster struct {
		roster *wire.Roster
		at     time.Time
	}

	// timedStatus is what the loop believed, and when.
	timedStatus struct {
		status directory.Status
		at     time.Time
	}
)

// fresh returns the roster for other control instances, nil where it is too
// old to vouch for this one.
func (m *timedRoster) fresh(now time.Time) *wire.Roster {
	if now.Sub(m.at) > maxRosterAge {
		return nil
	}
	return m.roster
}
