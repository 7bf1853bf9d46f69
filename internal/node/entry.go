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
	// packetMost is the largest datagram that is read.
	packetMost = 2048
	// maxFlows bounds the records that an entry keeps for balance.
	maxFlows = 200_000
	// unconfirmedAfter is how long an entry that knows nothing waits for a
	// document that is confirmed before it takes one that is not: a control
	// instance that was away for long may be reached first, and another one
	// moments later. After a loss of power everywhere none is confirmed until
	// a leader is elected, and callers are served meanwhile.
	unconfirmedAfter = 25 * time.Millisecond
	// flowLinesPerSecond and flowLinesAtOnce bound the log lines about flows:
	// a line costs some 10 µs, so at most 0.1% of a core.
	flowLinesPerSecond = 100
	flowLinesAtOnce    = 300
	// leaveMost is how long a stopping entry forwards on, so that routers turn
	// away first: they ask twice a second and turn away after two misses. Not
	// longer: a zone of which fewer than half are in is sent packets for all of
	// them, also for one that stopped a moment before the next.
	leaveMost = 1300 * time.Millisecond
)

type (
	// Codec reads and writes packets as the fabric carries them.
	Codec struct {
		// Decode reads a caller's packet; false where it is none.
		Decode func(raw []byte) (steer.Packet, bool)
		// Forward appends the datagram for an endpoint.
		Forward func(buf, raw []byte, number uint64, tag uint32) []byte
		// Reset appends a reset to the caller of a packet.
		Reset func(buf []byte, p steer.Packet, seq uint32) []byte
	}

	// EntryConfig is what an entry is told.
	EntryConfig struct {
		Name    string
		Domain  string
		Packets netip.AddrPort   // where callers' packets arrive; resets go to the same port
		Seeds   []netip.AddrPort // peer addresses of control instances
		MaxFlow time.Duration
		Grace   time.Duration // a planned stop must end within it
		Codec   Codec
		Log     *log.Logger
		Now     func() time.Time
	}

	// Entry is a running entry.
	Entry struct {
		config    EntryConfig
		watch     *watch
		confirmed atomic.Bool
		stopping  atomic.Bool
		counts    packetCounts

		mu      sync.Mutex
		steerer *steer.Steerer
		held    *document.Document // the newest that has come, in force or about to be
		fetch   *fetch
		links   map[string]*entryLink // by address

		// Owned by run.
		flowLines *rate.Limiter
		leftOut   uint64 // lines about flows, since the last one
	}
)

// NewEntry returns an entry that does not run yet.
func NewEntry(c EntryConfig) *Entry {
	e := &Entry{config: c, fetch: newFetch(), links: map[string]*entryLink{}, flowLines: rate.NewLimiter(flowLinesPerSecond, flowLinesAtOnce)}
	e.steerer = steer.New(steer.Config{
		Domain: c.Domain, MaxFlow: c.MaxFlow, MaxFlows: maxFlows,
		Suspected: func(id string, suspect bool) {
			c.Log.Warn("endpoint suspected", "endpoint", id, "suspect", suspect)
		},
	})
	e.watch = newWatch(e)
	return e
}

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.config.Packets))
	if err != nil {
		return fault.Wrap(fault.AddressInUse, err)
	}
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	e.watch.setSeeds(ctx, e.config.Seeds)
	group.Go(func() error { return e.run(ctx, conn) })
	return group.Wait()
}

// Stop fails readiness, forwards on until the routers have turned away, and
// returns; the caller then ends the context of Run.
func (e *Entry) Stop(ctx context.Context) {
	e.stopping.Store(true)
	wait := min(leaveMost, e.config.Grace/2)
	e.config.Log.Info("planned stop", "forwarding_on", wait)
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// Ready reports whether routers should send packets here: the table has been
// confirmed in this life, and no stop is planned.
func (e *Entry) Ready() bool { return e.confirmed.Load() && !e.stopping.Load() }

// SetSeeds takes other seeds, after the settings have changed.
func (e *Entry) SetSeeds(ctx context.Context, seeds []netip.AddrPort) { e.watch.setSeeds(ctx, seeds) }

// run carries packets until the context ends.
func (e *Entry) run(ctx context.Context, conn *net.UDPConn) error {
	raw, out := make([]byte, packetMost), make([]byte, 0, packetMost)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(raw)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			continue // an earlier send found a closed port
		}
		e.carry(conn, raw[:n], out)
	}
}

// carry decides about one packet and does it.
func (e *Entry) carry(conn *net.UDPConn, raw, out []byte) {
	p, ok := e.config.Codec.Decode(raw)
	if !ok {
		e.counts.add(steer.Decision{Reason: steer.Malformed})
		return
	}
	now := e.config.Now()
	e.mu.Lock()
	d := e.steerer.Decide(now, p)
	e.mu.Unlock()
	e.counts.add(d)
	switch d.Action {
	case steer.Forward:
		// A datagram that cannot be sent is lost, as on any link; its sender repeats it.
		_, _ = conn.WriteToUDPAddrPort(e.config.Codec.Forward(out, raw, d.Number, d.Tag), d.To)
	case steer.Reset:
		caller := netip.AddrPortFrom(p.Src.Addr(), e.config.Packets.Port())
		_, _ = conn.WriteToUDPAddrPort(e.config.Codec.Reset(out, p, d.Seq), caller)
	}
	e.logDecision(now, p, d)
}

// logDecision writes a line for each flow that is opened or is not just
// steered: what complaints ask for. Lines beyond the rate are left out, and
// the next one says how many.
func (e *Entry) logDecision(now time.Time, p steer.Packet, d steer.Decision) {
	if d.Reason == steer.Steered || d.Reason == steer.Corrected {
		return
	}
	if !e.flowLines.AllowN(now, 1) {
		e.leftOut++
		return
	}
	e.config.Log.Info("flow", "caller", p.Src, "route", p.Dst, "seq", p.Seq, "copy", p.Copy, "tag", p.Tag,
		"action", d.Action, "reason", d.Reason, "endpoint", d.ID, "version", d.Version, "left_out", e.leftOut)
	e.leftOut = 0
}

// reach notes that a control instance can be asked.
func (e *Entry) reach(l *entryLink) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.links[l.address] = l
}

// takeOffer takes which version a control instance has in force.
func (e *Entry) takeOffer(source string, offer *wire.DocumentOffer) {
	e.mu.Lock()
	e.fetch.offer(source, offer.Version)
	held := e.held
	e.mu.Unlock()
	if offer.Confirmed && held != nil && held.Version() >= offer.Version {
		e.putInForce(held, true)
		e.confirm(held.Version())
	}
	e.askDocument()
}

// askDocument asks for the newest document that is on offer, if any is newer
// than what is held.
func (e *Entry) askDocument() {
	now := e.config.Now()
	e.mu.Lock()
	held := uint64(0)
	if e.held != nil {
		held = e.held.Version()
	}
	link := e.links[e.fetch.next(now, held)]
	e.mu.Unlock()
	if link == nil {
		return
	}
	// A link that fails is noticed where it is read; another one is asked then.
	_ = link.send(&wire.Frame{Body: &wire.Frame_Want{Want: &wire.DocumentWant{Held: held}}})
}

// takeDocument takes a committed document from a control instance.
func (e *Entry) takeDocument(source string, frame *wire.DocumentFrame) {
	e.mu.Lock()
	e.fetch.arrived(source)
	doc, err := document.FromFrame(e.held, frame)
	if err == nil && (e.held == nil || doc.Version() > e.held.Version()) {
		e.held = doc
	}
	e.mu.Unlock()
	switch {
	case err != nil:
		e.config.Log.Error("document refused", "control", source, "error", err)
	case !frame.Confirmed && !e.confirmed.Load():
		time.AfterFunc(unconfirmedAfter, func() { e.putInForce(doc, false) })
	default:
		e.putInForce(doc, frame.Confirmed)
	}
	if err == nil && frame.Confirmed {
		e.confirm(doc.Version())
	}
	e.askDocument()
}

// confirm notes that a document is known to be the newest of its term.
func (e *Entry) confirm(version uint64) {
	if !e.confirmed.Swap(true) {
		e.config.Log.Info("ready", "version", version)
	}
}

func (e *Entry) putInForce(doc *document.Document, confirmed bool) {
	e.mu.Lock()
	fresh := e.steerer.SetDocument(doc)
	e.mu.Unlock()
	if fresh {
		e.config.Log.Info("document in force", "version", doc.Version(), "routes", len(doc.Routes()), "confirmed", confirmed)
	}
}

func (e *Entry) takeReports(source string, reports *wire.Reports) {
	now := e.config.Now()
	e.mu.Lock()
	e.steerer.Learn(now, source, reports)
	e.mu.Unlock()
}

func (e *Entry) forget(source string) {
	e.mu.Lock()
	e.steerer.Forget(source)
	e.fetch.lost(source)
	delete(e.links, source)
	e.mu.Unlock()
	e.askDocument()
}
