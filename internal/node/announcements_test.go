package node

import (
	"context"
	"io"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// startEntry runs an entry that hears announcements at an address, until it is
// stopped; its codec takes no packet.
func startEntry(operators netip.AddrPort, seeds ...netip.AddrPort) (e *Entry, stop func()) {
	e = NewEntry(EntryConfig{
		Name: "edge-1", Domain: "d0", Packets: netip.AddrPortFrom(operators.Addr(), operators.Port()+1), Operators: operators, Seeds: seeds,
		MaxFlow: time.Minute, Beat: time.Second, Dial: DialTCP, Log: log.New(io.Discard), Now: SteadyClock(),
		Codec: Codec{Decode: func([]byte) (steer.Packet, bool) { return steer.Packet{}, false }},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Run(ctx)
	}()
	return e, func() {
		cancel()
		<-done
	}
}

var _ = ginkgo.Describe("an entry whose seeds are all down", func() {
	var fleet controlFleet
	var operators netip.AddrPort
	ginkgo.BeforeEach(func() {
		fleet = startFleet(90, 1, 1, ginkgo.GinkgoT().TempDir, log.New(io.Discard))
		ginkgo.DeferCleanup(func() { fleet.stop() })
		const port, networks = 17850, 250
		operators = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%networks), 91, 1}), port)
	})
	dead := netip.MustParseAddrPort(unreachableAddr(9))

	ginkgo.It("is found by a control instance that has lost power, and knows it by its disk", func() {
		_, stopFirst := startEntry(operators, fleet[0].config.Peer)
		Eventually(func() []string { return savedEntries(fleet[0]) }, patience).Should(ConsistOf(operators.String()))
		stopFirst()
		fleet[0].stop()
		entry, stopEntry := startEntry(operators, dead)
		defer stopEntry()
		fleet[0].start()
		Eventually(entry.linked, patience).Should(BeTrue())
		Expect(entry.announcements.heard.Load()).To(BeNumerically(">", 0))
	})

	ginkgo.It("is found by one that it was linked to before its own restart", func() {
		_, stopFirst := startEntry(operators, fleet[0].config.Peer)
		Eventually(fleet[0].entries.count, patience).Should(Equal(1))
		stopFirst()
		entry, stopEntry := startEntry(operators, dead)
		defer stopEntry()
		Eventually(entry.linked, patience).Should(BeTrue())
	})
})

// savedEntries returns the entries that an instance's hints name.
func savedEntries(r *runningControl) []string {
	hints := &wire.Hints{}
	files, err := r.config.Files()
	if err == nil {
		_, err = storage.LoadMessage(files, hintsName, hints)
	}
	if err != nil {
		return nil
	}
	return hints.Entries
}

var _ = ginkgo.Describe("announcements at an entry", func() {
	var e *Entry
	var ctx context.Context
	ginkgo.BeforeEach(func() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithCancel(context.Background())
		ginkgo.DeferCleanup(cancel)
		e = unlinkedEntry(ctx)
	})
	hear := func(address string) {
		raw, err := proto.Marshal(&wire.ControlInstance{Address: address})
		Expect(err).NotTo(HaveOccurred())
		e.handleAnnouncement(ctx, raw)
	}
	sought := func() []string {
		e.uplinks.mu.Lock()
		defer e.uplinks.mu.Unlock()
		return slices.Sorted(maps.Keys(e.uplinks.links))
	}

	ginkgo.It("leave room for the seeds, however many come", func() {
		for n := 3; n < 30; n++ {
			hear(unreachableAddr(n))
		}
		Expect(sought()).To(ContainElements(unreachableAddr(1), unreachableAddr(2)))
		const seeds, announced = 2, 3
		Expect(len(sought())).To(BeNumerically("<=", seeds+announced))
	})

	ginkgo.It("are counted and dropped where they cannot be read", func() {
		for _, raw := range [][]byte{nil, {0xff, 0xff}, []byte("no announcement")} {
			e.handleAnnouncement(ctx, raw)
		}
		hear("not an address")
		Expect(e.announcements.malformed.Load()).To(Equal(uint64(4)))
		Expect(sought()).To(Equal([]string{unreachableAddr(1), unreachableAddr(2)}))
	})

	ginkgo.It("change nothing at an entry that is linked", func() {
		e.mu.Lock()
		e.links["somewhere"] = &entryLink{}
		e.mu.Unlock()
		hear(unreachableAddr(7))
		Expect(sought()).NotTo(ContainElement(unreachableAddr(7)))
	})
})
