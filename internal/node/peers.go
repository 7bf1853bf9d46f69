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
	// maxQueuedMessages bounds the log messages that are queued for a peer. Further ones are
	// dropped, which the log tolerates.
	maxQueuedMessages = 128
	// fullRosterPeriod is the period, in rosters, at which all instances are listed. The
	// other rosters list only the sender, to show that it is alive: if all were complete,
	// traffic would grow with the cube of the number of instances. The period is shorter than
	// the time after which a voter counts as lost.
	fullRosterPeriod = 5
	// idleReportInterval is how long no reports are sent before empty ones are. The peer
	// acknowledges them, and this instance closes a link on which it receives nothing for
	// linkIdleTimeout, which covers several of them.
	idleReportInterval = 2 * frameInterval
)

type (
	// peerLinks maintains the links of a control instance to its peers.
	peerLinks struct {
		control *Control

		mu    sync.Mutex
		seeds []string
		links map[string]*peerLink // by address

		active atomic.Int32 // number of connected links
	}

	// peerLink sends to the peer at one address.
	peerLink struct {
		control     *Control
		address     string
		outbox      chan *wire.LogMessage
		suspicions  chan *wire.Frame // to be forwarded to the entries of the peer
		cancel      context.CancelFunc
		backoff     dialBackoff
		rostersSent int // on the current connection
	}
)

func newPeerLinks(c *Control) *peerLinks {
	return &peerLinks{control: c, links: map[string]*peerLink{}}
}

// setSeeds replaces the seed addresses from the settings.
func (p *peerLinks) setSeeds(ctx context.Context, seeds []netip.AddrPort) {
	p.mu.Lock()
	p.seeds = nil
	for _, s := range seeds {
		if s != p.control.config.PeerAddr {
			p.seeds = append(p.seeds, s.String())
		}
	}
	p.mu.Unlock()
	p.connect(ctx, nil)
}

// connect starts links to the seeds and to the given addresses, and stops all others; nil
// addresses stop none.
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

// isolated reports whether no link is connected.
func (p *peerLinks) isolated() bool { return p.active.Load() == 0 }

// queueMessage queues a message of the replicated log for its recipient. It is dropped if the
// queue is full.
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

// rosterToSend returns the n-th roster to send on a connection, given the full one. n begins
// at 1.
func rosterToSend(roster *wire.Roster, n int) *wire.Roster {
	if n%fullRosterPeriod == 1 || len(roster.Instances) == 0 {
		return roster
	}
	return &wire.Roster{Instances: roster.Instances[:1]}
}

// broadcast queues a frame with suspicions for every peer. It skips peers whose queue is
// full.
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

// run keeps the link connected until the context is done.
func (l *peerLink) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.serve(ctx); err != nil && ctx.Err() == nil {
			l.drain()
			time.Sleep(minDialPause)
		}
	}
}

// drain drops queued messages, which would be outdated on the next connection.
func (l *peerLink) drain() {
	for {
		select {
		case <-l.outbox:
		default:
			return
		}
	}
}

// serve connects and sends until the link fails.
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
	receiverDone := make(chan error, 1)
	go l.receiveLoop(stream, func(err error) {
		cancel()
		receiverDone <- err
	})
	err = l.send(ctx, stream)
	closeLink()
	receiveErr := <-receiverDone // so that no late acknowledgement overwrites the reset below
	l.control.endpoints.acknowledge(l.address, 0)
	log.Warn("peer lost", "peer", l.address, "error", err, "receive_error", receiveErr)
	return err
}

// receiveLoop handles acknowledgements until the link fails, and then calls onFailure with the
// reason.
func (l *peerLink) receiveLoop(stream wire.DRPCDirectory_LinkClient, onFailure func(error)) {
	for {
		frame, err := stream.Recv()
		if err != nil {
			onFailure(err)
			return
		}
		if receipt := frame.GetReceipt(); receipt != nil {
			l.control.endpoints.acknowledge(l.address, receipt.Number)
		}
	}
}

// send sends reports after changes and at least every idleReportInterval, and in between
// messages of the replicated log, until the link fails or the context is done.
func (l *peerLink) send(ctx context.Context, stream wire.DRPCDirectory_LinkClient) error {
	endpoints := l.control.endpoints
	appended, unsubscribe := endpoints.peerBatches.appended.subscribe()
	defer unsubscribe()
	ticker := time.NewTicker(frameInterval)
	defer ticker.Stop()
	sent, sentAt := endpoints.peerBatches.lastRevision(), l.control.config.Now()
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
		now := l.control.config.Now()
		if len(pending) == 0 && now.Sub(sentAt) >= idleReportInterval {
			pending = singleBatch(&wire.Reports{Number: revision})
		}
		for _, each := range pending {
			if err := stream.Send(each.frame); err != nil {
				return err
			}
			sentAt = now
		}
		sent = revision
	}
}

// sendUntilReportsDue sends log messages and suspicions until reports are due. On each tick
// it also sends a roster, unless the current one is too old.
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
