package utilisation

import "time"

// revive counts an entry again. The pool is learning if no other entry counts.
func (p *Pool) revive(now time.Time, e *Holder) {
	if e.living {
		return
	}
	if p.living == 0 {
		p.learnUntil, p.nextExpiry = now.Add(LearningPeriod), now.Add(Expiry)
	}
	e.living = true
	p.living++
}

// expire voids what entries without recent messages hold.
func (p *Pool) expire(now time.Time) {
	if p.living == 0 || !now.After(p.nextExpiry) {
		return
	}
	p.nextExpiry = now.Add(Expiry)
	for name, e := range p.entries {
		switch {
		case e.living && now.Sub(e.last) > Expiry:
			p.drop(now, e)
			e.living = false
			p.living--
		case e.living && e.last.Add(Expiry).Before(p.nextExpiry):
			p.nextExpiry = e.last.Add(Expiry)
		case now.Sub(e.last) > memory:
			delete(p.entries, name)
		}
	}
}

// forget removes all entries that do not count, and reports whether there were any.
func (p *Pool) forget(now time.Time) bool {
	before := len(p.entries)
	for name, e := range p.entries {
		if !e.living && now.Sub(e.last) > Expiry {
			delete(p.entries, name)
		}
	}
	return len(p.entries) < before
}
