package flow

import (
	"time"

	"golang.org/x/time/rate"
)

// minHandoverTime bounds the rate of pushes shortly before the time limit of a planned stop.
const minHandoverTime = time.Second

// raisePushRate raises the rate of pushes in a planned stop, so that those at hand take half of
// the time that is left; the other half is for what is added and repeated. At the configured
// rate, 2,000 B/s by default, 1,500 records take longer than the 20 s of a planned stop.
func (e *Engine) raisePushRate(now time.Time) {
	if e.view.StopBy.IsZero() {
		return
	}
	left := max(e.view.StopBy.Sub(now)/2, minHandoverTime)
	needed := rate.Limit(float64(e.push.backlogBytes()) / left.Seconds())
	if needed <= e.push.limiter.Limit() {
		return
	}
	const burstsPerSecond = 10
	e.push.limiter.SetLimitAt(now, needed)
	e.push.limiter.SetBurstAt(now, max(e.push.burst, int(needed)/burstsPerSecond))
}

// backlog returns the number of queued flows, of unacknowledged pushes and of last pushes of
// handovers that are not sent yet.
func (p *pusher) backlog() int {
	n := p.reportCount
	for _, h := range p.handovers {
		n += len(h.ids)
		if !h.finalSent {
			n++ // without it the new holder asks its peers about each flow
		}
	}
	return n + len(p.sent)
}

// backlogBytes returns the size of the queued pushes in bytes, as allowPush charges them.
func (p *pusher) backlogBytes() int {
	total := 0
	for _, flows := range p.reports {
		total += pushBytes(len(flows))
	}
	for _, h := range p.handovers {
		total += pushBytes(len(h.ids))
		if !h.finalSent {
			total += pushOverheadBytes
		}
	}
	return total
}

// pushBytes returns the size in bytes of the pushes that carry the given number of records.
func pushBytes(records int) int {
	pushes := (records + maxRecordsPerPush - 1) / maxRecordsPerPush
	return pushes*pushOverheadBytes + records*recordBytes
}
