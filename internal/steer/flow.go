package steer

import (
	"container/list"
	"time"
)

// remember begins the record of a flow that was placed.
func (s *Steerer) remember(now time.Time, p Packet, b *backend) {
	if len(s.flows) >= s.config.MaxFlows {
		s.end(s.resting.Front().Value.(*flow))
	}
	f := &flow{key: flowKey{p.Src, p.Dst}, backend: b, first: p.Seq, opened: now, seen: now, asked: p.Seq + 1}
	f.resting = s.resting.PushBack(f)
	f.opening = s.opening.PushBack(f)
	s.flows[f.key] = f
	b.flows++
}

// move notes that a copy went to another endpoint.
func (s *Steerer) move(now time.Time, f *flow, b *backend) {
	f.backend.flows--
	f.backend, f.moved, f.opened = b, true, now
	b.flows++
	s.answered(f)
	f.opening = s.opening.PushBack(f)
}

// note takes what a later packet shows: that the endpoint answered, that a
// request went in, that an answer came out, or that the flow ended.
func (s *Steerer) note(now time.Time, f *flow, b *backend, p Packet) {
	f.seen = now
	s.resting.MoveToBack(f.resting)
	if !f.open && b != nil {
		s.settle(f, b)
	}
	if p.Flags.Has(Fin) || p.Flags.Has(Rst) {
		s.end(f)
		return
	}
	if f.busy && int32(p.Ack-f.acked) > 0 {
		s.setBusy(f, false)
	}
	f.acked = p.Ack
	if end := p.Seq + uint32(p.Len); p.Len > 0 && int32(end-f.asked) > 0 {
		f.asked = end
		s.setBusy(f, true)
	}
}

// settle binds the flow to the endpoint whose answer the caller took.
func (s *Steerer) settle(f *flow, b *backend) {
	if f.backend != b {
		f.backend.flows--
		f.backend = b
		b.flows++
	}
	f.open = true
	s.answered(f)
	if b.answered() && s.config.Suspected != nil {
		s.config.Suspected(b.ID, false)
	}
}

func (s *Steerer) answered(f *flow) {
	if f.opening != nil {
		s.opening.Remove(f.opening)
		f.opening = nil
	}
}

func (s *Steerer) setBusy(f *flow, busy bool) {
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
	s.setBusy(f, false)
	s.answered(f)
	s.resting.Remove(f.resting)
	f.backend.flows--
	delete(s.flows, f.key)
}

// sweep counts unanswered flows against their endpoints and forgets flows
// that rested too long.
func (s *Steerer) sweep(now time.Time) {
	for e := s.opening.Front(); e != nil; e = s.opening.Front() {
		f := e.Value.(*flow)
		if now.Sub(f.opened) < answerWithin {
			break
		}
		s.answered(f)
		if f.backend.struck(now) && s.config.Suspected != nil {
			s.config.Suspected(f.backend.ID, true)
		}
	}
	idle := defaultIdle
	if s.document != nil && s.document.Idle() > 0 {
		idle = s.document.Idle()
	}
	var next *list.Element
	for e := s.resting.Front(); e != nil && now.Sub(e.Value.(*flow).seen) > idle; e = next {
		next = e.Next()
		s.end(e.Value.(*flow))
	}
	if !now.Before(s.dropAt) {
		s.dropAt = now.Add(dropGoneEvery)
		s.dropGone(now)
	}
}
