package work

import (
	"cmp"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// holdKeys bounds the keys of one message, to stay under a packet's size.
const (
	holdKeys     = 32
	keyBytes     = 26
	holdOverhead = 60
)

type (
	// sentHold is a message to the second holder that is not answered.
	sentHold struct {
		hold     *wire.Hold
		requests []*request
		due      time.Time
	}

	// keptKeys is what a second holder keeps for the owner of a service.
	keptKeys struct {
		owner    string
		index    uint64
		complete bool
		keys     map[route.FlowID]time.Time
	}
)

// chooseSecond follows the second holder: the next in rank, reachable or not.
// While it is silent no key is held and nothing is dispatched; another one in
// its place would leave it to believe, should it take over, that it has every
// key. A new one is told every key that is alive before it counts as complete.
func (e *Engine) chooseSecond(o *ownership) {
	if o.phase != serving {
		return
	}
	_, next := e.view.rank(o.service)
	if next == o.second {
		return
	}
	o.second, o.complete = next, false
	o.holds = nil
	o.toHold = nil
	for _, r := range o.requests {
		if r.repeatable() {
			continue
		}
		if next == "" {
			r.held = true // nobody else is there to hold it
			continue
		}
		o.unheld[r.id] = r
		o.toHold = append(o.toHold, r)
	}
	slices.SortFunc(o.toHold, func(a, b *request) int { return cmp.Or(a.received.Compare(b.received), compareIDs(a.id, b.id)) })
}

// hold asks the second holder to keep the key of a request.
func (e *Engine) hold(o *ownership, r *request) {
	if o.second == "" {
		r.held = true
		return
	}
	o.unheld[r.id] = r
	o.toHold = append(o.toHold, r)
}

// flushHolds sends the keys that wait, as many as fit in one message.
func (e *Engine) flushHolds() {
	for _, o := range e.inOrder() {
		for len(o.toHold) > 0 && o.second != "" {
			n := min(len(o.toHold), holdKeys)
			e.sendHold(o, o.toHold[:n], false)
			o.toHold = o.toHold[n:]
		}
		if !o.complete && o.phase == serving && o.second != "" && len(o.unheld) == 0 && len(o.holds) == 0 {
			o.complete = true
			e.sendHold(o, nil, true)
		}
	}
}

func (e *Engine) sendHold(o *ownership, requests []*request, complete bool) {
	e.sequence++
	h := &wire.Hold{Service: o.service, Sequence: e.sequence, Index: o.index, Complete: complete}
	for _, r := range requests {
		h.Keys = append(h.Keys, &wire.HeldKey{High: r.id.High, Low: r.id.Low, LifeNanos: int64(r.expires.Sub(r.received))})
	}
	o.holds = append(o.holds, &sentHold{hold: h, requests: slices.Clone(requests)})
	e.transmitHold(o, h)
}

func (e *Engine) transmitHold(o *ownership, h *wire.Hold) {
	e.stats.Holds++
	e.stats.HoldBytes += uint64(holdOverhead + len(h.Keys)*keyBytes)
	e.peer(o.second, &wire.Peer{Body: &wire.Peer_Hold{Hold: h}})
}

func (e *Engine) resendHolds(now time.Time, o *ownership) {
	for _, h := range o.holds {
		if h.due.IsZero() {
			h.due = now.Add(e.config.HoldRetry)
		}
		if !now.Before(h.due) {
			h.due = now.Add(e.config.HoldRetry)
			e.transmitHold(o, h.hold)
		}
	}
}

// takeHold keeps keys for the owner of a service. Keys of an earlier owner
// stay for their life; whether they are all is said by the present one.
func (e *Engine) takeHold(now time.Time, from string, h *wire.Hold) {
	k := e.kept[h.Service]
	if k == nil {
		k = &keptKeys{keys: map[route.FlowID]time.Time{}}
		e.kept[h.Service] = k
	}
	if h.Index < k.index {
		return // an owner that was, its message late
	}
	if h.Index > k.index || k.owner != from {
		k.owner, k.index, k.complete = from, h.Index, false
	}
	refused := len(k.keys)+len(h.Keys) > e.config.HeldKeys
	if !refused {
		for _, key := range h.Keys {
			k.keys[route.FlowID{High: key.High, Low: key.Low}] = now.Add(time.Duration(key.LifeNanos))
		}
		k.complete = k.complete || h.Complete
	}
	e.peer(from, &wire.Peer{Body: &wire.Peer_Held{Held: &wire.Held{Service: h.Service, Sequence: h.Sequence, Refused: refused}}})
}

func (k *keptKeys) expire(now time.Time) {
	for id, until := range k.keys {
		if now.After(until) {
			delete(k.keys, id)
		}
	}
}

// takeHeld lets requests go on whose keys the second holder has confirmed.
func (e *Engine) takeHeld(now time.Time, from string, h *wire.Held) {
	o := e.owned[h.Service]
	if o == nil || o.second != from {
		return
	}
	i := slices.IndexFunc(o.holds, func(s *sentHold) bool { return s.hold.Sequence == h.Sequence })
	if i < 0 {
		return
	}
	sent := o.holds[i]
	o.holds = slices.Delete(o.holds, i, i+1)
	for _, r := range sent.requests {
		delete(o.unheld, r.id)
		switch {
		case r.state != Received:
		case h.Refused:
			e.refuse(now, o, r, TableFull)
		default:
			r.held = true
			e.admit(now, o, r)
		}
	}
	e.dispatch(now, o)
}
