package node

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// maxQueuedMessages bounds the log messages that wait for one peer; what finds it
	// full is lost, which the log bears.
	maxQueuedMessages = 128
	// fullRosterPeriod is each how many rosters names all instances; the others name the
	// sender alone, and show that it is alive. Told whole each time, rosters would grow
	// with the cube of the number of instances. What is said of others is still younger
	// than the time after which a voter counts as lost.
	fullRosterPeriod = 5
)

type (
	// peerLinks holds the links of a control instance to the others.
	peerLinks struct {
		control *Control

		mu    sync.Mutex
		seeds []string
		links map[string]*peerLink // by address

		active atomic.Int32 // how many stand
	}

	// peerLink sends to the control instance at one address.
	peerLink struct {
		control     *Control
		address     string
		outbox      chan *wire.LogMessage
		suspicions  chan *wire.Frame // for the entries of the other one
		cancel      context.CancelFunc
		backoff     dialBackoff
		rostersSent int // told on the present link
	}
)

func newPeerLinks(c *Control) *peerLinks {
	return &peerLinks{control: c, links: map[string]*peerLink{}}
}

// setSeeds takes the addresses that the settings name now.
func (p *peerLinks) setSeeds(ctx context.Context, seeds []netip.AddrPort) {
	p.mu.Lock()
	p.seeds = nil
	for _, s := range seeds {
		if s != p.control.config.Peer {
			p.seeds = append(p.seeds, s.String())
		}
	}
	p.mu.Unlock()
	p.connect(ctx, nil)
}

// connect keeps links to the seeds and to the given addresses, and ends others.
func (p *peerLinks) connect(ctx context.Context, addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]bool{}
	for _, address := range append(addresses, p.seeds...) {
		wanted[address] = true
		if p.links[address] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			l := &peerLink{
				control: p.control, address: address, cancel: cancel,
				outbox: make(chan *wire.LogMessage, maxQueuedMessages), suspicions: make(chan *wire.Frame, maxQueuedSuspicions),
			}
			p.links[address] = l
			go l.run(linkCtx)
		}
	}
	for address, l := range p.links {
		if !wanted[address] && addresses != nil {
			l.cancel()
			delete(p.links, address)
		}
	}
}

// isolated reports whether no link stands.
func (p *peerLinks) isolated() bool { return p.active.Load() == 0 }

// queueMessage queues a message of the log.
func (p *peerLinks) queueMessage(m *wire.LogMessage) {
	p.mu.Lock()
	l := p.links[directory.AddressOf(m.To)]
	p.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case l.outbox <- m:
	default:
	}
}

// rosterToSend returns the n-th roster that a link tells, of one that names all.
func rosterToSend(roster *wire.Roster, n int) *wire.Roster {
	if n%fullRosterPeriod == 1 || len(roster.Instances) == 0 {
		return roster
	}
	return &wire.Roster{Instances: roster.Instances[:1]}
}

// broadcast queues a frame about doubts for every other instance; one whose queue is full
// is left out.
func (p *peerLinks) broadcast(frame *wire.Frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case l.suspicions <- frame:
		default:
		}
	}
}

// run keeps the link up until the context ends.
func (l *peerLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.serve(ctx); err != nil && ctx.Err() == nil {
			l.drain()
			time.Sleep(minDialPause)
		}
	}
}

// drain drops messages that are too old to be of use on the next link.
func (l *peerLink) drain() {
	for {
		select {
		case <-l.outbox:
		default:
			return
		}
	}
}

// serve sends until the link fails.
func (l *peerLink) serve(ctx context.Context) error {
	raw, err := l.backoff.dial(ctx, l.control.config.Dial, l.address, l.control.peers.isolated())
	if err != nil {
		return fault.Wrap(fault.Unreachable, err)
	}
	stream, closeLink, err := openLink(ctx, raw)
	if err != nil {
		return err
	}
	l.control.peers.active.Add(1)
	defer l.control.peers.active.Add(-1)
	if err := stream.Send(helloFrame(&wire.Hello{Id: l.control.Status().Self, Control: true})); err != nil {
		closeLink()
		return err
	}
	l.backoff.reset()
	l.rostersSent = 0
	log := l.control.config.Log
	log.Info("peer reached", "peer", l.address)
	ctx, cancel := context.WithCancel(ctx)
	receiverDone := make(chan struct{})
	go l.receiveLoop(stream, func() {
		cancel()
		close(receiverDone)
	})
	err = l.send(ctx, stream)
	closeLink()
	<-receiverDone // so that no late receipt is noted after this
	l.control.endpoints.acknowledge(l.address, 0)
	log.Warn("peer lost", "peer", l.address, "error", err)
	return err
}

// receiveLoop takes receipts until the link fails, and then calls failed.
func (l *peerLink) receiveLoop(stream wire.DRPCDirectory_LinkClient, onFailure func()) {
	defer onFailure()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		if receipt := frame.GetReceipt(); receipt != nil {
			l.control.endpoints.acknowledge(l.address, receipt.Number)
		}
	}
}

// send sends reports when they change and at least every frameEvery, and
// between them messages of the log, until the link or the context ends.
func (l *peerLink) send(ctx context.Context, stream wire.DRPCDirectory_LinkClient) error {
	endpoints := l.control.endpoints
	appended, unsubscribe := endpoints.peerBatches.appended.subscribe()
	defer unsubscribe()
	ticker := time.NewTicker(frameInterval)
	defer ticker.Stop()
	sent := endpoints.peerBatches.lastRevision()
	if err := stream.Send(compressFrame(reportsFrame(endpoints.peerChangesAfter(0)), compressFast)); err != nil {
		return err
	}
	for {
		if err := l.sendUntilReportsDue(ctx, stream, appended, ticker.C); err != nil {
			return err
		}
		pending, revision, ok := endpoints.peerBatches.after(sent)
		if !ok {
			revision = endpoints.peerBatches.lastRevision()
			pending = singleBatch(endpoints.peerChangesAfter(sent))
		}
		for _, each := range pending {
			if err := stream.Send(each.frame); err != nil {
				return err
			}
		}
		sent = revision
	}
}

// sendUntilReportsDue sends messages of the log and doubts until reports are due; each tick sends a
// roster too, if it vouches for this instance.
func (l *peerLink) sendUntilReportsDue(ctx context.Context, stream wire.DRPCDirectory_LinkClient, reportsDue <-chan struct{}, tick <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-l.outbox:
			if err := stream.Send(&wire.Frame{Body: &wire.Frame_Log{Log: m}}); err != nil {
				return err
			}
		case frame := <-l.suspicions:
			if err := stream.Send(frame); err != nil {
				return err
			}
		case <-reportsDue:
			return nil
		case <-tick:
			roster := l.control.roster.Load().fresh(l.control.config.Now())
			if roster == nil {
				return nil
			}
			l.rostersSent++
			return stream.Send(&wire.Frame{Body: &wire.Frame_Roster{Roster: rosterToSend(roster, l.rostersSent)}})
		}
	}
}
