package node

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/storage/storagetest"
)

// patience bounds what control instances may take to settle; nothing is
// asserted about how fast they do.
const patience = 30 * time.Second

// runningControl is a control instance with its disk.
type runningControl struct {
	*Control
	config ControlConfig
	disk   *storagetest.Failing
	stop   func()
}

// start runs the instance on what its disk holds.
func (r *runningControl) start() {
	r.Control = NewControl(r.config)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func(c *Control) {
		defer close(done)
		_ = c.Run(ctx)
	}(r.Control)
	r.stop = func() {
		cancel()
		<-done
	}
}

// lose replaces the disk by an empty one.
func (r *runningControl) lose(folder string) {
	r.config.First = false
	r.disk = storagetest.NewFailing(func() (storage.Files, error) { return storage.Folder(folder) })
	r.config.Files = r.disk.Files
}

// controlFleet is control instances in one process, the first three of them the
// seeds.
type controlFleet []*runningControl

// startFleet starts n control instances on loopback addresses of their own.
func startFleet(subnet byte, n, voters int, tempDir func() string, logger *log.Logger) controlFleet {
	var all controlFleet
	var seeds []netip.AddrPort
	for i := range n {
		const port = 17740
		peer := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, subnet, byte(1 + i)}), port)
		if len(seeds) < 3 {
			seeds = append(seeds, peer)
		}
		r := &runningControl{config: ControlConfig{
			Domain: fmt.Sprint("d", i%3), Peer: peer, Front: fmt.Sprint("front-", i), Voters: voters,
			Beat: time.Second, Log: logger, Now: SteadyClock(),
		}}
		r.lose(tempDir())
		r.config.First = true
		all = append(all, r)
	}
	for _, r := range all {
		r.config.Seeds = seeds
		r.start()
	}
	return all
}

// stop ends all of them.
func (f controlFleet) stop() {
	for _, r := range f {
		r.stop()
	}
}

// leader returns the instance that leads, nil for none.
func (f controlFleet) leader() *runningControl {
	for _, r := range f {
		if r.Status().Current {
			return r
		}
	}
	return nil
}

// order offers a document to one instance after the other until one
// acknowledges it.
func (f controlFleet) order(version uint64) {
	doc, _ := document.New(document.Config{Version: version})
	for {
		for _, r := range f {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			_, err := r.Put(ctx, doc)
			cancel()
			if err == nil {
				return
			}
		}
	}
}

var _ = ginkgo.Describe("control instances on failing disks", func() {
	var fleet controlFleet
	begin := func(subnet byte, n int) {
		fleet = startFleet(subnet, n, 3, ginkgo.GinkgoT().TempDir, log.New(ginkgo.GinkgoWriter))
		ginkgo.DeferCleanup(func() { fleet.stop() })
		fleet.order(1)
	}
	voters := func() []string {
		if leader := fleet.leader(); leader != nil {
			return leader.Status().Voters
		}
		return nil
	}

	ginkgo.It("acknowledge on while the leader's disk is full, and that one takes part again later", func() {
		begin(41, 3)
		full := fleet.leader()
		full.disk.SetFull(true)
		fleet.order(2)
		var err error
		Eventually(func() fault.Kind {
			_, err = full.Put(context.Background(), must(document.New(document.Config{Version: 3})))
			return fault.KindOf(err)
		}, patience).Should(Equal(fault.DataFolder), "it says itself that it cannot: %v", err)
		full.disk.SetFull(false)
		Eventually(func() uint64 { return full.Status().Version }, patience).Should(BeNumerically(">=", 2))
	})

	ginkgo.It("acknowledge on while the leader's disk stands still", func() {
		begin(42, 3)
		stalled := fleet.leader()
		goOn := stalled.disk.Stall()
		defer goOn()
		fleet.order(2)
		Expect(fleet.leader()).NotTo(BeIdenticalTo(stalled))
		goOn()
		Eventually(func() uint64 { return stalled.Status().Version }, patience).Should(Equal(uint64(2)))
	})

	ginkgo.It("give the vote of one whose disk refuses every write to another one", func() {
		begin(43, 4)
		Eventually(voters, patience).Should(HaveLen(3))
		full := fleet[slices.IndexFunc(fleet, func(r *runningControl) bool {
			return r != fleet.leader() && slices.Contains(voters(), r.Status().Self)
		})]
		lost := full.Status().Self
		full.disk.SetFull(true)
		fleet.order(2) // it notices when it writes
		Eventually(voters, patience).Should(And(HaveLen(3), Not(ContainElement(lost))))
	})

	ginkgo.It("give the vote of one whose disk stands still to another one", func() {
		begin(44, 4)
		Eventually(voters, patience).Should(HaveLen(3))
		stalled := fleet.leader()
		lost := stalled.Status().Self
		goOn := stalled.disk.Stall()
		defer goOn()
		fleet.order(2) // it notices when it writes
		Eventually(voters, patience).Should(And(HaveLen(3), Not(ContainElement(lost))))
	})
})

// must returns a document that has no faults.
func must(doc *document.Document, faults []string) *document.Document {
	if len(faults) > 0 {
		panic(errors.New(faults[0]))
	}
	return doc
}
