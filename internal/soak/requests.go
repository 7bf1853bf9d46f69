package soak

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"time"

	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/work"
)

const (
	issueAddr    = "192.0.2.20:5683" // may not be repeated
	batchAddr    = "192.0.2.20:5684" // may be repeated
	requestLife  = 3 * time.Second
	requestAgain = 200 * time.Millisecond
)

type (
	// asker sends requests of a work class, one after the other, and sends
	// each again until it has a final answer.
	asker struct {
		world      *World
		domain     string
		number     int
		addr       netip.AddrPort
		repeatable bool
		tuple      packet.Tuple
		token      uint64
		sent       time.Time
		done       bool
		life       int
	}

	// requestLog is what the backend servers and the callers have seen of one
	// request; the balancer's own opinion counts for nothing.
	requestLog struct {
		runs       int
		notRun     bool
		repeatable bool
	}
)

// AddAsker starts a caller of work.
func (w *World) AddAsker(domain string, repeatable bool) {
	addr := issueAddr
	if repeatable {
		addr = batchAddr
	}
	a := &asker{world: w, domain: domain, number: len(w.askers), addr: netip.MustParseAddrPort(addr), repeatable: repeatable}
	w.askers = append(w.askers, a)
	src := netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("10.1.0.%d", a.number+1)), 4000)
	a.tuple = packet.NewTuple(src, a.addr, packet.UDP)
	w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, a.ask)
}

func (a *asker) ask() {
	w := a.world
	w.token++
	a.token, a.sent, a.done = w.token, w.now, false
	a.life++
	w.requests[a.token] = &requestLog{repeatable: a.repeatable}
	w.report.Requests++
	a.transmit(a.life)
}

func (a *asker) transmit(life int) {
	w := a.world
	if a.life != life || a.done {
		return
	}
	if w.now.Sub(a.sent) > requestLife-500*time.Millisecond {
		w.report.Unanswered++
		a.ask()
		return
	}
	m := work.Message{Message: message.Message{
		Token: binary.BigEndian.AppendUint64(nil, a.token), Code: codes.POST, Type: message.Confirmable, MessageID: int32(a.token & 0xffff),
	}}
	m = m.WithLeft(800 * time.Millisecond)
	data, err := m.Encode()
	if err != nil {
		panic(err)
	}
	inner, err := packet.Build(a.tuple, packet.Flags{}, 0, 0, data)
	if err != nil {
		panic(err)
	}
	if side := w.side(a.domain); len(side) > 0 {
		e := side[w.rng.IntN(len(side))]
		w.send(a.domain, e.domain, func() { e.awake(func() { e.take(netip.AddrPort{}, inner, nil) }) })
	}
	w.after(requestAgain, func() { a.transmit(life) })
}

// take checks an answer: it must belong to the request, be whole, and never
// deny what has run.
func (a *asker) take(p *packet.Packet) {
	w := a.world
	m, err := work.Decode(p.Payload())
	if err != nil {
		w.fault("a caller got what is no CoAP message")
		return
	}
	if !m.IsAnswer() || len(m.Token) != 8 {
		return
	}
	token := binary.BigEndian.Uint64(m.Token)
	log := w.requests[token]
	if log == nil {
		w.fault("a caller got an answer to a request that nobody made")
		return
	}
	switch m.Code {
	case codes.ServiceUnavailable:
		log.notRun = true
		if log.runs > 0 {
			w.report.FalseNotRun++
			w.fault("request %d was told not run, and ran", token)
		}
	case codes.Changed:
		if string(m.Payload) != fmt.Sprint("done ", token) {
			w.report.Crossed++
			w.fault("request %d got the answer %q", token, m.Payload)
		}
	}
	if token != a.token || a.done {
		return
	}
	a.done = true
	w.report.Answers[m.Code.String()]++
	w.after(time.Duration(w.rng.IntN(100))*time.Millisecond, func() { a.ask() })
}

// takeWork runs a request on a backend server's endpoint.
func (b *backend) takeWork(p *packet.Packet) {
	w := b.world
	m, err := work.Decode(p.Payload())
	if err != nil || !m.IsRequest() {
		return
	}
	token := binary.BigEndian.Uint64(m.Token)
	if since, leaving := w.leaving[b.name]; leaving && w.now.Sub(since) > drainBound && !w.cut[b.domain] && w.now.Sub(w.mended[b.domain]) > drainBound {
		w.report.LateNew++
		w.fault("%s got new work %v after it began to leave", b.name, w.now.Sub(since))
	}
	if b.running >= workSlots {
		b.answerWork(p.Tuple(), m, codes.ServiceUnavailable, "busy")
		return
	}
	log := w.requests[token]
	log.runs++
	if log.runs > 1 && !log.repeatable {
		w.report.RanTwice++
		w.fault("request %d ran %d times", token, log.runs)
	}
	if log.notRun {
		w.report.FalseNotRun++
		w.fault("request %d ran after it was told not run", token)
	}
	b.running++
	w.after(time.Duration(10+w.rng.IntN(60))*time.Millisecond, func() {
		b.running--
		if w.rng.IntN(50) > 0 { // now and then a backend server dies after it ran
			b.answerWork(p.Tuple(), m, codes.Changed, fmt.Sprint("done ", token))
		}
	})
}

func (b *backend) answerWork(t packet.Tuple, m work.Message, code codes.Code, text string) {
	answer := work.Message{Message: message.Message{Token: m.Token, Code: code, Type: message.NonConfirmable, MessageID: m.MessageID, Payload: []byte(text)}}
	data, err := answer.Encode()
	if err != nil {
		panic(err)
	}
	inner, err := packet.Build(t.Reverse(), packet.Flags{}, 0, 0, data)
	if err != nil {
		panic(err)
	}
	b.back(inner)
}
