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
	segmentRetransmitInterval = 250 * time.Millisecond
	exchangeTimeout           = 8 * time.Second
	openTimeout               = 10 * time.Second
	maxFINs                   = 6
	requestRetransmitInterval = 300 * time.Millisecond
	inboxSize                 = 32
)

type (
	// Clients opens flows and sends requests, each from a new client address.
	Clients struct {
		fabric      *Fabric
		recorder    *Recorder
		now         func() time.Time
		lastAddress atomic.Uint32
		lastToken   atomic.Uint64
	}

	// FlowConfig configures a flow.
	FlowConfig struct {
		To       netip.AddrPort
		Interval time.Duration // mean time between exchanges
		Duration time.Duration
	}

	// RequestConfig configures a request.
	RequestConfig struct {
		Class         string
		To            netip.AddrPort
		NonRepeatable bool // must not run more than once
		Deadline      time.Duration
		Blockwise     bool // fetch a block-wise response, RFC 7959
	}
)

// NewClients returns clients that send through a fabric.
func NewClients(f *Fabric, r *Recorder, now func() time.Time) *Clients {
	return &Clients{fabric: f, recorder: r, now: now}
}

// newAddress returns a client address that has not been used before.
func (c *Clients) newAddress() netip.AddrPort {
	const firstPort, ports = 1024, 60000
	n := c.lastAddress.Add(1)
	host := n / ports
	ip := netip.AddrFrom4([4]byte{10, 64, byte(host >> 8), byte(host) + 1})
	return netip.AddrPortFrom(ip, uint16(firstPort+n%ports))
}

// attachClient attaches a new address to the fabric and returns it with a channel
// of the packets sent to it. Packets are dropped while the channel is full.
func (c *Clients) attachClient() (netip.AddrPort, chan *packet.Packet) {
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

// Flow opens a TCP flow, sends data and checks each echo, and closes the flow.
func (c *Clients) Flow(ctx context.Context, f FlowConfig) {
	src, inbox := c.attachClient()
	defer c.fabric.Detach(src)
	c.recorder.recordFlowStart()
	flow := &clientFlow{clients: c, tuple: packet.NewTuple(src, f.To, packet.TCP), inbox: inbox, end: c.now().Add(f.Duration)}
	flow.run(ctx, f.Interval)
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	clients *Clients
	tuple   packet.Tuple
	inbox   chan *packet.Packet
	end     time.Time
	seq     uint32
}

func (f *clientFlow) run(ctx context.Context, interval time.Duration) {
	if !f.open(ctx) {
		return
	}
	for f.clients.now().Before(f.end) {
		if !f.echo(ctx) {
			return
		}
		if !sleep(ctx, interval/2+rand.N(interval)) {
			f.clients.recorder.recordFlowEnd()
			return
		}
	}
	for range maxFINs {
		f.send(packet.NewFlags(false, true, true, false), nil)
		if p := f.receive(ctx, segmentRetransmitInterval); p != nil && p.Flags().Ends() {
			break
		}
	}
	f.clients.recorder.recordFlowEnd()
}

func (f *clientFlow) open(ctx context.Context) bool {
	deadline := f.clients.now().Add(openTimeout)
	for f.clients.now().Before(deadline) && ctx.Err() == nil {
		f.send(packet.NewFlags(true, false, false, false), nil)
		if p := f.receive(ctx, segmentRetransmitInterval); p != nil && p.Flags().Accepts() {
			return true
		}
	}
	f.clients.recorder.recordNotOpened()
	return false
}

// echo sends a segment and waits for its echo. It reports whether the flow is
// still open.
func (f *clientFlow) echo(ctx context.Context) bool {
	f.seq++
	want := fmt.Sprintf("%s %d", f.tuple.Src(), f.seq)
	deadline := f.clients.now().Add(exchangeTimeout)
	for f.clients.now().Before(deadline) {
		f.send(packet.NewFlags(false, true, false, false), []byte(want))
		p := f.receive(ctx, segmentRetransmitInterval)
		switch {
		case ctx.Err() != nil:
			f.clients.recorder.recordFlowEnd()
			return false
		case p == nil:
		case p.Flags().Resets():
			f.clients.recorder.recordBroken("reset")
			return false
		case string(p.Payload()) == want:
			return true
		case len(p.Payload()) > 0 && !f.isOwnEcho(p.Payload()):
			f.clients.recorder.recordCrossed()
		}
	}
	f.clients.recorder.recordBroken("silent")
	return false
}

// isOwnEcho reports whether the payload was sent on this flow.
func (f *clientFlow) isOwnEcho(payload []byte) bool {
	prefix := f.tuple.Src().String() + " "
	return len(payload) > len(prefix) && string(payload[:len(prefix)]) == prefix
}

func (f *clientFlow) send(flags packet.Flags, payload []byte) {
	if inner, err := packet.Build(f.tuple, flags, f.seq, 1, payload); err == nil {
		f.clients.fabric.Send(inner)
	}
}

// receive waits for a packet and returns nil after d or at the context's end.
func (f *clientFlow) receive(ctx context.Context, d time.Duration) *packet.Packet {
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

// Request sends a request, and retransmits it until it is answered or its deadline
// has passed. It returns the outcome: "answered", "not_run", "unknown" or
// "silent", which means that there was no response.
func (c *Clients) Request(ctx context.Context, r RequestConfig) string {
	src, inbox := c.attachClient()
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

func (c *Clients) requestOnce(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, code codes.Code, block *uint32) string {
	return c.sendRequest(ctx, r, src, inbox, code, block, nil)
}

func (c *Clients) requestBlock(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, block *uint32, more *bool) string {
	return c.sendRequest(ctx, r, src, inbox, codes.GET, block, more)
}

// sendRequest sends one message, retransmits it until it is answered, and returns
// the outcome. If more is not nil, it is set to whether further blocks follow.
func (c *Clients) sendRequest(ctx context.Context, r RequestConfig, src netip.AddrPort, inbox chan *packet.Packet, code codes.Code, block *uint32, more *bool) string {
	id := c.lastToken.Add(1)
	token := binary.BigEndian.AppendUint64(nil, id)
	m := work.Message{Message: message.Message{Token: token, Code: code, Type: message.Confirmable, MessageID: int32(id & 0xffff)}}
	if block != nil {
		m = m.WithBlock(*block<<4 | blockSZX)
	}
	c.recorder.recordRequest(string(token), r.NonRepeatable)
	started := c.now()
	tuple := packet.NewTuple(src, r.To, packet.UDP)
	for c.now().Sub(started) < r.Deadline+time.Second && ctx.Err() == nil {
		remaining := max(r.Deadline-c.now().Sub(started), time.Millisecond)
		data, err := m.WithTimeLeft(remaining).Encode()
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
				c.recorder.recordIncomplete()
			}
		}
		c.recorder.recordOutcome(string(token), r.Class, outcome, c.now().Sub(started))
		return outcome
	}
	if ctx.Err() == nil {
		c.recorder.recordOutcome(string(token), r.Class, "silent", 0)
	}
	return "silent"
}

// awaitResponse waits for the response with this token until the request is due for
// retransmission.
func (c *Clients) awaitResponse(ctx context.Context, inbox chan *packet.Packet, token []byte) (work.Message, bool) {
	timer := time.NewTimer(requestRetransmitInterval)
	defer timer.Stop()
	for {
		select {
		case p := <-inbox:
			m, err := work.Decode(p.Payload())
			if err != nil || !m.IsAnswer() {
				continue
			}
			if string(m.Token) != string(token) {
				continue // late response to an earlier request of this client
			}
			return m, true
		case <-timer.C:
			return work.Message{}, false
		case <-ctx.Done():
			return work.Message{}, false
		}
	}
}

// classify returns the outcome of a request from its response, and records a
// response that belongs to another request.
func (c *Clients) classify(m work.Message, token []byte) string {
	switch m.Code {
	case codes.ServiceUnavailable:
		return "not_run"
	case codes.Content:
		want := "done " + string(token)
		if len(m.Payload) < len(want) || string(m.Payload[:len(want)]) != want {
			c.recorder.recordCrossed()
		}
		return "answered"
	default:
		return "unknown"
	}
}
