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
	resendFlow    = 250 * time.Millisecond
	flowPatience  = 8 * time.Second
	openPatience  = 10 * time.Second
	finTries      = 6
	resendRequest = 300 * time.Millisecond
	inboxSize     = 32
)

type (
	// Callers makes traffic of all kinds from addresses of its own.
	Callers struct {
		fabric *Fabric
		ledger *Ledger
		now    func() time.Time
		next   atomic.Uint32
		token  atomic.Uint64
	}

	// FlowConfig is one flow that a caller opens.
	FlowConfig struct {
		To       netip.AddrPort
		Interval time.Duration // between its packets
		Lasts    time.Duration
	}

	// RequestConfig is one request of a class of work.
	RequestConfig struct {
		Class    string
		To       netip.AddrPort
		Once     bool // it may not be repeated
		Deadline time.Duration
		Blocks   bool // it pulls a block-wise answer
	}
)

// NewCallers returns callers that send by a fabric.
func NewCallers(f *Fabric, l *Ledger, now func() time.Time) *Callers {
	return &Callers{fabric: f, ledger: l, now: now}
}

// address returns a caller's address that was not used before.
func (c *Callers) address() netip.AddrPort {
	const firstPort, ports = 1024, 60000
	n := c.next.Add(1)
	host := n / ports
	ip := netip.AddrFrom4([4]byte{10, 64, byte(host >> 8), byte(host) + 1})
	return netip.AddrPortFrom(ip, uint16(firstPort+n%ports))
}

// listen takes a new address and returns what comes to it; a caller that is
// too slow loses packets.
func (c *Callers) listen() (netip.AddrPort, chan *packet.Packet) {
	src := c.address()
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
	src, inbox := c.listen()
	defer c.fabric.Detach(src)
	c.ledger.flowBegan()
	flow := &callerFlow{callers: c, tuple: packet.NewTuple(src, f.To, packet.TCP), inbox: inbox, ends: c.now().Add(f.Lasts)}
	flow.run(ctx, f.Interval)
}

// callerFlow is one flow of a caller.
type callerFlow struct {
	callers *Callers
	tuple   packet.Tuple
	inbox   chan *packet.Packet
	ends    time.Time
	seq     uint32
}

func (f *callerFlow) run(ctx context.Context, interval time.Duration) {
	if !f.open(ctx) {
		return
	}
	for f.callers.now().Before(f.ends) {
		if !f.exchange(ctx) {
			return
		}
		if !sleep(ctx, interval/2+rand.N(interval)) {
			f.callers.ledger.flowEnded()
			return
		}
	}
	for range finTries {
		f.send(packet.NewFlags(false, true, true, false), nil)
		if p := f.wait(ctx, resendFlow); p != nil && p.Flags().Ends() {
			break
		}
	}
	f.callers.ledger.flowEnded()
}

func (f *callerFlow) open(ctx context.Context) bool {
	give := f.callers.now().Add(openPatience)
	for f.callers.now().Before(give) && ctx.Err() == nil {
		f.send(packet.NewFlags(true, false, false, false), nil)
		if p := f.wait(ctx, resendFlow); p != nil && p.Flags().Accepts() {
			return true
		}
	}
	f.callers.ledger.notOpened()
	return false
}

// exchange sends one piece of data and waits for its echo.
func (f *callerFlow) exchange(ctx context.Context) bool {
	f.seq++
	want := fmt.Sprintf("%s %d", f.tuple.Src(), f.seq)
	give := f.callers.now().Add(flowPatience)
	for f.callers.now().Before(give) {
		f.send(packet.NewFlags(false, true, false, false), []byte(want))
		p := f.wait(ctx, resendFlow)
		switch {
		case ctx.Err() != nil:
			f.callers.ledger.flowEnded()
			return false
		case p == nil:
		case p.Flags().Resets():
			f.callers.ledger.broken("reset")
			return false
		case string(p.Payload()) == want:
			return true
		case len(p.Payload()) > 0 && !f.mine(p.Payload()):
			f.callers.ledger.crossed()
		}
	}
	f.callers.ledger.broken("silent")
	return false
}

func (f *callerFlow) mine(payload []byte) bool {
	prefix := f.tuple.Src().String() + " "
	return len(payload) > len(prefix) && string(payload[:len(prefix)]) == prefix
}

func (f *callerFlow) send(flags packet.Flags, payload []byte) {
	if inner, err := packet.Build(f.tuple, flags, f.seq, 1, payload); err == nil {
		f.callers.fabric.Send(inner)
	}
}

func (f *callerFlow) wait(ctx context.Context, d time.Duration) *packet.Packet {
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
	src, inbox := c.listen()
	defer c.fabric.Detach(src)
	if !r.Blocks {
		return c.exchange(ctx, r, src, inbox, codes.POST, nil)
	}
	for block := uint32(0); ; block++ {
		number := block
		more := false
		got := c.exchangeBlock(ctx, r, src, inbox, &number, &more)
		if got != "answered" || !more {
			return got
		}
	}
}

func (c *Callers) exchange(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, code codes.Code, block *uint32) string {
	return c.exchangeBlockCode(ctx, r, src, inbox, code, block, nil)
}

func (c *Callers) exchangeBlock(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, block *uint32, more *bool) string {
	return c.exchangeBlockCode(ctx, r, src, inbox, codes.GET, block, more)
}

// exchangeBlockCode sends one message until it is answered.
func (c *Callers) exchangeBlockCode(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, code codes.Code, block *uint32, more *bool) string {
	number := c.token.Add(1)
	token := binary.BigEndian.AppendUint64(nil, number)
	m := work.Message{Message: message.Message{Token: token, Code: code, Type: message.Confirmable, MessageID: int32(number & 0xffff)}}
	if block != nil {
		m = m.WithBlock(*block<<4 | blockSize256)
	}
	c.ledger.asked(string(token), r.Once)
	began := c.now()
	tuple := packet.NewTuple(src, r.To, packet.UDP)
	for c.now().Sub(began) < r.Deadline+time.Second && ctx.Err() == nil {
		left := max(r.Deadline-c.now().Sub(began), time.Millisecond)
		data, err := m.WithTimeLeft(left).Encode()
		if err != nil {
			return "silent"
		}
		if inner, err := packet.Build(tuple, packet.Flags{}, 0, 0, data); err == nil {
			c.fabric.Send(inner)
		}
		answer, ok := c.awaitAnswer(ctx, inbox, token)
		if !ok {
			continue
		}
		what := c.judge(answer, token)
		if more != nil {
			number, _ := answer.Block()
			*more = answer.MoreBlocks()
			if what == "answered" && number != *block {
				c.ledger.incomplete()
			}
		}
		c.ledger.told(string(token), r.Class, what, c.now().Sub(began))
		return what
	}
	if ctx.Err() == nil {
		c.ledger.told(string(token), r.Class, "silent", 0)
	}
	return "silent"
}

func (c *Callers) awaitAnswer(ctx context.Context, inbox chan *packet.Packet, token []byte) (work.Message, bool) {
	timer := time.NewTimer(resendRequest)
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

func (c *Callers) judge(m work.Message, token []byte) string {
	switch m.Code {
	case codes.ServiceUnavailable:
		return "not_run"
	case codes.Content:
		want := "done " + string(token)
		if len(m.Payload) < len(want) || string(m.Payload[:len(want)]) != want {
			c.ledger.crossed()
		}
		return "answered"
	default:
		return "unknown"
	}
}
