package announce

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// announcementTTL is how long an announcement counts: a control instance that is up
	// repeats it until there is a link.
	announcementTTL = 5 * time.Second
	// maxRecent bounds how many count at once, so that whatever comes in such
	// datagrams leaves room for the seeds; one more takes the place of the oldest.
	maxRecent = 3
)

// Heard holds the control instances that have announced themselves lately to
// an entry. The zero value has heard of none. One goroutine at a time uses it.
type Heard struct {
	seenAt map[netip.AddrPort]time.Time
}

// Take takes an announcement.
func (h *Heard) Take(now time.Time, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 {
		return
	}
	if h.seenAt == nil {
		h.seenAt = map[netip.AddrPort]time.Time{}
	}
	h.expire(now)
	if _, known := h.seenAt[addr]; !known && len(h.seenAt) >= maxRecent {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(h.seenAt)), func(a, b netip.AddrPort) int {
			return h.seenAt[a].Compare(h.seenAt[b])
		})
		delete(h.seenAt, oldest)
	}
	h.seenAt[addr] = now
}

// Recent returns those whose announcement still counts, in order.
func (h *Heard) Recent(now time.Time) []netip.AddrPort {
	h.expire(now)
	return slices.SortedFunc(maps.Keys(h.seenAt), netip.AddrPort.Compare)
}

// expire drops announcements that no longer count.
func (h *Heard) expire(now time.Time) {
	maps.DeleteFunc(h.seenAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > announcementTTL })
}
