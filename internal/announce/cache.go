package announce

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// announcementTTL is how long an announcement stays valid; a running control
	// instance repeats it until the entry has linked to it.
	announcementTTL = 5 * time.Second
	// maxRecent bounds the valid announcements, so that forged datagrams cannot
	// crowd out the configured seeds. A further one replaces the oldest.
	maxRecent = 3
)

// Cache holds the control instances that have recently announced themselves to
// an entry. The zero value is empty. It is not safe for concurrent use.
type Cache struct {
	seenAt map[netip.AddrPort]time.Time
}

// Add adds an announcement. Addresses that are invalid or have no port are ignored.
func (h *Cache) Add(now time.Time, addr netip.AddrPort) {
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

// Recent returns the addresses of the valid announcements, sorted.
func (h *Cache) Recent(now time.Time) []netip.AddrPort {
	h.expire(now)
	return slices.SortedFunc(maps.Keys(h.seenAt), netip.AddrPort.Compare)
}

// expire drops announcements that are older than announcementTTL.
func (h *Cache) expire(now time.Time) {
	maps.DeleteFunc(h.seenAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > announcementTTL })
}
