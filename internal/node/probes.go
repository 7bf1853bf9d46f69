package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"oxbowsaddle/internal/steer"
)

const (
	// During a probe, this process checks every pauseCheckInterval that it has not been
	// paused for more than the probe's timeout divided by maxPauseDivisor: after a longer
	// pause, a timeout is no evidence against the endpoint.
	pauseCheckInterval = 5 * time.Millisecond
	maxPauseDivisor    = 3
	// maxConcurrentProbes bounds both the running and the queued probes.
	maxConcurrentProbes = 32
)

type (
	// ProbeFunc reports whether a TCP connection to an address is accepted before the timeout.
	// The connection is closed at once, without sending data.
	ProbeFunc func(ctx context.Context, addr netip.AddrPort, timeout time.Duration) bool

	// probeTask runs one probe concurrently with others.
	probeTask struct {
		entry *Entry
		conn  *net.UDPConn // for sending resets
		probe steer.Probe
		slots <-chan struct{} // holds a value for each running probe
	}

	// connectAttempt is the connection attempt of one probe.
	connectAttempt struct {
		connect  ProbeFunc
		probe    steer.Probe
		accepted chan<- bool
	}
)

// ProbeTCP is the ProbeFunc for use outside tests.
func ProbeTCP(ctx context.Context, addr netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return false
	}
	_ = conn.Close() // no data was sent
	return true
}

// queueProbe queues a probe without blocking, and reports false if the queue is full.
func (e *Entry) queueProbe(p steer.Probe) bool {
	select {
	case e.probeQueue <- p:
		return true
	default:
		return false
	}
}

// probeLoop runs queued probes until the context is done.
func (e *Entry) probeLoop(ctx context.Context, conn *net.UDPConn) error {
	slots := make(chan struct{}, maxConcurrentProbes)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-e.probeQueue:
			slots <- struct{}{}
			go probeTask{e, conn, p, slots}.run(ctx)
		}
	}
}

// run completes the probe and frees its slot.
func (t probeTask) run(ctx context.Context) {
	t.entry.resolveProbe(ctx, t.conn, t.probe)
	<-t.slots
}

// run attempts the connection and sends the result.
func (a connectAttempt) run(ctx context.Context) {
	a.accepted <- a.connect(ctx, a.probe.Addr, a.probe.Timeout)
}

// runProbe probes an endpoint and returns the outcome. A refused connection is reported as
// missed only after the timeout, so that answers of other endpoints in the meantime can
// show that the network is not at fault.
func (e *Entry) runProbe(ctx context.Context, p steer.Probe) steer.Outcome {
	accepted := make(chan bool, 1)
	go connectAttempt{e.config.Probe, p, accepted}.run(ctx)
	ticker := time.NewTicker(pauseCheckInterval)
	defer ticker.Stop()
	start := e.config.Now()
	last, pause, refused := start, time.Duration(0), false
	for ctx.Err() == nil {
		select {
		case reached := <-accepted:
			if reached {
				return steer.Reached
			}
			refused = true
		case <-ticker.C:
		}
		now := e.config.Now()
		pause, last = max(pause, now.Sub(last)), now
		if pause > p.Timeout/maxPauseDivisor {
			return steer.Inconclusive
		}
		if refused && now.Sub(start) >= p.Timeout {
			return steer.Missed
		}
	}
	return steer.Inconclusive
}

// resolveProbe runs a probe, applies its outcome, and resets the flows that it ends.
func (e *Entry) resolveProbe(ctx context.Context, conn *net.UDPConn, p steer.Probe) {
	start := e.config.Now()
	outcome := e.runProbe(ctx, p)
	now := e.config.Now()
	e.probeOutcomes.byOutcome[outcome].Add(1)
	e.mu.Lock()
	ended := e.steerer.FinishProbe(now, p, outcome)
	e.mu.Unlock()
	e.config.Log.Info("endpoint asked", "endpoint", p.ID, "address", p.Addr, "why", p.Why, "outcome", outcome, "took", now.Sub(start), "flows_reset", len(ended))
	buf := make([]byte, 0, maxPacketSize)
	for _, f := range ended {
		e.sendReset(conn, buf, steer.Packet{Src: f.Src, Dst: f.Dst}, f.Seq)
	}
}
