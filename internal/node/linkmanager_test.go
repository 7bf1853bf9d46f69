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

// unreachableAddr returns the n-th of several addresses that refuse connections.
func unreachableAddr(n int) string { return fmt.Sprintf("127.0.0.%d:1", n) }

// rosterOf returns a roster that lists instances at the given addresses.
func rosterOf(addresses ...string) *wire.Roster {
	r := &wire.Roster{}
	for _, a := range addresses {
		r.Instances = append(r.Instances, &wire.ControlInstance{Address: a, Domain: "elsewhere"})
	}
	return r
}

// hangingDial is a Dialer that blocks until the context is done.
func hangingDial(ctx context.Context, _ string, _ time.Duration) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// unlinkedEntry returns an entry that is not running, with two seeds that never answer.
func unlinkedEntry(ctx context.Context) *Entry { return unlinkedEntryWithClock(ctx, MonotonicClock()) }

// unlinkedEntryWithClock is unlinkedEntry with the given clock.
func unlinkedEntryWithClock(ctx context.Context, now func() time.Time) *Entry {
	e := NewEntry(EntryConfig{Name: "e1", Domain: "here", Dial: hangingDial, Log: log.New(io.Discard), Now: now})
	e.manager.setSeeds(ctx, []netip.AddrPort{netip.MustParseAddrPort(unreachableAddr(1)), netip.MustParseAddrPort(unreachableAddr(2))})
	return e
}

var _ = ginkgo.Describe("the links of an entry", func() {
	var m *linkManager
	var ctx context.Context
	var now time.Time
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		now = time.Unix(1000, 0)
		m = unlinkedEntryWithClock(ctx, func() time.Time { return now }).manager
	})
	linked := func() []string {
		m.mu.Lock()
		defer m.mu.Unlock()
		return slices.Sorted(maps.Keys(m.links))
	}
	// activate expects that the link to an address can be activated.
	activate := func(address string) { Expect(m.activate(ctx, ctx, address, false)).To(BeTrue(), address) }
	// rank sorts addresses by the entry's preference, highest first.
	rank := func(addresses []string) []string {
		return slices.SortedFunc(slices.Values(addresses), func(a, b string) int {
			return cmp.Compare(attachment.Rank(m.plan.Entry, b), attachment.Rank(m.plan.Entry, a))
		})
	}

	ginkgo.It("connect to the seeds and to the instances listed in rosters", func() {
		m.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(1), unreachableAddr(3)))
		Expect(linked()).To(Equal([]string{unreachableAddr(1), unreachableAddr(2), unreachableAddr(3)}))
	})

	ginkgo.It("remain when a newly started control instance lists only itself", func() {
		m.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(1), unreachableAddr(3)))
		m.setRoster(ctx, unreachableAddr(4), rosterOf(unreachableAddr(4)))
		Expect(linked()).To(ContainElement(unreachableAddr(3)))
	})

	ginkgo.It("to seeds are dropped once enough links to listed instances are active", func() {
		far := []string{unreachableAddr(11), unreachableAddr(12), unreachableAddr(13)}
		m.setRoster(ctx, unreachableAddr(1), rosterOf(far...))
		Expect(linked()).To(ContainElements(far))
		activate(far[0])
		activate(far[1])
		Expect(linked()).To(ContainElements(far))
		activate(far[2])
		Expect(linked()).To(Equal(far))
	})

	ginkgo.It("to instances that are not preferred become active only while no other link is", func() {
		m.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(11), unreachableAddr(12), unreachableAddr(13)))
		Expect(m.activate(ctx, ctx, unreachableAddr(1), false)).To(BeFalse())
		Expect(m.activate(ctx, ctx, unreachableAddr(1), true)).To(BeTrue(), "after a first roster")
		Expect(m.activate(ctx, ctx, unreachableAddr(2), true)).To(BeFalse(), "another link is active")
	})

	ginkgo.It("are supplemented while an instance is unreachable or has had no leader for leaderlessTimeout", func() {
		var all []string
		for n := range 9 {
			all = append(all, unreachableAddr(20+n))
		}
		m.setSeeds(ctx, nil)
		m.setRoster(ctx, all[0], rosterOf(all...))
		order := rank(all)
		Expect(linked()).To(ConsistOf(order[:3]))
		for _, address := range order[:3] {
			activate(address)
		}
		m.markUnreachable(ctx, order[0], m.links[order[0]])
		Expect(linked()).To(ConsistOf(order[:4]))
		activate(order[3])
		activate(order[0])
		Expect(linked()).To(ConsistOf(order[:3]), "the failed instance is back")

		m.setFollowsLeader(order[1], false)
		m.reconcile(ctx)
		Expect(linked()).To(ConsistOf(order[:3]), "an election may be under way")
		now = now.Add(leaderlessTimeout)
		m.reconcile(ctx)
		Expect(linked()).To(ConsistOf(order[:4]))
		m.setFollowsLeader(order[1], true)
		m.reconcile(ctx)
		Expect(linked()).To(ConsistOf(order[:3]))
	})

	ginkgo.It("are dropped when no reachable instance lists the address any more", func() {
		m.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(1), unreachableAddr(3)))
		m.setRoster(ctx, unreachableAddr(1), nil)
		Expect(linked()).To(Equal([]string{unreachableAddr(1), unreachableAddr(2)}))
	})

	ginkgo.It("leave no failure record for an address that is no longer a candidate", func() {
		m.setRoster(ctx, unreachableAddr(1), rosterOf(unreachableAddr(3)))
		m.markUnreachable(ctx, unreachableAddr(3), m.links[unreachableAddr(3)])
		Expect(m.failedAt).To(HaveKey(unreachableAddr(3)))
		m.setRoster(ctx, unreachableAddr(1), nil)
		Expect(m.failedAt).To(BeEmpty())
	})

	ginkgo.It("follow a change of the seeds", func() {
		m.setSeeds(ctx, []netip.AddrPort{netip.MustParseAddrPort(unreachableAddr(5))})
		Expect(linked()).To(Equal([]string{unreachableAddr(5)}))
	})

	ginkgo.It("do not depend on the order of a roster that lists more instances than are linked", func() {
		var all []string
		for n := range 12 {
			all = append(all, unreachableAddr(10+n))
		}
		m.setRoster(ctx, all[0], rosterOf(all...))
		for _, address := range rank(all)[:attachment.MinLinks] {
			activate(address)
		}
		before := linked()
		Expect(before).To(HaveLen(attachment.MinLinks))
		slices.Reverse(all)
		m.setRoster(ctx, all[0], rosterOf(all...))
		Expect(linked()).To(Equal(before))
	})
})
