package steer

import (
	"container/list"
	"time"
)

const (
	// answerWithin is how long an opened flow may stay without a further
	// packet of its caller before that counts against the endpoint: several
	// round trips, and less than the 200 ms after which callers repeat.
	answerWithin = 80 * time.Millisecond
	// defaultIdle is how long a flow is remembered where no document says.
	defaultIdle = 15 * time.Second
)

// flow is what an entry remembers of a flow for balance and for copies of
// its opening packet; steering needs no record.
type flow struct {
	key        flowKey
	backend    *backend
	first      uint32 // seq of the opening packet
	opened     time.Time
	seen       time.Time
	open       bool          // the caller went on
	moved      bool          // copies went to two endpoints
	busy       bool          // a request waits for its answer
	asked      uint32        // seq after the last request
	askedAt    time.Time     // when its last packet came first
	acked      uint32        // ack of the last packet
	answerFrom uint32        // ack when the last request went in
	resting    *list.Element // of Steerer.resting
	copied     bool          // this entry saw no copy before a later one
	opening    *list.Element // of Steerer.opening, nil once the flow is answered or counted
}

// remember begins the record of a flow that was placed.
func (s *Steerer) remember(now time.Time, p Packet, b *backend) {
	f := s.record(now, p, b)
	f.asked, f.copied = p.Seq+1, p.Copy > 0
	f.opening = s.opening.PushBack(f)
}

// adopt begins the record of an open flow that another entry carried so far, or
// this one before its restart.
func (s *Steerer) adopt(now time.Time, p Packet, b *backend) *flow {
	f := s.record(now, p, b)
	f.open, f.asked, f.acked = true, p.Seq, p.Ack
	return f
}

// record begins a record; the one that has rested longest makes room.
func (s *Steerer) record(now time.Time, p Packet, b *backend) *flow {
	if len(s.flows) >= s.config.MaxFlows {
		s.end(s.resting.Front().Value.(*flow))
	}
	f := &flow{key: flowKey{p.Src, p.Dst}, backend: b, first: p.Seq, opened: now, seen: now}
	f.resting = s.resting.PushBack(f)
	s.flows[f.key] = f
	b.flows++
	return f
}

// move notes that a copy went to another endpoint.
func (s *Steerer) move(now time.Time, f *flow, b *backend) {
	f.bind(b)
	f.moved, f.opened = true, now
	s.stopWaiting(f)
	f.opening = s.opening.PushBack(f)
}

// note takes what a later packet shows: that the endpoint answered, that a
// request went in, that an answer came out, or that the flow ended.
func (s *Steerer) note(now time.Time, f *flow, b *backend, p Packet) {
	f.seen = now
	s.resting.MoveToBack(f.resting)
	if !f.open && b != nil {
		s.settle(now, f, b)
	}
	if p.Flags.Has(Fin) {
		s.noteSize(now, f, p.Ack)
	}
	if p.Flags.Has(Fin) || p.Flags.Has(Rst) {
		s.end(f)
		return
	}
	if int32(p.Ack-f.acked) > 0 {
		s.alive(now, f.backend)
		s.noteAnswer(now, f)
		f.setBusy(false)
	}
	f.acked = p.Ack
	if p.Len == 0 {
		return
	}
	if end := p.Seq + uint32(p.Len); int32(end-f.asked) > 0 {
		s.noteSize(now, f, p.Ack)
		f.asked, f.askedAt, f.answerFrom = end, now, p.Ack
		f.setBusy(true)
		s.awaitAnswer(f)
	} else if f.busy && now.Sub(f.askedAt) >= answerWithin { // sooner, packets have only overtaken each other
		s.doubt(now, f.backend, Unacked)
	}
}

// bind counts the flow, and the request that it waits for, for another endpoint.
func (f *flow) bind(b *backend) {
	busy := f.busy
	f.setBusy(false)
	f.backend.flows--
	f.backend = b
	b.flows++
	f.setBusy(busy)
}

// suspected tells whoever listens that an endpoint is avoided from now on, or
// no longer.
func (s *Steerer) suspected(b *backend, suspect bool) {
	if s.config.Suspected != nil {
		s.config.Suspected(b.ID, suspect)
	}
}

// settle binds the flow to the endpoint whose answer the caller took.
func (s *Steerer) settle(now time.Time, f *flow, b *backend) {
	s.alive(now, b)
	f.bind(b)
	f.open = true
	if f.opening != nil && !f.moved {
		s.noteTrip(b, now.Sub(f.opened))
	}
	if !f.copied && !f.moved {
		s.pass(b, f.opened)
	}
	s.stopWaiting(f)
	if b.answered() {
		s.suspected(b, false)
	}
}

// stopWaiting takes a flow off the list of those that wait for their first
// answer.
func (s *Steerer) stopWaiting(f *flow) {
	if f.opening != nil {
		s.opening.Remove(f.opening)
		f.opening = nil
	}
}

// setBusy notes whether a request of the flow waits for its answer.
func (f *flow) setBusy(busy bool) {
	switch {
	case busy && !f.busy:
		f.backend.busy++
	case !busy && f.busy:
		f.backend.busy--
	}
	f.busy = busy
}

// end forgets a flow; nil is none.
func (s *Steerer) end(f *flow) {
	if f == nil {
		return
	}
	f.setBusy(false)
	s.stopWaiting(f)
	s.resting.Remove(f.resting)
	f.backend.flows--
	delete(s.flows, f.key)
}

// sweep counts unanswered flows against their endpoints, forgets flows that
// rested too long, and now and then what ended or was dropped long ago.
func (s *Steerer) sweep(now time.Time) {
	s.countUnanswered(now)
	s.forgetResting(now)
	s.askLost(now)
	s.reportHung(now)
	if !now.Before(s.forgetAt) {
		s.forgetAt = now.Add(forgetEvery)
		s.forgetDropped(now)
		s.forgetEnded(now)
	}
}

// countUnanswered counts flows that got no answer in time against their
// endpoints.
func (s *Steerer) countUnanswered(now time.Time) {
	for e := s.opening.Front(); e != nil; e = s.opening.Front() {
		f := e.Value.(*flow)
		if now.Sub(f.opened) < answerWithin {
			break
		}
		s.stopWaiting(f)
		s.doubt(now, f.backend, Unopened)
		s.noteUnanswered(now, f.backend)
		if f.backend.leftUnanswered(now) {
			s.suspected(f.backend, true)
		}
	}
}

// forgetResting forgets flows that rested for longer than the document allows.
func (s *Steerer) forgetResting(now time.Time) {
	idle := defaultIdle
	if s.document != nil && s.document.Idle() > 0 {
		idle = s.document.Idle()
	}
	var next *list.Element
	for e := s.resting.Front(); e != nil && now.Sub(e.Value.(*flow).seen) > idle; e = next {
		next = e.Next()
		s.end(e.Value.(*flow))
	}
}
