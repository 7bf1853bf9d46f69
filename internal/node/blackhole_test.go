package node

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	blackholeSeed   = flag.Uint64("silence.seed", 1, "seed of the soak of connections that fall silent")
	blackholeRounds = flag.Int("silence.rounds", 5, "how often that soak silences connections")
)

type (
	// blackholeDialer opens connections and silences those that are open.
	blackholeDialer struct {
		mu     sync.Mutex
		conns  []*blackholeConn
		refuse bool // no further connection is opened
	}

	// blackholeConn is a connection that may fall silent, one way or both: what is
	// written then goes nowhere, and what comes is not read.
	blackholeConn struct {
		net.Conn
		mu                    sync.Mutex
		dropWrites, dropReads bool
	}
)

// dial is a Dialer.
func (s *blackholeDialer) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	raw, err := DialTCP(ctx, address, timeout)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refuse {
		_ = raw.Close()
		return nil, syscall.ECONNREFUSED
	}
	c := &blackholeConn{Conn: raw}
	s.conns = append(s.conns, c)
	return c, nil
}

// blackhole makes the open connections that are chosen fall silent for good.
func (s *blackholeDialer) blackhole(selected func() bool, dropWrites, dropReads bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if selected() {
			c.mu.Lock()
			c.dropWrites, c.dropReads = c.dropWrites || dropWrites, c.dropReads || dropReads
			c.mu.Unlock()
		}
	}
	s.conns = nil
}

func (c *blackholeConn) dropping() (out, in bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropWrites, c.dropReads
}

// Write loses what is written once the way out is silent.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if out, _ := c.dropping(); out {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read drops what comes once the way in is silent, until the deadline.
func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if _, in := c.dropping(); !in || err != nil {
			return n, err
		}
	}
}

// startFleetEntry is an entry that knows control instances.
func startFleetEntry(fleet controlFleet, name string, dial Dialer) *Entry {
	e := NewEntry(EntryConfig{
		Name: name, Domain: "d0", Packets: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: fleet[0].config.Seeds, MaxFlow: time.Minute,
		Beat: time.Second, Dial: dial, Knock: KnockTCP, Log: log.New(io.Discard), Now: SteadyClock(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go func() { _ = e.Run(ctx) }()
	return e
}

var _ = ginkgo.Describe("connections that fall silent", func() {
	var fleet controlFleet
	var entry *Entry
	var peers, links *blackholeDialer
	version := uint64(0)
	all := func() bool { return true }

	order := func() {
		version++
		fleet.order(version)
	}
	inForce := func() {
		Eventually(func() uint64 { return entry.appliedReceipt().Version }, patience, 5*time.Millisecond).Should(Equal(version))
	}

	ginkgo.BeforeEach(func() {
		version = 0
		peers, links = &blackholeDialer{}, &blackholeDialer{}
		fleet = startFleetBy(31, 3, 3, ginkgo.GinkgoT().TempDir, log.New(io.Discard), peers.dial)
		ginkgo.DeferCleanup(fleet.stop)
		entry = startFleetEntry(fleet, "e1", links.dial)
		order()
		inForce()
	})

	for _, way := range []struct {
		name    string
		out, in bool
	}{{"both ways", true, true}, {"away from who opened it", true, false}, {"towards who opened it", false, true}} {
		ginkgo.It("between an entry and the control instances are found and replaced: "+way.name, func() {
			links.blackhole(all, way.out, way.in)
			order()
			inForce()
		})

		ginkgo.It("among control instances are found and replaced: "+way.name, func() {
			peers.blackhole(all, way.out, way.in)
			order()
			inForce()
			Eventually(func() error { return acknowledgedLeave(fleet) }, patience).Should(Succeed())
		})
	}

	ginkgo.It("end at the side that accepted them too", func() {
		Eventually(func() int { return fleet[0].entries.count() }, patience).Should(Equal(1))
		links.blackhole(all, true, true)
		links.mu.Lock()
		links.refuse = true // nobody opens new ones
		links.mu.Unlock()
		Eventually(func() int { return fleet[0].entries.count() }, patience).Should(BeZero())
	})

	ginkgo.It("lose nothing acknowledged, in any order and number", func() {
		random := rand.New(rand.NewPCG(*blackholeSeed, 3))
		for round := range *blackholeRounds {
			way := 1 + random.IntN(3)
			share := random.Float64()
			chosen := func() bool { return random.Float64() < share }
			peers.blackhole(chosen, way&1 > 0, way&2 > 0)
			links.blackhole(chosen, way&1 > 0, way&2 > 0)
			order()
			inForce()
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			Eventually(func() error {
				doc, _, err := fleet.leaderOrFirst().Read(ctx)
				if err == nil && doc.Version() < version {
					ginkgo.Fail(fmt.Sprintf("round %d: version %d was read after %d was acknowledged", round, doc.Version(), version))
				}
				return err
			}, patience).Should(Succeed())
			cancel()
		}
	})
})

// acknowledgedLeave has an endpoint leave, at any of the control instances.
func acknowledgedLeave(fleet controlFleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return fleet[0].Leave(ctx, "i-1")
}

// leaderOrFirst returns the instance that leads, or any while none does.
func (f controlFleet) leaderOrFirst() *runningControl {
	if leader := f.leader(); leader != nil {
		return leader
	}
	return f[0]
}
