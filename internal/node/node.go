// Package node runs the processes of a fleet whose fabric carries a tag with
// each flow: entries, which carry packets, and control instances, which keep
// the document and the list of endpoints. It holds the sockets, files, timers
// and links round the cores of packages steer, registry and directory.
package node

import "time"

// monotonicOrigin is what a steady clock reads at its start: above zero, so that
// no stamp is mistaken for none.
const monotonicOrigin = time.Hour

// SteadyClock returns a clock that jumps of the time of day do not move; its
// readings mean nothing outside the process.
func SteadyClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return time.Unix(0, 0).Add(monotonicOrigin + time.Since(start)) }
}
