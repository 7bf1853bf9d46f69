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
	issueAddr          = "192.0.2.20:5683" // requests that must not run twice
	batchAddr          = "192.0.2.20:5684" // repeatable requests
	requestLifetime    = 3 * time.Second
	retransmitInterval = 200 * time.Millisecond
)

type (
	// requester is a client of a work class. It sends one request at a time and
	// retransmits it until it has a final answer.
	requester struct {
		sim           *Sim
		domain        string
		index         int
		addr          netip.AddrPort
		repeatable    bool
		tuple         packet.Tuple
		token         uint64
		sentAt        time.Time
		answered      bool
		requestNumber int
	}

	// requestRecord is what the backend servers and the client have seen of a
	// request, independent of what the entries report.
	requestRecord struct {
		runs           int
		answeredNotRun bool
		repeatable     bool
	}
)

// AddRequester starts a client that sends requests.
func (s *Sim) AddRequester(domain string, repeatable bool) {
	addr := issueAddr
	if repeatable {
		addr = batchAddr
	}
	r := &requester{sim: s, domain: domain, index: len(s.requesters), addr: netip.MustParseAddrPort(addr), repeatable: repeatable}
	s.requesters = append(s.requesters, r)
	src := netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("10.1.0.%d", r.index+1)), 4000)
	r.tuple = packet.NewTuple(src, r.addr, packet.UDP)
	s.schedule(time.Duration(s.rng.IntN(300))*time.Millisecond, r.startRequest)
}

// startRequest starts a new request.
func (r *requester) startRequest() {
	sim := r.sim
	sim.lastToken++
	r.token, r.sentAt, r.answered = sim.lastToken, sim.now, false
	r.requestNumber++
	sim.requests[r.token] = &requestRecord{repeatable: r.repeatable}
	sim.report.Requests++
	r.transmit(r.requestNumber)
}

// transmit sends a request to a random entry and schedules its retransmission. It
// gives up shortly before the end of the request's lifetime.
func (r *requester) transmit(requestNumber int) {
	sim := r.sim
	if r.requestNumber != requestNumber || r.answered {
		return
	}
	if sim.now.Sub(r.sentAt) > requestLifetime-500*time.Millisecond {
		sim.report.Unanswered++
		r.startRequest()
		return
	}
	m := work.Message{Message: message.Message{
		Token: binary.BigEndian.AppendUint64(nil, r.token), Code: codes.POST, Type: message.Confirmable, MessageID: int32(r.token & 0xffff),
	}}
	m = m.WithTimeLeft(800 * time.Millisecond)
	data, err := m.Encode()
	if err != nil {
		panic(err)
	}
	inner, err := packet.Build(r.tuple, packet.Flags{}, 0, 0, data)
	if err != nil {
		panic(err)
	}
	if entries := sim.reachableEntries(r.domain); len(entries) > 0 {
		e := entries[sim.rng.IntN(len(entries))]
		sim.send(r.domain, e.domain, func() { e.runUnpaused(func() { e.receive(netip.AddrPort{}, inner, nil) }) })
	}
	sim.schedule(retransmitInterval, func() { r.transmit(requestNumber) })
}

// receive checks an answer: it must belong to a request of this simulation, carry
// that request's result, and not report a request as not run that has run.
func (r *requester) receive(p *packet.Packet) {
	sim := r.sim
	m, err := work.Decode(p.Payload())
	if err != nil {
		sim.violationf("a client received a malformed CoAP message")
		return
	}
	if !m.IsAnswer() || len(m.Token) != 8 {
		return
	}
	token := binary.BigEndian.Uint64(m.Token)
	record := sim.requests[token]
	if record == nil {
		sim.violationf("a client received an answer to an unknown request")
		return
	}
	switch m.Code {
	case codes.ServiceUnavailable:
		record.answeredNotRun = true
		if record.runs > 0 {
			sim.report.FalseNotRun++
			sim.violationf("request %d was answered as not run, but has run", token)
		}
	case codes.Changed:
		if string(m.Payload) != fmt.Sprint("done ", token) {
			sim.report.Crossed++
			sim.violationf("request %d received the answer %q of another request", token, m.Payload)
		}
	}
	if token != r.token || r.answered {
		return
	}
	r.answered = true
	sim.report.Answers[m.Code.String()]++
	sim.schedule(time.Duration(sim.rng.IntN(100))*time.Millisecond, func() { r.startRequest() })
}

// receiveRequest runs a request on an endpoint and checks that it may run there.
func (b *backend) receiveRequest(p *packet.Packet) {
	sim := b.sim
	m, err := work.Decode(p.Payload())
	if err != nil || !m.IsRequest() {
		return
	}
	token := binary.BigEndian.Uint64(m.Token)
	if since, leaving := sim.leavingSince[b.name]; leaving && sim.now.Sub(since) > maxDrainDelay && !sim.partitioned[b.domain] && sim.now.Sub(sim.reconnectedAt[b.domain]) > maxDrainDelay {
		sim.report.NewAfterDrain++
		sim.violationf("%s received a new request %v after it began to leave", b.name, sim.now.Sub(since))
	}
	if b.runningRequests >= workSlots {
		b.sendWorkAnswer(p.Tuple(), m, codes.ServiceUnavailable, "busy")
		return
	}
	record := sim.requests[token]
	record.runs++
	if record.runs > 1 && !record.repeatable {
		sim.report.RanTwice++
		sim.violationf("request %d ran %d times", token, record.runs)
	}
	if record.answeredNotRun {
		sim.report.FalseNotRun++
		sim.violationf("request %d ran after it was answered as not run", token)
	}
	b.runningRequests++
	sim.schedule(time.Duration(10+sim.rng.IntN(60))*time.Millisecond, func() {
		b.runningRequests--
		if sim.rng.IntN(50) > 0 { // some answers are lost, as if the backend server had failed
			b.sendWorkAnswer(p.Tuple(), m, codes.Changed, fmt.Sprint("done ", token))
		}
	})
}

// sendWorkAnswer answers a request.
func (b *backend) sendWorkAnswer(t packet.Tuple, m work.Message, code codes.Code, text string) {
	answer := work.Message{Message: message.Message{Token: m.Token, Code: code, Type: message.NonConfirmable, MessageID: m.MessageID, Payload: []byte(text)}}
	data, err := answer.Encode()
	if err != nil {
		panic(err)
	}
	inner, err := packet.Build(t.Reverse(), packet.Flags{}, 0, 0, data)
	if err != nil {
		panic(err)
	}
	b.sendToEntry(inner)
}
