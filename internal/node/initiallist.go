package node

import (
	"sync"
	"time"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// initialListLifetime is how long an initial list is reused; changes made meanwhile are sent
// after it. It is below the heartbeat interval, so that ages and sequence numbers in the list
// are recent enough.
const initialListLifetime = 250 * time.Millisecond

// initialList caches the frames that list all endpoints. All entries request them at once
// after a power failure, and encoding them separately for each entry would be slow.
type initialList struct {
	endpoints *endpointList

	mu       sync.Mutex // held while frames are encoded, so that this happens only once
	reports  *wire.Reports
	revision uint64                   // last revision of the batch log when the list was made
	frames   map[string][]*wire.Frame // by failure domain
	madeAt   time.Time
}

// get returns the frames for an entry in a failure domain, and the revision at which the
// batches to send after them begin.
func (l *initialList) get(domain string, batches *batchLog) ([]*wire.Frame, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.endpoints.now()
	if l.reports == nil || l.reports.Number == 0 || now.Sub(l.madeAt) > initialListLifetime {
		l.revision = batches.lastRevision()
		l.reports, l.frames, l.madeAt = l.endpoints.missing(registry.Digest{}), map[string][]*wire.Frame{}, now
	}
	if l.frames[domain] == nil {
		l.frames[domain] = initialFrames(l.reports, domain)
	}
	return l.frames[domain], l.revision
}

// initialFrames encodes the list of all endpoints. The endpoints of the given failure domain
// come in a frame of their own before the others: nearly all flows of an entry go to them,
// and the whole list takes much longer on a slow link.
func initialFrames(all *wire.Reports, domain string) []*wire.Frame {
	local := &wire.Reports{More: true}
	remainder := &wire.Reports{Number: all.Number, Whole: all.Whole, Same: all.Same}
	for _, m := range all.Endpoints {
		if m.Domain == domain {
			local.Endpoints = append(local.Endpoints, m)
		} else {
			remainder.Endpoints = append(remainder.Endpoints, m)
		}
	}
	if len(local.Endpoints) == 0 || len(remainder.Endpoints) == 0 {
		return []*wire.Frame{compressFrame(reportsFrame(all), compressDefault)}
	}
	return []*wire.Frame{compressFrame(reportsFrame(local), compressDefault), compressFrame(reportsFrame(remainder), compressDefault)}
}
