package flow

import (
	"slices"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// maxAsked bounds how many peers are asked about one flow. Packets are
	// sprayed, so a flow of some length is known to nearly every entry.
	maxAsked = 16
	// maxWaiting bounds the packets of one flow that wait; callers resend.
	maxWaiting = 2
)

// question is a flow that peers have been asked about.
type question struct {
	verdict  Verdict
	packets  []*packet.Packet
	open     []string // peers that have not answered
	whole    bool     // every live entry has been asked
	halfOpen []uint32 // endpoints that peers have sent a SYN to, and nothing else
	deadline time.Time
}

// ask keeps the packet and asks the peers where they have seen its flow.
func (e *Engine) ask(now time.Time, v Verdict, p *packet.Packet) Verdict {
	if q := e.waiting[v.id]; q != nil {
		if len(q.packets) < maxWaiting {
			q.packets = append(q.packets, p.Clone())
		}
		v.action, v.reason = Waited, AskedPeers
		return v
	}
	peers := e.askedPeers(v)
	if len(peers) == 0 {
		return e.nobodyKnows(now, v, p, e.alone())
	}
	if len(e.waiting) >= e.config.Waiting || !e.asks.AllowN(now, 1) {
		if p.Flags().Opens() {
			return e.nobodyKnows(now, v, p, false)
		}
		v.action, v.reason = Drop, AskLimit
		return v
	}
	e.stats.Asks++
	q := &question{
		verdict: v, packets: []*packet.Packet{p.Clone()}, open: peers,
		whole: len(peers)+1 >= len(e.view.Table.Members()), deadline: now.Add(e.config.AskTimeout),
	}
	e.waiting[v.id] = q
	e.asked = append(e.asked, q)
	message := &wire.Peer{From: e.config.Self, Body: &wire.Peer_Ask{Ask: &wire.Ask{
		High: v.id.High, Low: v.id.Low, Service: v.service.ID(),
	}}}
	for _, peer := range peers {
		e.out = append(e.out, Out{Peer: peer, Message: message})
	}
	v.action, v.reason = Waited, AskedPeers
	return v
}

func (e *Engine) alone() bool { return len(e.view.Table.Members()) <= 1 }

// askedPeers returns the peers to ask: all that can be reached, or a sample
// of them that differs by flow.
func (e *Engine) askedPeers(v Verdict) []string {
	peers := e.view.Reachable
	if len(peers) <= maxAsked {
		return slices.Clone(peers)
	}
	start := int(v.id.Low % uint64(len(peers)))
	asked := make([]string, maxAsked)
	for i := range asked {
		asked[i] = peers[(start+i)%len(peers)]
	}
	return asked
}

// Peer takes a message from another entry.
func (e *Engine) Peer(now time.Time, m *wire.Peer) {
	switch body := m.Body.(type) {
	case *wire.Peer_Ask:
		e.answerAsk(m.From, body.Ask)
	case *wire.Peer_Told:
		e.told(now, m.From, body.Told)
	case *wire.Peer_Forget:
		e.forget(route.FlowID{High: body.Forget.High, Low: body.Forget.Low})
	case *wire.Peer_Accepted:
		e.accepted(now, body.Accepted)
	case *wire.Peer_Push:
		e.takePush(now, m.From, body.Push)
	case *wire.Peer_Pushed:
		e.pushed(m.From, body.Pushed.Sequence)
	}
}

func (e *Engine) answerAsk(from string, ask *wire.Ask) {
	id := route.FlowID{High: ask.High, Low: ask.Low}
	told := &wire.Told{High: ask.High, Low: ask.Low, Service: ask.Service}
	if s := e.flows.get(id); s != nil {
		told.Endpoint, told.Opening = s.endpoint, s.state == stateOpening
	}
	if r, ok := e.records[id]; ok && (told.Endpoint == 0 || told.Opening) {
		told.Endpoint, told.Opening = r.endpoint, !r.open
	}
	e.out = append(e.out, Out{Peer: from, Message: &wire.Peer{From: e.config.Self, Body: &wire.Peer_Told{Told: told}}})
}

func (e *Engine) told(now time.Time, from string, told *wire.Told) {
	id := route.FlowID{High: told.High, Low: told.Low}
	q := e.waiting[id]
	if q == nil {
		return
	}
	endpoint := e.view.Table.Endpoint(told.Endpoint)
	known := endpoint != nil && endpoint.Service() == q.verdict.service.ID()
	if known && !told.Opening {
		e.resolve(now, q, told.Endpoint)
		return
	}
	if known && !slices.Contains(q.halfOpen, told.Endpoint) {
		q.halfOpen = append(q.halfOpen, told.Endpoint)
	}
	q.open = slices.DeleteFunc(q.open, func(name string) bool { return name == from })
	if len(q.open) > 0 {
		return
	}
	if len(q.halfOpen) == 1 && len(e.view.Table.Cut()) == 0 {
		// With a domain that cannot be asked a SYN alone is not enough: its
		// entries may have placed a repetition elsewhere.
		e.resolve(now, q, q.halfOpen[0])
		return
	}
	delete(e.waiting, id)
	e.release(q, func(p *packet.Packet) Verdict { return e.nobodyKnows(now, q.verdict, p, q.whole) })
}

// resolve releases the packets of a flow whose endpoint is known now.
func (e *Engine) resolve(now time.Time, q *question, endpoint uint32) {
	delete(e.waiting, q.verdict.id)
	e.keep(now, q.verdict, endpoint)
	e.prove(q.verdict.id)
	e.release(q, func(p *packet.Packet) Verdict { return e.forward(now, q.verdict, p, endpoint, ByPeer) })
}

// release decides on the packets that had waited.
func (e *Engine) release(q *question, decide func(*packet.Packet) Verdict) {
	for _, p := range q.packets {
		e.out = append(e.out, Out{Packet: p, Verdict: decide(p)})
	}
}

// nobodyKnows is the one treatment of a packet of a flow that no entry which
// could be asked has seen. It never guesses another backend server.
func (e *Engine) nobodyKnows(now time.Time, v Verdict, p *packet.Packet, whole bool) Verdict {
	t, open := v.service.Transition(v.bucket)
	if !open {
		t = settledTransition(v.service.Current(v.bucket))
	}
	switch {
	case p.Flags().Opens():
		_, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
		return e.newFlow(now, v, p, t, second)
	case whole && !e.view.Island && e.onlyBereft():
		// Everyone who will ever come back was asked.
		v.action, v.reason = Reset, NobodyKnows
		return v
	case e.view.Island || e.view.Table.Suspect():
		v.action, v.reason = Drop, WithheldCut // an entry that was not asked may hold the flow
		return v
	case !whole:
		v.action, v.reason = Drop, AskTimeout
		return v
	case isUDP(p):
		_, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
		return e.newFlow(now, v, p, t, second)
	case !open:
		return e.forward(now, v, p, t.Default, ByDefault)
	default:
		v.action, v.reason = Reset, NobodyKnows
		return v
	}
}

// onlyBereft reports whether the one doubt is about what was lost for good.
func (e *Engine) onlyBereft() bool {
	t := e.view.Table
	return len(t.Bereft()) > 0 && len(t.Cut())+len(t.Returned()) == 0
}

// expireQuestions gives up questions that were not answered in time.
func (e *Engine) expireQuestions(now time.Time) {
	for len(e.asked) > 0 && !now.Before(e.asked[0].deadline) {
		q := e.asked[0]
		e.asked = e.asked[1:]
		if e.waiting[q.verdict.id] != q {
			continue // answered
		}
		delete(e.waiting, q.verdict.id)
		e.release(q, func(*packet.Packet) Verdict {
			v := q.verdict
			v.action, v.reason = Drop, AskTimeout
			return v
		})
	}
}
