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
	// maxRecordsPerPush keeps a push within the size of a packet.
	maxRecordsPerPush = 40
	// recordBytes is the size of a record, and pushOverheadBytes that of the rest of a
	// push including the headers of the datagram.
	recordBytes       = 26
	pushOverheadBytes = 80
	// maxPushAttempts bounds how often a push is sent to a peer that doesn't answer.
	maxPushAttempts = 8
	// maxQueuedReports bounds the flows waiting to be reported to holders.
	maxQueuedReports = 1 << 16
)

type (
	// handover sends all records of a bucket to a new holder.
	handover struct {
		key            bucketKey
		peer           string
		ids            []route.FlowID
		unacknowledged int  // pushes without an acknowledgement
		finalSent      bool // the last push, which carries the complete flag, has been sent
		incomplete     bool // records were given up that the holder did not acknowledge
	}

	// flowReport is the endpoint of a flow, to be stored by the holders of its bucket.
	flowReport struct {
		id       route.FlowID
		endpoint uint32
		halfOpen bool
	}

	// sentPush is a push that hasn't been acknowledged.
	sentPush struct {
		peer     string
		push     *wire.Push
		attempts int
		resendAt time.Time
		handover *handover
	}

	// pusher sends records to holders within a byte rate. Handovers have priority over
	// reports, since a holder can still ask the peers about a flow without a report.
	pusher struct {
		limiter       *rate.Limiter
		burst         int // of the limiter, in bytes
		retryInterval time.Duration
		sequence      uint64
		handovers     []*handover
		reports       map[bucketKey][]flowReport
		reportOrder   []bucketKey
		reportCount   int         // flows in reports
		sent          []*sentPush // in the order of sequence numbers
	}
)

func newPusher(c Config) pusher {
	burst := max(c.PushBytesPerSecond, pushOverheadBytes+maxRecordsPerPush*recordBytes)
	return pusher{
		limiter: rate.NewLimiter(rate.Limit(c.PushBytesPerSecond), burst), burst: burst,
		retryInterval: c.PushRetryInterval,
		reports:       map[bucketKey][]flowReport{},
	}
}

// unconfirmed returns how many reported flows of a bucket the holders haven't acknowledged.
func (p *pusher) unconfirmed(key bucketKey) int {
	n := len(p.reports[key])
	for _, s := range p.sent {
		if s.handover == nil && s.push.Service == key.service && s.push.Bucket == key.bucket {
			n += len(s.push.Records)
		}
	}
	return n
}

// queueHandover queues all records of a bucket for a new holder.
func (e *Engine) queueHandover(key bucketKey, peer string) {
	h := &handover{key: key, peer: peer}
	if held := e.holdings[key]; held != nil {
		h.ids = slices.SortedFunc(maps.Keys(held.flows), compareIDs)
	}
	e.push.handovers = append(e.push.handovers, h)
}

// queueReport queues a flow for the holders of its bucket. It returns false if the
// queue is full.
func (e *Engine) queueReport(key bucketKey, id route.FlowID, endpoint uint32, halfOpen bool) bool {
	if e.push.reportCount >= maxQueuedReports {
		return false
	}
	if _, queued := e.push.reports[key]; !queued {
		e.push.reportOrder = append(e.push.reportOrder, key)
	}
	e.push.reports[key] = append(e.push.reports[key], flowReport{id, endpoint, halfOpen})
	e.push.reportCount++
	return true
}

// runPushes sends as many pushes as the byte rate allows.
func (e *Engine) runPushes(now time.Time) {
	e.raisePushRate(now)
	e.resend(now)
	e.runHandovers(now)
	for len(e.push.reportOrder) > 0 {
		key := e.push.reportOrder[0]
		flows := e.push.reports[key]
		n := min(len(flows), maxRecordsPerPush)
		if !e.allowPush(now, n) {
			return
		}
		e.sendReports(now, key, flows[:n])
		e.push.reportCount -= n
		if n < len(flows) {
			e.push.reports[key] = flows[n:]
			continue
		}
		delete(e.push.reports, key)
		e.push.reportOrder = e.push.reportOrder[1:]
	}
}

func (e *Engine) allowPush(now time.Time, records int) bool {
	return e.push.limiter.AllowN(now, pushOverheadBytes+records*recordBytes)
}

// runHandovers sends the records of each handover and, once all are acknowledged, a last
// push that says whether they are complete.
func (e *Engine) runHandovers(now time.Time) {
	var remaining []*handover
	for _, h := range e.push.handovers {
		for len(h.ids) > 0 && e.allowPush(now, min(len(h.ids), maxRecordsPerPush)) {
			n := min(len(h.ids), maxRecordsPerPush)
			e.sendPush(now, h.peer, h.key, e.recordsOf(h.ids[:n]), false, h)
			h.ids = h.ids[n:]
		}
		if len(h.ids) == 0 && h.unacknowledged == 0 && !h.finalSent && e.allowPush(now, 0) {
			h.finalSent = true
			held := e.holdings[h.key]
			e.sendPush(now, h.peer, h.key, nil, held != nil && held.complete && !h.incomplete, h)
		}
		if !h.finalSent || h.unacknowledged > 0 {
			remaining = append(remaining, h)
		}
	}
	e.push.handovers = remaining
}

func (e *Engine) recordsOf(ids []route.FlowID) []flowReport {
	var flows []flowReport
	for _, id := range ids {
		if r, ok := e.records[id]; ok {
			flows = append(flows, flowReport{id, r.endpoint, !r.confirmed})
		}
	}
	return flows
}

// sendReports sends flows to both holders of their bucket, or stores them if this
// entry is a holder.
func (e *Engine) sendReports(now time.Time, key bucketKey, flows []flowReport) {
	owner, second := route.Rank(e.view.Table.Members(), key.service, key.bucket)
	for _, peer := range []string{owner, second} {
		switch peer {
		case "":
		case e.config.Self:
			for _, f := range flows {
				e.mergeRecord(now, key, f)
			}
		default:
			e.sendPush(now, peer, key, flows, false, nil)
		}
	}
}

func (e *Engine) sendPush(now time.Time, peer string, key bucketKey, flows []flowReport, complete bool, h *handover) {
	e.push.sequence++
	push := &wire.Push{Service: key.service, Bucket: key.bucket, Complete: complete, Sequence: e.push.sequence}
	for _, f := range flows {
		push.Records = append(push.Records, &wire.FlowRecord{High: f.id.High, Low: f.id.Low, Endpoint: f.endpoint, HalfOpen: f.halfOpen})
	}
	if h != nil {
		h.unacknowledged++
	}
	s := &sentPush{peer: peer, push: push, handover: h}
	e.push.sent = append(e.push.sent, s)
	e.transmit(now, s)
}

func (e *Engine) transmit(now time.Time, s *sentPush) {
	s.attempts++
	s.resendAt = now.Add(e.push.retryInterval)
	e.stats.Pushes++
	e.stats.PushBytes += uint64(pushOverheadBytes + len(s.push.Records)*recordBytes)
	e.out = append(e.out, Output{Peer: s.peer, Message: &wire.Peer{From: e.config.Self, Body: &wire.Peer_Push{Push: s.push}}})
}

// resend repeats unacknowledged pushes, and abandons those to a peer that was
// removed or never answers.
func (e *Engine) resend(now time.Time) {
	e.push.sent = slices.DeleteFunc(e.push.sent, func(s *sentPush) bool {
		if now.Before(s.resendAt) {
			return false
		}
		if _, alive := e.view.Table.Member(s.peer); !alive || s.attempts >= maxPushAttempts {
			e.abandonPush(s)
			return true
		}
		if e.allowPush(now, len(s.push.Records)) {
			e.transmit(now, s)
		}
		return false
	})
}

// abandonPush marks the flows of a push as not reported, so that the next pass
// reports them again, or the records of a handover as incomplete.
func (e *Engine) abandonPush(s *sentPush) {
	if s.handover != nil {
		s.handover.unacknowledged--
		s.handover.incomplete = s.handover.incomplete || len(s.push.Records) > 0
		return
	}
	for _, r := range s.push.Records {
		if cached := e.flows.get(route.FlowID{High: r.High, Low: r.Low}); cached != nil {
			cached.reported = false
		}
	}
}

func (e *Engine) handlePushed(from string, sequence uint64) {
	i := slices.IndexFunc(e.push.sent, func(s *sentPush) bool { return s.push.Sequence == sequence && s.peer == from })
	if i < 0 {
		return
	}
	if h := e.push.sent[i].handover; h != nil {
		h.unacknowledged--
	}
	e.push.sent = slices.Delete(e.push.sent, i, i+1)
}

// handlePush stores the records that a peer sent and acknowledges them.
func (e *Engine) handlePush(now time.Time, from string, push *wire.Push) {
	key := bucketKey{push.Service, push.Bucket}
	for _, r := range push.Records {
		e.mergeRecord(now, key, flowReport{route.FlowID{High: r.High, Low: r.Low}, r.Endpoint, r.HalfOpen})
	}
	if push.Complete {
		e.holdingOf(key).complete = true
	}
	e.out = append(e.out, Output{Peer: from, Message: &wire.Peer{From: e.config.Self, Body: &wire.Peer_Pushed{
		Pushed: &wire.Pushed{Sequence: push.Sequence},
	}}})
}

// mergeRecord stores a record unless the existing one is at least as certain. If the
// limit of records is reached, the holding becomes incomplete, and the owner asks the
// peers about flows without a record.
func (e *Engine) mergeRecord(now time.Time, key bucketKey, f flowReport) {
	endpoint := e.view.Table.Endpoint(f.endpoint)
	if endpoint == nil || endpoint.Service() != key.service {
		return
	}
	if r, known := e.records[f.id]; known && (r.confirmed || f.halfOpen) {
		return
	}
	if !e.putRecord(now, f.id, key, f.endpoint) {
		e.holdingOf(key).complete = false
		return
	}
	if !f.halfOpen {
		e.confirmRecord(f.id)
	}
}

func compareIDs(a, b route.FlowID) int {
	return cmp.Or(cmp.Compare(a.High, b.High), cmp.Compare(a.Low, b.Low))
}
