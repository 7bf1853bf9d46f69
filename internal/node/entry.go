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
	// maxFlows bounds the flow records that an entry keeps.
	maxFlows = 200_000
	// maxStopDelay is how long a stopping entry keeps forwarding so that routers can
	// remove it: they check readiness twice a second and remove an entry after two
	// failures. A longer delay would let consecutive stops overlap: once fewer than half
	// of the entries of a failure domain are ready, routers send to all of them, stopped
	// ones included.
	maxStopDelay = 1300 * time.Millisecond
)

type (
	// EntryConfig configures an Entry.
	EntryConfig struct {
		Name       string
		Domain     string
		PacketAddr netip.AddrPort // receives clients' packets; resets are sent to the same port of the client
		// OperatorAddr is the TCP address for operators' commands and the UDP address for
		// announcements of control instances; the zero value disables both.
		OperatorAddr netip.AddrPort
		// AdmissionAddr is the UDP address for replies of allocators of credits; the zero value
		// turns admission control off.
		AdmissionAddr     netip.AddrPort
		LinkCapacity      float64          // bytes a second of the network link, 0 if unknown
		Seeds             []netip.AddrPort // peer addresses of control instances
		MaxFlowAge        time.Duration
		ToleratedLosses   int           // simultaneous losses of control instances to tolerate
		GracePeriod       time.Duration // time limit of a planned stop
		HeartbeatInterval time.Duration // of endpoints
		Codec             Codec
		Dial              Dialer    // DialTCP outside tests
		Probe             ProbeFunc // ProbeTCP outside tests
		Log               *log.Logger
		Now               func() time.Time
	}

	// Entry forwards clients' packets to endpoints, according to the document and the endpoint
	// reports that it receives from control instances.
	Entry struct {
		config            EntryConfig
		manager           *linkManager
		confirmed         atomic.Bool
		endpointsReceived atomic.Bool // by any control instance
		stopping          atomic.Bool
		counts            packetCounts
		probeOutcomes     probeOutcomeCounts
		announcements     announcementCounts
		decisions         *decisionLog
		timings           entryTimings
		probeQueue        chan steer.Probe
		suspicions        chan *wire.Doubt // to be reported to the other entries

		primaryMu sync.Mutex // serializes choosePrimary; locked before mu

		mu      sync.Mutex
		steerer *steer.Steerer
		latest  *document.Document // newest received, which is applied or about to be applied
		fetcher *documentFetcher
		primary *primary
		links   map[string]*entryLink // by address

		admission *entryAdmission // nil if admission control is off

		flowLogMu        sync.Mutex // guards the fields of flow lines
		flowLogLimiter   *rate.Limiter
		droppedFlowLines uint64 // since the last flow line that was written

		untimedPackets int // since the last timed decision; used by packetLoop only
	}
)

// NewEntry returns an entry; Run starts it.
func NewEntry(c EntryConfig) *Entry {
	e := &Entry{
		config: c, decisions: newDecisionLog(), timings: newEntryTimings(), fetcher: newDocumentFetcher(), primary: newPrimary(c.Name, c.Domain), links: map[string]*entryLink{},
		flowLogLimiter: rate.NewLimiter(flowLogRate, flowLogBurst),
		probeQueue:     make(chan steer.Probe, maxConcurrentProbes),
		suspicions:     make(chan *wire.Doubt, maxConcurrentProbes),
	}
	settings := steer.Config{
		Domain: c.Domain, MaxFlowAge: c.MaxFlowAge, MaxFlows: maxFlows, HeartbeatInterval: c.HeartbeatInterval,
		OnSuspect: func(id string, suspect bool) {
			c.Log.Warn("endpoint suspected", "endpoint", id, "suspect", suspect)
		},
		StartProbe: e.queueProbe, NotifyMiss: e.reportUnanswered, ReportOutlier: e.reportOutlier,
	}
	if c.AdmissionAddr.IsValid() {
		e.admission = newEntryAdmission(e)
		settings.Admission = e.admission.creditConfig()
	}
	e.steerer = steer.New(settings)
	e.manager = newLinkManager(e)
	return e
}

// Run serves until the context is done. It returns an error of kind AddressInUse if it
// cannot listen for packets.
func (e *Entry) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.config.PacketAddr))
	if err != nil {
		return fault.Wrap(fault.AddressInUse, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e.manager.setSeeds(ctx, e.config.Seeds)
	group.Go(func() error { return e.packetLoop(ctx, conn) })
	group.Go(func() error { return e.probeLoop(ctx, conn) })
	group.Go(func() error { return e.suspicionLoop(ctx) })
	group.Go(func() error { return e.announcementLoop(ctx) })
	group.Go(func() error { return e.serveOperators(ctx) })
	if e.admission != nil {
		e.admission.packets = conn
		group.Go(func() error { return e.admission.receiveLoop(ctx) })
		group.Go(func() error { return e.admission.tickLoop(ctx) })
	}
	return group.Wait()
}

// serveOperators answers operators' commands until the context is done. If the address is
// in use, the entry runs on without answering them.
func (e *Entry) serveOperators(ctx context.Context) error {
	if !e.config.OperatorAddr.IsValid() {
		return nil
	}
	server, err := newLinkServer(e.config.OperatorAddr.String(), nil, &entryAPI{entry: e}, e.config.Log)
	if err != nil {
		e.config.Log.Error("cannot listen for operators' commands", "address", e.config.OperatorAddr, "error", err)
		return nil
	}
	return server.run(ctx)
}

// Stop makes the entry not ready, and returns when routers have had time to remove it;
// packets are forwarded meanwhile. The caller then cancels the context of Run.
func (e *Entry) Stop(ctx context.Context) {
	e.stopping.Store(true)
	delay := min(maxStopDelay, e.config.GracePeriod/2)
	e.config.Log.Info("planned stop", "forwarding_on", delay)
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// Ready reports whether routers should send packets here: a document has been confirmed
// since the start, and the entry is not stopping.
func (e *Entry) Ready() bool { return e.confirmed.Load() && !e.stopping.Load() }

// SetSeeds replaces the seeds after a change of the settings.
func (e *Entry) SetSeeds(ctx context.Context, seeds []netip.AddrPort) { e.manager.setSeeds(ctx, seeds) }
