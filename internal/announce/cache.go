package announce

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// announcementTTL is how long an announcement stays valid; a running control
	// instance resends it until the entry links to that instance.
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
func (c *Cache) Add(now time.Time, addr netip.AddrPort) {
	if !addr.IsValid() || addr.Port() == 0 {
		return
	}
	if c.seenAt == nil {
		c.seenAt = map[netip.AddrPort]time.Time{}
	}
	c.expire(now)
	if _, known := c.seenAt[addr]; !known && len(c.seenAt) >= maxRecent {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(c.seenAt)), func(a, b netip.AddrPort) int {
			return c.seenAt[a].Compare(c.seenAt[b])
		})
		delete(c.seenAt, oldest)
	}
	c.seenAt[addr] = now
}

// Recent returns the addresses of the valid announcements, sorted.
func (c *Cache) Recent(now time.Time) []netip.AddrPort {
	c.expire(now)
	return slices.SortedFunc(maps.Keys(c.seenAt), netip.AddrPort.Compare)
}

// expire drops announcements that are older than announcementTTL.
func (c *Cache) expire(now time.Time) {
	maps.DeleteFunc(c.seenAt, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) > announcementTTL })
}
