package standin

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/work"
)

const (
	segmentResend   = 250 * time.Millisecond
	exchangeTimeout = 8 * time.Second
	openTimeout     = 10 * time.Second
	maxFINs         = 6
	requestResend   = 300 * time.Millisecond
	inboxSize       = 32
)

type (
	// Callers makes traffic of all kinds from addresses of its own.
	Callers struct {
		fabric      *Fabric
		ledger      *Ledger
		now         func() time.Time
		lastAddress atomic.Uint32
		lastToken   atomic.Uint64
	}

	// FlowConfig is one flow that a caller opens.
	FlowConfig struct {
		To       netip.AddrPort
		Interval time.Duration // between its packets
		Lasts    time.Duration
	}

	// RequestConfig is one request of a class of work.
	RequestConfig struct {
		Class     string
		To        netip.AddrPort
		Once      bool // it may not be repeated
		Deadline  time.Duration
		Blockwise bool // it pulls a block-wise answer
	}
)

// NewCallers returns callers that send by a fabric.
func NewCallers(f *Fabric, l *Ledger, now func() time.Time) *Callers {
	return &Callers{fabric: f, ledger: l, now: now}
}

// newAddress returns a caller's newAddress that was not used before.
func (c *Callers) newAddress() netip.AddrPort {
	const firstPort, ports = 1024, 60000
	n := c.lastAddress.Add(1)
	host := n / ports
	ip := netip.AddrFrom4([4]byte{10, 64, byte(host >> 8), byte(host) + 1})
	return netip.AddrPortFrom(ip, uint16(firstPort+n%ports))
}

// attachCaller takes a new address and returns what comes to it; a caller that is
// too slow loses packets.
func (c *Callers) attachCaller() (netip.AddrPort, chan *packet.Packet) {
	src := c.newAddress()
	inbox := make(chan *packet.Packet, inboxSize)
	c.fabric.Attach(src, func(p *packet.Packet) {
		select {
		case inbox <- p:
		default:
		}
	})
	return src, inbox
}

// Flow opens one TCP flow, sends on it and checks every answer, and closes it.
func (c *Callers) Flow(ctx context.Context, f FlowConfig) {
	src, inbox := c.attachCaller()
	defer c.fabric.Detach(src)
	c.ledger.recordFlowStart()
	flow := &callerFlow{callers: c, tuple: packet.NewTuple(src, f.To, packet.TCP), inbox: inbox, end: c.now().Add(f.Lasts)}
	flow.run(ctx, f.Interval)
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	callers *Callers
	tuple   packet.Tuple
	inbox   chan *packet.Packet
	end     time.Time
	seq     uint32
}

func (f *callerFlow) run(ctx context.Context, interval time.Duration) {
	if !f.open(ctx) {
		return
	}
	for f.callers.now().Before(f.end) {
		if !f.echo(ctx) {
			return
		}
		if !sleep(ctx, interval/2+rand.N(interval)) {
			f.callers.ledger.recordFlowEnd()
			return
		}
	}
	for range maxFINs {
		f.send(packet.NewFlags(false, true, true, false), nil)
		if p := f.receive(ctx, segmentResend); p != nil && p.Flags().Ends() {
			break
		}
	}
	f.callers.ledger.recordFlowEnd()
}

func (f *callerFlow) open(ctx context.Context) bool {
	deadline := f.callers.now().Add(openTimeout)
	for f.callers.now().Before(deadline) && ctx.Err() == nil {
		f.send(packet.NewFlags(true, false, false, false), nil)
		if p := f.receive(ctx, segmentResend); p != nil && p.Flags().Accepts() {
			return true
		}
	}
	f.callers.ledger.recordNotOpened()
	return false
}

// echo sends one piece of data and waits for its echo.
func (f *callerFlow) echo(ctx context.Context) bool {
	f.seq++
	want := fmt.Sprintf("%s %d", f.tuple.Src(), f.seq)
	deadline := f.callers.now().Add(exchangeTimeout)
	for f.callers.now().Before(deadline) {
		f.send(packet.NewFlags(false, true, false, false), []byte(want))
		p := f.receive(ctx, segmentResend)
		switch {
		case ctx.Err() != nil:
			f.callers.ledger.recordFlowEnd()
			return false
		case p == nil:
		case p.Flags().Resets():
			f.callers.ledger.recordBroken("reset")
			return false
		case string(p.Payload()) == want:
			return true
		case len(p.Payload()) > 0 && !f.isOwnEcho(p.Payload()):
			f.callers.ledger.recordCrossed()
		}
	}
	f.callers.ledger.recordBroken("silent")
	return false
}

func (f *callerFlow) isOwnEcho(payload []byte) bool {
	prefix := f.tuple.Src().String() + " "
	return len(payload) > len(prefix) && string(payload[:len(prefix)]) == prefix
}

func (f *callerFlow) send(flags packet.Flags, payload []byte) {
	if inner, err := packet.Build(f.tuple, flags, f.seq, 1, payload); err == nil {
		f.callers.fabric.Send(inner)
	}
}

func (f *callerFlow) receive(ctx context.Context, d time.Duration) *packet.Packet {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case p := <-f.inbox:
		return p
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Request sends one request until it has a final answer or its time is over,
// and returns "answered", "not_run", "unknown" or "silent".
func (c *Callers) Request(ctx context.Context, r RequestConfig) string {
	src, inbox := c.attachCaller()
	defer c.fabric.Detach(src)
	if !r.Blockwise {
		return c.requestOnce(ctx, r, src, inbox, codes.POST, nil)
	}
	for block := uint32(0); ; block++ {
		number := block
		more := false
		outcome := c.requestBlock(ctx, r, src, inbox, &number, &more)
		if outcome != "answered" || !more {
			return outcome
		}
	}
}

func (c *Callers) requestOnce(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, code codes.Code, block *uint32) string {
	return c.sendRequest(ctx, r, src, inbox, code, block, nil)
}

func (c *Callers) requestBlock(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, block *uint32, more *bool) string {
	return c.sendRequest(ctx, r, src, inbox, codes.GET, block, more)
}

// sendRequest sends one message until it is answered.
func (c *Callers) sendRequest(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, code codes.Code, block *uint32, more *bool) string {
	number := c.lastToken.Add(1)
	token := binary.BigEndian.AppendUint64(nil, number)
	m := work.Message{Message: message.Message{Token: token, Code: code, Type: message.Confirmable, MessageID: int32(number & 0xffff)}}
	if block != nil {
		m = m.WithBlock(*block<<4 | blockSZX)
	}
	c.ledger.recordRequest(string(token), r.Once)
	started := c.now()
	tuple := packet.NewTuple(src, r.To, packet.UDP)
	for c.now().Sub(started) < r.Deadline+time.Second && ctx.Err() == nil {
		remaining := max(r.Deadline-c.now().Sub(started), time.Millisecond)
		data, err := m.WithLeft(remaining).Encode()
		if err != nil {
			return "silent"
		}
		if inner, err := packet.Build(tuple, packet.Flags{}, 0, 0, data); err == nil {
			c.fabric.Send(inner)
		}
		answer, ok := c.awaitResponse(ctx, inbox, token)
		if !ok {
			continue
		}
		outcome := c.classify(answer, token)
		if more != nil {
			number, _ := answer.Block()
			*more = answer.MoreBlocks()
			if outcome == "answered" && number != *block {
				c.ledger.recordIncomplete()
			}
		}
		c.ledger.recordOutcome(string(token), r.Class, outcome, c.now().Sub(started))
		return outcome
	}
	if ctx.Err() == nil {
		c.ledger.recordOutcome(string(token), r.Class, "silent", 0)
	}
	return "silent"
}

func (c *Callers) awaitResponse(ctx context.Context, inbox chan *packet.Packet, token []byte) (work.Message, bool) {
	timer := time.NewTimer(requestResend)
	defer timer.Stop()
	for {
		select {
		case p := <-inbox:
			m, err := work.Decode(p.Payload())
			if err != nil || !m.IsAnswer() {
				continue
			}
			if string(m.Token) != string(token) {
				continue // the answer to an earlier request of this caller, late
			}
			return m, true
		case <-timer.C:
			return work.Message{}, false
		case <-ctx.Done():
			return work.Message{}, false
		}
	}
}

func (c *Callers) classify(m work.Message, token []byte) string {
	switch m.Code {
	case codes.ServiceUnavailable:
		return "not_run"
	case codes.Content:
		want := "done " + string(token)
		if len(m.Payload) < len(want) || string(m.Payload[:len(want)]) != want {
			c.ledger.recordCrossed()
		}
		return "answered"
	default:
		return "unknown"
	}
}
