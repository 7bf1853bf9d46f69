package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/attachment"
	"oxbowsaddle/internal/wire"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "node")
}

// unreachableAddr is an address that refuses connections.
func unreachableAddr(n int) string { return fmt.Sprintf("127.0.0.%d:1", n) }

func rosterOf(addresses ...string) *wire.Roster {
	r := &wire.Roster{}
	for _, a := range addresses {
		r.Instances = append(r.Instances, &wire.ControlInstance{Address: a, Domain: "elsewhere"})
	}
	return r
}

// hangingDial is a Dialer whose attempts have no outcome.
func hangingDial(ctx context.Context, _ string, _ time.Duration) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// unlinkedEntry returns an entry that does not run and seeks two seeds that say nothing.
func unlinkedEntry(ctx context.Context) *Entry { return unlinkedEntryWithClock(ctx, SteadyClock()) }

// unlinkedEntryWithClock returns one by a clock.
func unlinkedEntryWithClock(ctx context.Context, now func() time.Time) *Entry {
	e := NewEntry(EntryConfig{Name: "e1", Domain: "here", Dial: hangingDial, Log: log.New(io.Discard), Now: now})
	e.uplinks.setSeeds(ctx, []netip.AddrPort{netip.MustParseAddrPort(unreachableAddr(1)), netip.MustParseAddrPort(unreachableAddr(2))})
	return e
}

var _ = ginkgo.Describe("the links of an entry", func() {
	var w *linkManager
	var ctx context.Context
	var now time.Time
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		now = time.Unix(1000, 0)
		w = unlinkedEntryWithClock(ctx, func() time.Time { return now }).uplinks
	})
	linked := func() []string {
		w.mu.Lock()
		defer w.mu.Unlock()
		return slices.Sorted(maps.Keys(w.links))
	}
	// use has the link to an address carry what is told.
	use := func(address string) { Expect(w.activate(ctx, ctx, address, false)).To(BeTrue(), address) }
	// rank sorts addresses by the order in which the entry prefers them.
	rank := func(addresses []string) []string {
		return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
			return cmp.Compare(attachment.Rank(w.plan.Entry, b), attachment.Rank(w.plan.Entry, a))
		})
	}

	ginkgo.It("go to the seeds and to whatever a control instance lists", func() {
		w.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(1), unreachableAddr(3)))
		Expect(linked()).To(Equal([]string{unreachableAddr(1), unreachableAddr(2), unreachableAddr(3)}))
	})

	ginkgo.It("stay when a control instance that has just started lists nobody but itself", func() {
		w.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(1), unreachableAddr(3)))
		w.setRoster(ctx, unreachableAddr(4), rosterOf(unreachableAddr(4)))
		Expect(linked()).To(ContainElement(unreachableAddr(3)))
	})

	ginkgo.It("leave the seeds once others that are listed carry what is told", func() {
		far := []string{unreachableAddr(11), unreachableAddr(12), unreachableAddr(13)}
		w.setRoster(ctx, unreachableAddr(1), rosterOf(far...))
		Expect(linked()).To(ContainElements(far))
		use(far[0])
		use(far[1])
		Expect(linked()).To(ContainElements(far))
		use(far[2])
		Expect(linked()).To(Equal(far))
	})

	ginkgo.It("carry nothing where others are chosen, unless nobody tells anything", func() {
		w.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(11), unreachableAddr(12), unreachableAddr(13)))
		Expect(w.activate(ctx, ctx, unreachableAddr(1), false)).To(BeFalse())
		Expect(w.activate(ctx, ctx, unreachableAddr(1), true)).To(BeTrue(), "after a while")
		Expect(w.activate(ctx, ctx, unreachableAddr(2), true)).To(BeFalse(), "one does")
	})

	ginkgo.It("go beside one that fails, or that has heard no leader for a while, to another one", func() {
		var all []string
		for n := range 9 {
			all = append(all, unreachableAddr(20+n))
		}
		w.setSeeds(ctx, nil)
		w.setRoster(ctx, all[0], rosterOf(all...))
		order := rank(all)
		Expect(linked()).To(ConsistOf(order[:3]))
		for _, address := range order[:3] {
			use(address)
		}
		w.markUnreachable(ctx, order[0], w.links[order[0]])
		Expect(linked()).To(ConsistOf(order[:4]))
		use(order[3])
		use(order[0])
		Expect(linked()).To(ConsistOf(order[:3]), "it is back")

		w.setFollowsLeader(order[1], false)
		w.reconcile(ctx)
		Expect(linked()).To(ConsistOf(order[:3]), "an election may be under way")
		now = now.Add(leaderlessTimeout)
		w.reconcile(ctx)
		Expect(linked()).To(ConsistOf(order[:4]))
		w.setFollowsLeader(order[1], true)
		w.reconcile(ctx)
		Expect(linked()).To(ConsistOf(order[:3]))
	})

	ginkgo.It("end when nobody in reach lists the address any more", func() {
		w.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(1), unreachableAddr(3)))
		w.setRoster(ctx, unreachableAddr(1), nil)
		Expect(linked()).To(Equal([]string{unreachableAddr(1), unreachableAddr(2)}))
	})

	ginkgo.It("remember nothing of an address that nobody names any more", func() {
		w.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(3)))
		w.markUnreachable(ctx, unreachableAddr(3), w.links[unreachableAddr(3)])
		Expect(w.failedAt).To(HaveKey(unreachableAddr(3)))
		w.setRoster(ctx, unreachableAddr(1), nil)
		Expect(w.failedAt).To(BeEmpty())
	})

	ginkgo.It("follow other seeds", func() {
		w.setSeeds(ctx, []netip.AddrPort{netip.MustParseAddrPort(unreachableAddr(5))})
		Expect(linked()).To(Equal([]string{unreachableAddr(5)}))
	})

	ginkgo.It("do not change about between rosters that name more than are watched", func() {
		var all []string
		for n := range 12 {
			all = append(all, unreachableAddr(10+n))
		}
		w.setRoster(ctx, all[0], rosterOf(all...))
		for _, address := range rank(all)[:attachment.LinksLeast] {
			use(address)
		}
		before := linked()
		Expect(before).To(HaveLen(attachment.LinksLeast))
		slices.Reverse(all)
		w.setRoster(ctx, all[0], rosterOf(all...))
		Expect(linked()).To(Equal(before))
	})
})
