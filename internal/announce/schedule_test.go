package announce

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAnnounce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "announce")
}

var start = time.Unix(5000, 0)

// addr returns the listening address of the n-th entry.
func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 7001)
}

func addrs(n int) (all []netip.AddrPort) {
	for i := range n {
		all = append(all, addr(i))
	}
	return all
}

var _ = Describe("a Schedule", func() {
	var s *Schedule
	BeforeEach(func() { s = &Schedule{} })

	It("announces to entries restored after a restart until they are linked", func() {
		s.Restore(start, addrs(2))
		Expect(s.Due(start)).To(ConsistOf(addr(0), addr(1)))
		Expect(s.Due(start.Add(TickInterval))).To(BeEmpty(), "both were sent an announcement within resendInterval")
		s.Linked(start.Add(TickInterval), addr(0))
		Expect(s.Due(start.Add(resendInterval))).To(ConsistOf(addr(1)))
		Expect(s.Due(start.Add(announceDuration+time.Second))).To(BeEmpty(), "announceDuration has passed")
		Expect(s.Known()).To(Equal(addrs(2)), "unlinked entries are remembered")
	})

	It("announces to a fleet within 60 ms and to at most MaxPerTick entries at once", func() {
		s.Restore(start, addrs(352))
		announced := map[netip.AddrPort]int{}
		for now := start; now.Sub(start) < 60*time.Millisecond; now = now.Add(TickInterval) {
			due := s.Due(now)
			Expect(len(due)).To(BeNumerically("<=", MaxPerTick))
			for _, a := range due {
				announced[a]++
			}
		}
		Expect(announced).To(HaveLen(352))
	})

	It("announces to an entry whose last link has ended", func() {
		s.Linked(start, addr(0))
		s.Linked(start, addr(0)) // the second link opens before the first is known to have ended
		s.Unlinked(start, addr(0))
		Expect(s.Due(start)).To(BeEmpty())
		s.Unlinked(start.Add(time.Second), addr(0))
		Expect(s.Due(start.Add(time.Second))).To(ConsistOf(addr(0)))
		s.Unlinked(start, addr(1)) // never linked
		Expect(s.Known()).To(HaveLen(1))
	})

	It("drops entries that have been unlinked for long and accepts new ones again", func() {
		s.Restore(start, addrs(maxEntries))
		s.Linked(start, netip.AddrPort{})
		s.Linked(start, addr(maxEntries))
		Expect(s.Known()).To(HaveLen(maxEntries))
		Expect(s.Len()).To(Equal(maxEntries))
		s.Linked(start, addr(3))
		before := s.Changes()
		s.Due(start.Add(retention + 2*pruneInterval))
		Expect(s.Known()).To(ConsistOf(addr(3)))
		Expect(s.Changes()).To(BeNumerically(">", before))
		s.Linked(start.Add(retention+2*pruneInterval), addr(maxEntries))
		Expect(s.Known()).To(HaveLen(2))
	})

	It("announces to exactly the entries without a link, for random link changes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const entries = 5
			s, links, since, now := &Schedule{}, map[int]int{}, map[int]time.Time{}, start
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				n := rapid.IntRange(0, entries-1).Draw(t, "entry")
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					s.Linked(now, addr(n))
					links[n]++
				case 1:
					s.Unlinked(now, addr(n))
					if links[n] > 0 {
						if links[n]--; links[n] == 0 {
							since[n] = now
						}
					}
				default:
					now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
				}
				now = now.Add(resendInterval)
				var wanted []netip.AddrPort
				for n, at := range since {
					if links[n] == 0 && now.Sub(at) <= announceDuration {
						wanted = append(wanted, addr(n))
					}
				}
				if due := s.Due(now); len(wanted) == 0 && len(due) > 0 || len(wanted) > 0 && !sameSet(due, wanted) {
					t.Fatalf("due %v, want %v", due, wanted)
				}
			}
		})
	})
})

func sameSet(a, b []netip.AddrPort) bool {
	count := map[netip.AddrPort]int{}
	for _, x := range a {
		count[x]++
	}
	for _, x := range b {
		count[x]--
	}
	for _, n := range count {
		if n != 0 {
			return false
		}
	}
	return true
}

var _ = Describe("a Cache", func() {
	It("keeps the latest few announcements until they expire", func() {
		var c Cache
		Expect(c.Recent(start)).To(BeEmpty())
		for n := range 5 {
			c.Add(start.Add(time.Duration(n)), addr(n))
		}
		Expect(c.Recent(start)).To(Equal([]netip.AddrPort{addr(2), addr(3), addr(4)}))
		c.Add(start.Add(announcementTTL), addr(3))
		Expect(c.Recent(start.Add(announcementTTL + time.Second))).To(Equal([]netip.AddrPort{addr(3)}))
	})

	It("ignores invalid addresses and port 0", func() {
		var c Cache
		c.Add(start, netip.AddrPort{})
		c.Add(start, netip.AddrPortFrom(addr(0).Addr(), 0))
		Expect(c.Recent(start)).To(BeEmpty())
	})
})
