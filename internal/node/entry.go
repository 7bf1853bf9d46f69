package node

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/steer"
	"oxbowsaddle/internal/wire"
)

const (
	// maxFlows bounds the records that an entry keeps for balance.
	maxFlows = 200_000
	// maxStopDelay is how long a stopping entry forwards on, so that routers turn
	// away first: they ask twice a second and turn away after two misses. Not
	// longer: a failure domain of which fewer than half of the entries are ready
	// is sent packets for all of them, also for one that stopped a moment before
	// the next.
	maxStopDelay = 1300 * time.Millisecond
)

type (
	// EntryConfig is what an entry is told.
	EntryConfig struct {
		Name    string
		Domain  string
		Packets netip.AddrPort // where callers' packets arrive; resets go to the same port
		// Operators is where their commands are answered, and where announcements of
		// control instances are heard; the zero value is nowhere.
		Operators netip.AddrPort
		Seeds     []netip.AddrPort // peer addresses of control instances
		MaxFlow   time.Duration    // no flow is older
		Losses    int              // control instances whose loss at once is borne
		Grace     time.Duration    // a planned stop must end within it
		Beat      time.Duration    // heartbeat period of endpoints
		Codec     Codec
		Dial      Dialer // DialTCP, but for tests
		Knock     Knock  // KnockTCP, but for tests
		Log       *log.Logger
		Now       func() time.Time
	}

	// Entry is a running entry.
	Entry struct {
		config            EntryConfig
		uplinks           *linkManager
		confirmed         atomic.Bool
		endpointsReceived atomic.Bool // endpoints have been reported
		stopping          atomic.Bool
		counts            packetCounts
		probeOutcomes     questionCounts
		announcements     announcementCounts
		decisions         *decisionLog
		timings           entryTimings
		probeQueue        chan steer.Question
		suspicions        chan *wire.Doubt // that others are to be told of

		primaryMu sync.Mutex // held while the primary is chosen and told; taken before mu

		mu      sync.Mutex
		steerer *steer.Steerer
		latest  *document.Document // the newest that has come, in force or about to be
		fetcher *documentFetcher
		primary *primary
		links   map[string]*entryLink // by address

		// Owned by packetLoop.
		flowLogLimiter   *rate.Limiter
		droppedFlowLines uint64 // lines about flows, since the last one
		untimedPackets   int    // packets since the last decision whose time was taken
	}
)

// NewEntry returns an entry that does not run yet.
func NewEntry(c EntryConfig) *Entry {
	e := &Entry{
		config: c, decisions: newDecisionLog(), timings: newEntryTimings(), fetcher: newDocumentFetcher(), primary: newPrimary(c.Name, c.Domain), links: map[string]*entryLink{},
		flowLogLimiter: rate.NewLimiter(flowLogRate, flowLogBurst),
		probeQueue:     make(chan steer.Question, maxConcurrentProbes),
		suspicions:     make(chan *wire.Doubt, maxConcurrentProbes),
	}
	e.steerer = steer.New(steer.Config{
		Domain: c.Domain, MaxFlow: c.MaxFlow, MaxFlows: maxFlows, Beat: c.Beat,
		Suspected: func(id string, suspect bool) {
			c.Log.Warn("endpoint suspected", "endpoint", id, "suspect", suspect)
		},
		Ask: e.queueProbe, Tell: e.reportUnanswered, Hung: e.reportHung,
	})
	e.uplinks = newLinkManager(e)
	return e
}

// Run serves until the context ends; an error at once is of kind AddressInUse
// where the address for packets cannot be had.
func (e *Entry) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.config.Packets))
	if err != nil {
		return fault.Wrap(fault.AddressInUse, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e.uplinks.setSeeds(ctx, e.config.Seeds)
	group.Go(func() error { return e.packetLoop(ctx, conn) })
	group.Go(func() error { return e.probeLoop(ctx, conn) })
	group.Go(func() error { return e.suspicionLoop(ctx) })
	group.Go(func() error { return e.announcementLoop(ctx) })
	group.Go(func() error { return e.serveOperators(ctx) })
	return group.Wait()
}

// serveOperators answers their commands until the context ends; an address
// that is taken costs the answers only.
func (e *Entry) serveOperators(ctx context.Context) error {
	if !e.config.Operators.IsValid() {
		return nil
	}
	server, err := newLinkServer(e.config.Operators.String(), nil, &entryAnswers{entry: e})
	if err != nil {
		e.config.Log.Error("operators cannot be answered", "address", e.config.Operators, "error", err)
		return nil
	}
	return server.run(ctx)
}

// Stop fails readiness, forwards on until the routers have turned away, and
// returns; the caller then ends the context of Run.
func (e *Entry) Stop(ctx context.Context) {
	e.stopping.Store(true)
	delay := min(maxStopDelay, e.config.Grace/2)
	e.config.Log.Info("planned stop", "forwarding_on", delay)
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// Ready reports whether routers should send packets here: the table has been
// confirmed in this life, and no stop is planned.
func (e *Entry) Ready() bool { return e.confirmed.Load() && !e.stopping.Load() }

// SetSeeds takes other seeds, after the settings have changed.
func (e *Entry) SetSeeds(ctx context.Context, seeds []netip.AddrPort) { e.uplinks.setSeeds(ctx, seeds) }
