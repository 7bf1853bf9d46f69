package node

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "node")
}

// nowhere is an address that refuses connections.
func nowhere(n int) string { return fmt.Sprintf("127.0.0.%d:1", n) }

func rosterOf(addresses ...string) *wire.Roster {
	r := &wire.Roster{}
	for _, a := range addresses {
		r.Instances = append(r.Instances, &wire.ControlInstance{Address: a})
	}
	return r
}

// seekingEntry returns an entry that does not run and seeks two seeds that refuse it.
func seekingEntry(ctx context.Context) *Entry {
	e := NewEntry(EntryConfig{Dial: DialTCP, Log: log.New(io.Discard), Now: SteadyClock()})
	e.watch.setSeeds(ctx, []netip.AddrPort{netip.MustParseAddrPort(nowhere(1)), netip.MustParseAddrPort(nowhere(2))})
	return e
}

var _ = ginkgo.Describe("the links of an entry", func() {
	var w *watch
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		w = seekingEntry(ctx).watch
	})
	linked := func() []string { return slices.Sorted(maps.Keys(w.links)) }

	ginkgo.It("go to the seeds and to whatever a control instance lists", func() {
		w.takeRoster(ctx, nowhere(1), rosterOf(nowhere(1), nowhere(3)))
		Expect(linked()).To(Equal([]string{nowhere(1), nowhere(2), nowhere(3)}))
	})

	ginkgo.It("stay when a control instance that has just started lists nobody but itself", func() {
		w.takeRoster(ctx, nowhere(1), rosterOf(nowhere(1), nowhere(3)))
		w.takeRoster(ctx, nowhere(4), rosterOf(nowhere(4)))
		Expect(linked()).To(ContainElement(nowhere(3)))
	})

	ginkgo.It("end when nobody in reach lists the address any more", func() {
		w.takeRoster(ctx, nowhere(1), rosterOf(nowhere(1), nowhere(3)))
		w.takeRoster(ctx, nowhere(1), nil)
		Expect(linked()).To(Equal([]string{nowhere(1), nowhere(2)}))
	})

	ginkgo.It("follow other seeds", func() {
		w.setSeeds(ctx, []netip.AddrPort{netip.MustParseAddrPort(nowhere(5))})
		Expect(linked()).To(Equal([]string{nowhere(5)}))
	})

	ginkgo.It("do not change about between rosters that name more than are watched", func() {
		var all []string
		for n := range 12 {
			all = append(all, nowhere(10+n))
		}
		w.takeRoster(ctx, all[0], rosterOf(all...))
		before := linked()
		Expect(before).To(HaveLen(watchMost))
		slices.Reverse(all)
		w.takeRoster(ctx, all[0], rosterOf(all...))
		Expect(linked()).To(Equal(before))
	})
})
