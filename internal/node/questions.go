package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"oxbowsaddle/internal/steer"
)

const (
	// questionTick is how often this process looks whether it runs while a
	// question is under way, and pausePart which part of the question's time it
	// may stand still: a connection that was accepted meanwhile is found too late.
	questionTick = 5 * time.Millisecond
	pausePart    = 3
	// questionsAtOnce bounds the questions that are under way.
	questionsAtOnce = 32
)

type (
	// Knock reports whether a connection to an address is accepted in time; it is
	// closed at once, and carries nothing.
	Knock func(ctx context.Context, addr netip.AddrPort, timeout time.Duration) bool

	// questionRun settles one question beside others.
	questionRun struct {
		entry    *Entry
		conn     *net.UDPConn // that resets are sent by
		question steer.Question
		free     <-chan struct{} // holds a value for each question that is under way
	}

	// attemptedKnock is the connection that one question attempts.
	attemptedKnock struct {
		knock    Knock
		question steer.Question
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

// ask queues a question without waiting; one that finds the queue full counts
// as one without an outcome.
func (e *Entry) ask(q steer.Question) bool {
	select {
	case e.questions <- q:
		return true
	default:
		return false
	}
}

// questionLoop asks endpoints whether they can be reached until the context ends.
func (e *Entry) questionLoop(ctx context.Context, conn *net.UDPConn) error {
	free := make(chan struct{}, questionsAtOnce)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case q := <-e.questions:
			free <- struct{}{}
			go questionRun{e, conn, q, free}.run(ctx)
		}
	}
}

// run settles the question and makes room for the next one.
func (r questionRun) run(ctx context.Context) {
	r.entry.settleQuestion(ctx, r.conn, r.question)
	<-r.free
}

// run knocks once.
func (a attemptedKnock) run(ctx context.Context) {
	a.accepted <- a.knock(ctx, a.question.Addr, a.question.Within)
}

// put asks one question and returns what came of it. A refusal comes at once;
// the time shows whether other endpoints answer meanwhile.
func (e *Entry) put(ctx context.Context, q steer.Question) steer.Outcome {
	accepted := make(chan bool, 1)
	go attemptedKnock{e.config.Knock, q, accepted}.run(ctx)
	ticker := time.NewTicker(questionTick)
	defer ticker.Stop()
	began := e.config.Now()
	last, pause, refused := began, time.Duration(0), false
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
		if pause > q.Within/pausePart {
			return steer.Unsure
		}
		if refused && now.Sub(began) >= q.Within {
			return steer.Missed
		}
	}
	return steer.Unsure
}

// settleQuestion asks one question, and resets the flows that end by its outcome.
func (e *Entry) settleQuestion(ctx context.Context, conn *net.UDPConn, q steer.Question) {
	began := e.config.Now()
	outcome := e.put(ctx, q)
	now := e.config.Now()
	e.asked.byOutcome[outcome].Add(1)
	e.mu.Lock()
	ended := e.steerer.Answered(now, q, outcome)
	e.mu.Unlock()
	e.config.Log.Info("endpoint asked", "endpoint", q.ID, "address", q.Addr, "why", q.Why, "outcome", outcome, "took", now.Sub(began), "flows_reset", len(ended))
	buf := make([]byte, 0, packetMost)
	for _, f := range ended {
		e.sendReset(conn, buf, steer.Packet{Src: f.Src, Dst: f.Dst}, f.Seq)
	}
}
