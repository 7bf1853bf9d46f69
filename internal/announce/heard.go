package announce

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// heardFor is how long an announcement counts: a control instance that is up
	// repeats it until there is a link.
	heardFor = 5 * time.Second
	// heardMost bounds how many count at once, so that whatever comes in such
	// datagrams leaves room for the seeds; one more takes the place of the oldest.
	heardMost = 3
)

// Heard holds the control instances that have announced themselves lately to
// an entry. The zero value has heard of none. One goroutine at a time uses it.
type Heard struct {
	at map[netip.AddrPort]time.Time
}

// Take takes an announcement.
func (h *Heard) Take(now time.Time, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 {
		return
	}
	if h.at == nil {
		h.at = map[netip.AddrPort]time.Time{}
	}
	h.drop(now)
	if _, known := h.at[addr]; !known && len(h.at) >= heardMost {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(h.at)), func(a, b netip.AddrPort) int {
			return h.at[a].Compare(h.at[b])
		})
		delete(h.at, oldest)
	}
	h.at[addr] = now
}

// Recent returns those whose announcement still counts, in order.
func (h *Heard) Recent(now time.Time) []netip.AddrPort {
	h.drop(now)
	return slices.SortedFunc(maps.Keys(h.at), netip.AddrPort.Compare)
}

// drop drops announcements that no longer count.
func (h *Heard) drop(now time.Time) {
	maps.DeleteFunc(h.at, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > heardFor })
}
