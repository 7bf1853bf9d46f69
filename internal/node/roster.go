package node

import (
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/wire"
)

// maxRosterAge is the age up to which a roster is sent to peers to show that this instance is
// alive: five times the interval between rosters. While the loop waits for its disk, or the disk
// has failed, it makes no new roster, so that peers consider the instance silent and replace it
// as a voter.
const maxRosterAge = 5 * frameInterval

type (
	// timedRoster is a roster with the time at which the loop made it.
	timedRoster struct {
		roster *wire.Roster
		at     time.Time
	}

	// timedStatus is a status with the time at which the loop made it.
	timedStatus struct {
		status directory.Status
		at     time.Time
	}
)

// fresh returns the roster, nil if it is older than maxRosterAge.
func (r *timedRoster) fresh(now time.Time) *wire.Roster {
	if now.Sub(r.at) > maxRosterAge {
		return nil
	}
	return r.roster
}
