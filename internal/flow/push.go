package flow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	// pushRecords is how many records one push carries, under a packet's size.
	pushRecords = 40
	// recordBytes and pushBytes are the size of a record and of the rest of a
	// push in a datagram with its headers.
	recordBytes = 26
	pushBytes   = 80
	// maxTries bounds how often a push is sent to a peer that does not answer.
	maxTries = 8
	// maxSeen bounds the flows that wait to be told to the holders.
	maxSeen = 1 << 16
)

type (
	// handover hands all records of a bucket to a new holder.
	handover struct {
		key     bucketKey
		peer    string
		ids     []route.FlowID
		open    int  // pushes that are not answered
		closing bool // the last push, which says complete, has been sent
	}

	// seenFlow is a flow that the holders of its bucket must be told of.
	seenFlow struct {
		id       route.FlowID
		endpoint uint32
		halfOpen bool
	}

	// sentPush is a push that is not answered.
	sentPush struct {
		peer     string
		push     *wire.Push
		tries    int
		due      time.Time
		handover *handover
	}

	// pusher sends records under a byte budget. When the budget is short,
	// handovers go first and what entries have seen waits; a flow that the
	// holders were not told of is found by asking.
	pusher struct {
		limit     *rate.Limiter
		retry     time.Duration
		sequence  uint64
		handovers []*handover
		seen      map[bucketKey][]seenFlow
		seenOrder []bucketKey
		seenCount int
		sent      []*sentPush // in the order of sequences
	}
)

func newPusher(c Config) pusher {
	return pusher{
		limit: rate.NewLimiter(rate.Limit(c.PushBytes), max(c.PushBytes, pushBytes+pushRecords*recordBytes)),
		retry: c.PushRetry,
		seen:  map[bucketKey][]seenFlow{},
	}
}

func (p *pusher) backlog() int {
	n := p.seenCount
	for _, h := range p.handovers {
		n += len(h.ids)
	}
	return n + len(p.sent)
}

// pending returns how many flows of a bucket the holders have not confirmed.
func (p *pusher) pending(key bucketKey) int {
	n := len(p.seen[key])
	for _, s := range p.sent {
		if s.handover == nil && s.push.Service == key.service && s.push.Bucket == key.bucket {
			n += len(s.push.Records)
		}
	}
	return n
}

// handOver queues all records of a bucket for a new holder.
func (e *Engine) handOver(key bucketKey, peer string) {
	h := &handover{key: key, peer: peer}
	if held := e.byHeld[key]; held != nil {
		h.ids = slices.SortedFunc(maps.Keys(held.flows), compareIDs)
	}
	e.push.handovers = append(e.push.handovers, h)
}

// tell queues a flow for the holders of its bucket; false when the queue is full.
func (e *Engine) tell(key bucketKey, id route.FlowID, endpoint uint32, halfOpen bool) bool {
	if e.push.seenCount >= maxSeen {
		return false
	}
	if _, queued := e.push.seen[key]; !queued {
		e.push.seenOrder = append(e.push.seenOrder, key)
	}
	e.push.seen[key] = append(e.push.seen[key], seenFlow{id, endpoint, halfOpen})
	e.push.seenCount++
	return true
}

// runPushes sends what the budget allows.
func (e *Engine) runPushes(now time.Time) {
	e.resend(now)
	e.runHandovers(now)
	for len(e.push.seenOrder) > 0 {
		key := e.push.seenOrder[0]
		flows := e.push.seen[key]
		n := min(len(flows), pushRecords)
		if !e.allowPush(now, n) {
			return
		}
		e.pushSeen(now, key, flows[:n])
		e.push.seenCount -= n
		if n < len(flows) {
			e.push.seen[key] = flows[n:]
			continue
		}
		delete(e.push.seen, key)
		e.push.seenOrder = e.push.seenOrder[1:]
	}
}

func (e *Engine) allowPush(now time.Time, records int) bool {
	return e.push.limit.AllowN(now, pushBytes+records*recordBytes)
}

func (e *Engine) runHandovers(now time.Time) {
	var left []*handover
	for _, h := range e.push.handovers {
		for len(h.ids) > 0 && e.allowPush(now, min(len(h.ids), pushRecords)) {
			n := min(len(h.ids), pushRecords)
			e.sendPush(now, h.peer, h.key, e.recordsOf(h.ids[:n]), false, h)
			h.ids = h.ids[n:]
		}
		if len(h.ids) == 0 && h.open == 0 && !h.closing && e.allowPush(now, 0) {
			h.closing = true
			held := e.byHeld[h.key]
			e.sendPush(now, h.peer, h.key, nil, held != nil && held.complete, h)
		}
		if !h.closing || h.open > 0 {
			left = append(left, h)
		}
	}
	e.push.handovers = left
}

func (e *Engine) recordsOf(ids []route.FlowID) []seenFlow {
	var flows []seenFlow
	for _, id := range ids {
		if r, ok := e.records[id]; ok {
			flows = append(flows, seenFlow{id, r.endpoint, !r.open})
		}
	}
	return flows
}

// pushSeen tells flows to both holders; to itself without a message.
func (e *Engine) pushSeen(now time.Time, key bucketKey, flows []seenFlow) {
	owner, second := route.Rank(e.view.Table.Members(), key.service, key.bucket)
	for _, peer := range []string{owner, second} {
		switch peer {
		case "":
		case e.config.Self:
			for _, f := range flows {
				e.takeRecord(now, key, f)
			}
		default:
			e.sendPush(now, peer, key, flows, false, nil)
		}
	}
}

func (e *Engine) sendPush(now time.Time, peer string, key bucketKey, flows []seenFlow, complete bool, h *handover) {
	e.push.sequence++
	push := &wire.Push{Service: key.service, Bucket: key.bucket, Complete: complete, Sequence: e.push.sequence}
	for _, f := range flows {
		push.Records = append(push.Records, &wire.FlowRecord{High: f.id.High, Low: f.id.Low, Endpoint: f.endpoint, HalfOpen: f.halfOpen})
	}
	if h != nil {
		h.open++
	}
	s := &sentPush{peer: peer, push: push, handover: h}
	e.push.sent = append(e.push.sent, s)
	e.transmit(now, s)
}

func (e *Engine) transmit(now time.Time, s *sentPush) {
	s.tries++
	s.due = now.Add(e.push.retry)
	e.stats.Pushes++
	e.stats.PushBytes += uint64(pushBytes + len(s.push.Records)*recordBytes)
	e.out = append(e.out, Out{Peer: s.peer, Message: &wire.Peer{From: e.config.Self, Body: &wire.Peer_Push{Push: s.push}}})
}

// resend repeats pushes without an answer, and gives up those to a peer that
// lives no more or does not answer at all.
func (e *Engine) resend(now time.Time) {
	e.push.sent = slices.DeleteFunc(e.push.sent, func(s *sentPush) bool {
		if now.Before(s.due) {
			return false
		}
		if _, alive := e.view.Table.Member(s.peer); !alive || s.tries >= maxTries {
			e.giveUp(s)
			return true
		}
		if e.allowPush(now, len(s.push.Records)) {
			e.transmit(now, s)
		}
		return false
	})
}

// giveUp makes flows that could not be told be told again by the next pass.
func (e *Engine) giveUp(s *sentPush) {
	if s.handover != nil {
		s.handover.open--
		return
	}
	for _, r := range s.push.Records {
		if cached := e.flows.get(route.FlowID{High: r.High, Low: r.Low}); cached != nil {
			cached.pushed = false
		}
	}
}

func (e *Engine) pushed(from string, sequence uint64) {
	i := slices.IndexFunc(e.push.sent, func(s *sentPush) bool { return s.push.Sequence == sequence && s.peer == from })
	if i < 0 {
		return
	}
	if h := e.push.sent[i].handover; h != nil {
		h.open--
	}
	e.push.sent = slices.Delete(e.push.sent, i, i+1)
}

// takePush stores what a peer knows of a bucket.
func (e *Engine) takePush(now time.Time, from string, push *wire.Push) {
	key := bucketKey{push.Service, push.Bucket}
	for _, r := range push.Records {
		e.takeRecord(now, key, seenFlow{route.FlowID{High: r.High, Low: r.Low}, r.Endpoint, r.HalfOpen})
	}
	if push.Complete {
		e.holdingOf(key).complete = true
	}
	e.out = append(e.out, Out{Peer: from, Message: &wire.Peer{From: e.config.Self, Body: &wire.Peer_Pushed{
		Pushed: &wire.Pushed{Sequence: push.Sequence},
	}}})
}

// takeRecord stores what a peer has seen, unless this entry knows better. A
// record that finds no room makes the holding incomplete: the owner then asks.
func (e *Engine) takeRecord(now time.Time, key bucketKey, f seenFlow) {
	have := e.view.Table.Endpoint(f.endpoint)
	if have == nil || have.Service() != key.service {
		return
	}
	if r, known := e.records[f.id]; known && (r.open || f.halfOpen) {
		return
	}
	if !e.keepRecord(now, f.id, key, f.endpoint) {
		e.holdingOf(key).complete = false
		return
	}
	if !f.halfOpen {
		e.prove(f.id)
	}
}

func compareIDs(a, b route.FlowID) int {
	return cmp.Or(cmp.Compare(a.High, b.High), cmp.Compare(a.Low, b.Low))
}
