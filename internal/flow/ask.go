package flow

import (
	"slices"
	"time"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// maxAskedPeers bounds how many peers are asked about one flow. Packets of a flow
	// are spread over all entries, so most entries know any flow with many packets.
	maxAskedPeers = 16
	// maxWaitingPackets bounds the waiting packets of one flow; clients retransmit.
	maxWaitingPackets = 2
)

// question is an unanswered question to the peers about one flow.
type question struct {
	verdict    Verdict
	packets    []*packet.Packet
	unanswered []string // peers that haven't answered
	askedAll   bool     // every member has been asked
	halfOpen   []uint32 // endpoints to which peers have forwarded only the SYN
	deadline   time.Time
}

// ask holds the packet back and asks the peers for the endpoint of its flow. One
// question per flow is enough, so later packets only wait for its outcome.
func (e *Engine) ask(now time.Time, v Verdict, p *packet.Packet) Verdict {
	if q := e.questions[v.id]; q != nil {
		if len(q.packets) < maxWaitingPackets {
			q.packets = append(q.packets, p.Clone())
		}
		v.action, v.reason = Waited, AskedPeers
		return v
	}
	peers := e.peersToAsk(v)
	if len(peers) == 0 {
		return e.decideUnseen(now, v, p, e.isOnlyMember())
	}
	if len(e.questions) >= e.config.MaxWaiting || !e.askLimiter.AllowN(now, 1) {
		if p.Flags().Opens() {
			return e.decideUnseen(now, v, p, false)
		}
		v.action, v.reason = Drop, AskLimit
		return v
	}
	e.stats.Asks++
	q := &question{
		verdict: v, packets: []*packet.Packet{p.Clone()}, unanswered: peers,
		askedAll: len(peers)+1 >= len(e.view.Table.Members()), deadline: now.Add(e.config.AskTimeout),
	}
	e.questions[v.id] = q
	e.questionQueue = append(e.questionQueue, q)
	message := &wire.Peer{From: e.config.Self, Body: &wire.Peer_Ask{Ask: &wire.Ask{
		High: v.id.High, Low: v.id.Low, Service: v.service.ID(),
	}}}
	for _, peer := range peers {
		e.out = append(e.out, Output{Peer: peer, Message: message})
	}
	v.action, v.reason = Waited, AskedPeers
	return v
}

func (e *Engine) isOnlyMember() bool { return len(e.view.Table.Members()) <= 1 }

// peersToAsk returns the reachable peers, or a sample of them that depends on the
// flow.
func (e *Engine) peersToAsk(v Verdict) []string {
	peers := e.view.Reachable
	if len(peers) <= maxAskedPeers {
		return slices.Clone(peers)
	}
	start := int(v.id.Low % uint64(len(peers)))
	sample := make([]string, maxAskedPeers)
	for i := range sample {
		sample[i] = peers[(start+i)%len(peers)]
	}
	return sample
}

// HandlePeer handles a message from another entry.
func (e *Engine) HandlePeer(now time.Time, m *wire.Peer) {
	switch body := m.Body.(type) {
	case *wire.Peer_Ask:
		e.handleAsk(m.From, body.Ask)
	case *wire.Peer_Told:
		e.handleTold(now, m.From, body.Told)
	case *wire.Peer_Forget:
		e.forgetLeaving(route.FlowID{High: body.Forget.High, Low: body.Forget.Low})
	case *wire.Peer_Accepted:
		e.handleAccepted(now, body.Accepted)
	case *wire.Peer_Push:
		e.handlePush(now, m.From, body.Push)
	case *wire.Peer_Pushed:
		e.handlePushed(m.From, body.Pushed.Sequence)
	}
}

func (e *Engine) handleAsk(from string, ask *wire.Ask) {
	id := route.FlowID{High: ask.High, Low: ask.Low}
	told := &wire.Told{High: ask.High, Low: ask.Low, Service: ask.Service}
	if s := e.flows.get(id); s != nil {
		told.Endpoint, told.Opening = s.endpoint, s.state == stateOpening
	}
	if r, ok := e.records[id]; ok && (told.Endpoint == 0 || told.Opening) {
		told.Endpoint, told.Opening = r.endpoint, !r.confirmed
	}
	e.out = append(e.out, Output{Peer: from, Message: &wire.Peer{From: e.config.Self, Body: &wire.Peer_Told{Told: told}}})
}

func (e *Engine) handleTold(now time.Time, from string, told *wire.Told) {
	id := route.FlowID{High: told.High, Low: told.Low}
	q := e.questions[id]
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
	q.unanswered = slices.DeleteFunc(q.unanswered, func(name string) bool { return name == from })
	if len(q.unanswered) > 0 {
		return
	}
	if len(q.halfOpen) == 1 && len(e.view.Table.Partitioned()) == 0 {
		// While a domain is partitioned, a SYN isn't enough: an entry of the domain may
		// have forwarded a repeated SYN to another endpoint.
		e.resolve(now, q, q.halfOpen[0])
		return
	}
	delete(e.questions, id)
	e.decideWaiting(q, func(p *packet.Packet) Verdict { return e.decideUnseen(now, q.verdict, p, q.askedAll) })
}

// resolve forwards the waiting packets of a flow to the endpoint that a peer reported.
func (e *Engine) resolve(now time.Time, q *question, endpoint uint32) {
	delete(e.questions, q.verdict.id)
	e.storeRecord(now, q.verdict, endpoint)
	e.confirmRecord(q.verdict.id)
	e.decideWaiting(q, func(p *packet.Packet) Verdict { return e.forward(now, q.verdict, p, endpoint, ByPeer) })
}

// decideWaiting decides on the waiting packets of a question and queues them for sending.
func (e *Engine) decideWaiting(q *question, decide func(*packet.Packet) Verdict) {
	for _, p := range q.packets {
		e.out = append(e.out, Output{Packet: p, Verdict: decide(p)})
	}
}

// decideUnseen decides on a packet of a flow that none of the asked peers knows. It
// never forwards a packet of an existing flow to an arbitrary endpoint.
func (e *Engine) decideUnseen(now time.Time, v Verdict, p *packet.Packet, askedAll bool) Verdict {
	t, inTransition := v.service.Transition(v.bucket)
	if !inTransition {
		t = settledTransition(v.service.Current(v.bucket))
	}
	switch {
	case p.Flags().Opens():
		_, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
		return e.placeNewFlow(now, v, p, t, second)
	case askedAll && !e.view.Isolated && e.onlyLossUnresolved():
		// Every entry that could still have a record was asked.
		v.action, v.reason = Reset, NobodyKnows
		return v
	case e.view.Isolated || e.view.Table.Uncertain():
		v.action, v.reason = Drop, WithheldCut // an entry that wasn't asked may know the flow
		return v
	case !askedAll:
		v.action, v.reason = Drop, AskTimeout
		return v
	case isUDP(p):
		_, second := route.Rank(e.view.Table.Members(), v.service.ID(), v.bucket)
		return e.placeNewFlow(now, v, p, t, second)
	case !inTransition:
		return e.forward(now, v, p, t.Default, ByDefault)
	default:
		v.action, v.reason = Reset, NobodyKnows
		return v
	}
}

// onlyLossUnresolved reports whether the table is uncertain only because records were
// lost, so that every entry can be asked.
func (e *Engine) onlyLossUnresolved() bool {
	t := e.view.Table
	return len(t.ReturnedWithLoss()) > 0 && len(t.Partitioned())+len(t.Returned()) == 0
}

// expireQuestions drops the packets of questions that weren't answered in time.
func (e *Engine) expireQuestions(now time.Time) {
	for len(e.questionQueue) > 0 && !now.Before(e.questionQueue[0].deadline) {
		q := e.questionQueue[0]
		e.questionQueue = e.questionQueue[1:]
		if e.questions[q.verdict.id] != q {
			continue // already answered
		}
		delete(e.questions, q.verdict.id)
		e.decideWaiting(q, func(*packet.Packet) Verdict {
			v := q.verdict
			v.action, v.reason = Drop, AskTimeout
			return v
		})
	}
}
