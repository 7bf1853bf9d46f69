package node

import "time"

const (
	// dialFirst is how long the first attempt at an address may take. It is
	// short, since a host without power says nothing and may be back within
	// a moment: several times the round trip between failure domains. Each
	// failed attempt doubles it up to dialMost, for slow hosts.
	dialFirst = 40 * time.Millisecond
	dialMost  = 500 * time.Millisecond
	// redialAfter is the pause between two attempts at one address.
	redialAfter = 20 * time.Millisecond
)

// redial paces the attempts at one address.
type redial struct {
	timeout time.Duration // of the next attempt, 0 for dialFirst
}

// next returns how long the next attempt may take.
func (r *redial) next() time.Duration {
	if r.timeout == 0 {
		r.timeout = dialFirst
	}
	now := r.timeout
	r.timeout = min(2*r.timeout, dialMost)
	return now
}

// reached makes the next attempt a first one again.
func (r *redial) reached() { r.timeout = 0 }
