// Package node runs the processes of a fleet in which the network tags the packets of each
// flow: entries, which forward packets, and control instances, which store the document and
// the list of endpoints. It provides the sockets, files, timers and links around the logic of
// packages steer, registry and directory.
package node

import "time"

// monotonicOrigin is the first reading of the monotonic clock, above zero so that no reading
// equals the zero value.
const monotonicOrigin = time.Hour

// MonotonicClock returns a clock that is unaffected by changes of the wall clock. Its readings
// are meaningful only within this process.
func MonotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return time.Unix(0, 0).Add(monotonicOrigin + time.Since(start)) }
}
