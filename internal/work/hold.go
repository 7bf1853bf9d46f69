package work

import (
	"cmp"
	"slices"
	"time"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

const (
	maxHoldKeys       = 32 // per message, to fit in one packet
	bytesPerKey       = 26 // estimate for Stats.HoldBytes
	holdOverheadBytes = 60 // estimate for Stats.HoldBytes, of a message without keys
)

type (
	// unackedHold is a message to the second holder that isn't acknowledged yet.
	unackedHold struct {
		hold     *wire.Hold
		requests []*request
		resendAt time.Time
	}

	// keptKeys holds the request keys that a second holder stores for the owner of a
	// service.
	keptKeys struct {
		owner    string
		index    uint64                     // of the table at which the owner took over
		complete bool                       // the owner has sent all its keys
		keys     map[route.FlowID]time.Time // request IDs and when they expire
	}
)

// updateSecond makes the entry next in rank the second holder, reachable or not,
// and queues all live keys for a new one. An unreachable second holder is not
// replaced, although no requests can be dispatched meanwhile: if it took over later,
// it would wrongly assume that it has all keys.
func (e *Engine) updateSecond(o *ownership) {
	if o.phase != serving {
		return
	}
	_, next := e.view.rank(o.service)
	if next == o.secondHolder {
		return
	}
	o.secondHolder, o.secondComplete = next, false
	o.unackedHolds = nil
	o.holdQueue = nil
	for _, r := range o.requests {
		if r.repeatable() {
			continue
		}
		if next == "" {
			r.keyHeld = true // there is no other entry
			continue
		}
		o.unconfirmed[r.id] = r
		o.holdQueue = append(o.holdQueue, r)
	}
	slices.SortFunc(o.holdQueue, func(a, b *request) int { return cmp.Or(a.received.Compare(b.received), compareIDs(a.id, b.id)) })
}

// holdKey queues the key of a request to be sent to the second holder.
func (e *Engine) holdKey(o *ownership, r *request) {
	if o.secondHolder == "" {
		r.keyHeld = true
		return
	}
	o.unconfirmed[r.id] = r
	o.holdQueue = append(o.holdQueue, r)
}

// flushHolds sends the queued keys to the second holder. Once it has acknowledged all of
// them, a last message marks its set as complete.
func (e *Engine) flushHolds() {
	for _, o := range e.sortedOwnerships() {
		for len(o.holdQueue) > 0 && o.secondHolder != "" {
			n := min(len(o.holdQueue), maxHoldKeys)
			e.sendHold(o, o.holdQueue[:n], false)
			o.holdQueue = o.holdQueue[n:]
		}
		if !o.secondComplete && o.phase == serving && o.secondHolder != "" && len(o.unconfirmed) == 0 && len(o.unackedHolds) == 0 {
			o.secondComplete = true
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
	o.unackedHolds = append(o.unackedHolds, &unackedHold{hold: h, requests: slices.Clone(requests)})
	e.transmitHold(o, h)
}

func (e *Engine) transmitHold(o *ownership, h *wire.Hold) {
	e.stats.Holds++
	e.stats.HoldBytes += uint64(holdOverheadBytes + len(h.Keys)*bytesPerKey)
	e.sendToPeer(o.secondHolder, &wire.Peer{Body: &wire.Peer_Hold{Hold: h}})
}

func (e *Engine) resendHolds(now time.Time, o *ownership) {
	for _, h := range o.unackedHolds {
		if h.resendAt.IsZero() {
			h.resendAt = now.Add(e.config.HoldRetryInterval)
		}
		if !now.Before(h.resendAt) {
			h.resendAt = now.Add(e.config.HoldRetryInterval)
			e.transmitHold(o, h.hold)
		}
	}
}

// handleHold stores keys for the owner of a service. Keys of an earlier owner are
// kept until they expire, but the set is complete only after the current owner's last
// message.
func (e *Engine) handleHold(now time.Time, from string, h *wire.Hold) {
	k := e.keptKeys[h.Service]
	if k == nil {
		k = &keptKeys{keys: map[route.FlowID]time.Time{}}
		e.keptKeys[h.Service] = k
	}
	if h.Index < k.index {
		return // a late message of a former owner
	}
	if h.Index > k.index || k.owner != from {
		k.owner, k.index, k.complete = from, h.Index, false
	}
	refused := len(k.keys)+len(h.Keys) > e.config.MaxHeldKeys
	if !refused {
		for _, key := range h.Keys {
			k.keys[route.FlowID{High: key.High, Low: key.Low}] = now.Add(time.Duration(key.LifeNanos))
		}
		k.complete = k.complete || h.Complete
	}
	e.sendToPeer(from, &wire.Peer{Body: &wire.Peer_Held{Held: &wire.Held{Service: h.Service, Sequence: h.Sequence, Refused: refused}}})
}

func (k *keptKeys) expire(now time.Time) {
	for id, until := range k.keys {
		if now.After(until) {
			delete(k.keys, id)
		}
	}
}

// handleHeld admits the requests whose keys the second holder has stored, and
// refuses those it had no room for.
func (e *Engine) handleHeld(now time.Time, from string, h *wire.Held) {
	o := e.owned[h.Service]
	if o == nil || o.secondHolder != from {
		return
	}
	i := slices.IndexFunc(o.unackedHolds, func(s *unackedHold) bool { return s.hold.Sequence == h.Sequence })
	if i < 0 {
		return
	}
	sent := o.unackedHolds[i]
	o.unackedHolds = slices.Delete(o.unackedHolds, i, i+1)
	for _, r := range sent.requests {
		delete(o.unconfirmed, r.id)
		switch {
		case r.state != Received:
		case h.Refused:
			e.refuse(now, o, r, TableFull)
		default:
			r.keyHeld = true
			e.admit(now, o, r)
		}
	}
	e.dispatch(now, o)
}
