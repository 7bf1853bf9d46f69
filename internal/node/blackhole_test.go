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
	blackholeSeed   = flag.Uint64("silence.seed", 1, "seed of the soak test of blackholed connections")
	blackholeRounds = flag.Int("silence.rounds", 5, "number of rounds of the soak test of blackholed connections")
)

type (
	// blackholeDialer opens connections and can blackhole the open ones.
	blackholeDialer struct {
		mu     sync.Mutex
		conns  []*blackholeConn
		refuse bool // refuse further connections
	}

	// blackholeConn is a connection that can silently drop the data of either direction or
	// of both.
	blackholeConn struct {
		net.Conn
		mu                    sync.Mutex
		dropWrites, dropReads bool
	}
)

// dial implements Dialer.
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

// blackhole permanently drops the traffic of the open connections for which selected returns
// true.
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

// Write discards the data while writes are dropped.
func (c *blackholeConn) Write(p []byte) (int, error) {
	if out, _ := c.dropping(); out {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Read discards received data while reads are dropped, until the read deadline.
func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if _, in := c.dropping(); !in || err != nil {
			return n, err
		}
	}
}

// startFleetEntry runs an entry with the seeds of the fleet.
func startFleetEntry(fleet controlFleet, name string, dial Dialer) *Entry {
	e := NewEntry(EntryConfig{
		Name: name, Domain: "d0", PacketAddr: netip.MustParseAddrPort("127.0.0.1:0"), Seeds: fleet[0].config.Seeds, MaxFlowAge: time.Minute,
		HeartbeatInterval: time.Second, Dial: dial, Probe: ProbeTCP, Log: log.New(io.Discard), Now: MonotonicClock(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ginkgo.DeferCleanup(cancel)
	go func() { _ = e.Run(ctx) }()
	return e
}

var _ = ginkgo.Describe("blackholed connections", func() {
	var fleet controlFleet
	var entry *Entry
	var peers, links *blackholeDialer
	version := uint64(0)
	everyConn := func() bool { return true }

	order := func() {
		version++
		fleet.put(version)
	}
	expectApplied := func() {
		Eventually(func() uint64 { return entry.appliedReceipt().Version }, settleTimeout, 5*time.Millisecond).Should(Equal(version))
	}

	ginkgo.BeforeEach(func() {
		version = 0
		peers, links = &blackholeDialer{}, &blackholeDialer{}
		fleet = startFleetWithDialer(31, 3, 3, ginkgo.GinkgoT().TempDir, log.New(io.Discard), peers.dial)
		ginkgo.DeferCleanup(fleet.stop)
		entry = startFleetEntry(fleet, "e1", links.dial)
		order()
		expectApplied()
	})

	for _, direction := range []struct {
		name                  string
		dropWrites, dropReads bool
	}{{"in both directions", true, true}, {"from the dialing side", true, false}, {"to the dialing side", false, true}} {
		ginkgo.It("between an entry and the control instances are detected and replaced, if data is dropped "+direction.name, func() {
			links.blackhole(everyConn, direction.dropWrites, direction.dropReads)
			order()
			expectApplied()
		})

		ginkgo.It("among control instances are detected and replaced, if data is dropped "+direction.name, func() {
			peers.blackhole(everyConn, direction.dropWrites, direction.dropReads)
			order()
			expectApplied()
			Eventually(func() error { return acknowledgedLeave(fleet) }, settleTimeout).Should(Succeed())
		})
	}

	ginkgo.It("are closed at the accepting side too", func() {
		Eventually(func() int { return fleet[0].entries.count() }, settleTimeout).Should(Equal(1))
		links.blackhole(everyConn, true, true)
		links.mu.Lock()
		links.refuse = true // no replacement is opened
		links.mu.Unlock()
		Eventually(func() int { return fleet[0].entries.count() }, settleTimeout).Should(BeZero())
	})

	ginkgo.It("lose no acknowledged write, whichever connections are affected", func() {
		random := rand.New(rand.NewPCG(*blackholeSeed, 3))
		for round := range *blackholeRounds {
			direction := 1 + random.IntN(3)
			share := random.Float64()
			selected := func() bool { return random.Float64() < share }
			peers.blackhole(selected, direction&1 > 0, direction&2 > 0)
			links.blackhole(selected, direction&1 > 0, direction&2 > 0)
			order()
			expectApplied()
			ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
			Eventually(func() error {
				doc, _, err := fleet.leaderOrFirst().Read(ctx)
				if err == nil && doc.Version() < version {
					ginkgo.Fail(fmt.Sprintf("round %d: version %d was read after %d was acknowledged", round, doc.Version(), version))
				}
				return err
			}, settleTimeout).Should(Succeed())
			cancel()
		}
	})
})

// acknowledgedLeave sends the leave of an endpoint to the first control instance.
func acknowledgedLeave(fleet controlFleet) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return fleet[0].Leave(ctx, "i-1")
}

// leaderOrFirst returns the leader, or the first instance if there is none.
func (f controlFleet) leaderOrFirst() *runningControl {
	if leader := f.leader(); leader != nil {
		return leader
	}
	return f[0]
}
