package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"oxbowsaddle/internal/steer"
)

const (
	// pauseCheckInterval is how often this process looks whether it runs while a
	// question is under way, and pausePart which part of the question's time it
	// may stand still: a connection that was accepted meanwhile is found too late.
	pauseCheckInterval = 5 * time.Millisecond
	maxPauseDivisor    = 3
	// maxConcurrentProbes bounds the questions that are under way.
	maxConcurrentProbes = 32
)

type (
	// Knock reports whether a connection to an address is accepted in time; it is
	// closed at once, and carries nothing.
	Knock func(ctx context.Context, addr netip.AddrPort, timeout time.Duration) bool

	// probeTask settles one question beside others.
	probeTask struct {
		entry *Entry
		conn  *net.UDPConn // that resets are sent by
		probe steer.Question
		slots <-chan struct{} // holds a value for each question that is under way
	}

	// connectAttempt is the connection that one question attempts.
	connectAttempt struct {
		connect  Knock
		probe    steer.Question
		accepted chan<- bool
	}
)

// KnockTCP is the Knock that processes use.
func KnockTCP(ctx context.Context, addr netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return false
	}
	_ = conn.Close() // nothing was sent
	return true
}

// queueProbe queues a question without waiting; one that finds the queue full counts
// as one without an outcome.
func (e *Entry) queueProbe(q steer.Question) bool {
	select {
	case e.probeQueue <- q:
		return true
	default:
		return false
	}
}

// probeLoop asks endpoints whether they can be reached until the context ends.
func (e *Entry) probeLoop(ctx context.Context, conn *net.UDPConn) error {
	slots := make(chan struct{}, maxConcurrentProbes)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-e.probeQueue:
			slots <- struct{}{}
			go probeTask{e, conn, q, slots}.run(ctx)
		}
	}
}

// run settles the question and makes room for the next one.
func (r probeTask) run(ctx context.Context) {
	r.entry.resolveProbe(ctx, r.conn, r.probe)
	<-r.slots
}

// run knocks once.
func (a connectAttempt) run(ctx context.Context) {
	a.accepted <- a.connect(ctx, a.probe.Addr, a.probe.Within)
}

// runProbe asks one question and returns what came of it. A refusal comes at once;
// the time shows whether other endpoints answer meanwhile.
func (e *Entry) runProbe(ctx context.Context, q steer.Question) steer.Outcome {
	accepted := make(chan bool, 1)
	go connectAttempt{e.config.Knock, q, accepted}.run(ctx)
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
		if pause > q.Within/maxPauseDivisor {
			return steer.Unsure
		}
		if refused && now.Sub(start) >= q.Within {
			return steer.Missed
		}
	}
	return steer.Unsure
}

// resolveProbe asks one question, and resets the flows that end by its outcome.
func (e *Entry) resolveProbe(ctx context.Context, conn *net.UDPConn, q steer.Question) {
	start := e.config.Now()
	outcome := e.runProbe(ctx, q)
	now := e.config.Now()
	e.probeOutcomes.byOutcome[outcome].Add(1)
	e.mu.Lock()
	ended := e.steerer.Answered(now, q, outcome)
	e.mu.Unlock()
	e.config.Log.Info("endpoint asked", "endpoint", q.ID, "address", q.Addr, "why", q.Why, "outcome", outcome, "took", now.Sub(start), "flows_reset", len(ended))
	buf := make([]byte, 0, maxPacketSize)
	for _, f := range ended {
		e.sendReset(conn, buf, steer.Packet{Src: f.Src, Dst: f.Dst}, f.Seq)
	}
}
