package demo

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"oxbowsaddle/internal/intent"
	"oxbowsaddle/internal/standin"
)

const (
	downloadDuration = 700 * time.Millisecond
	requestDeadline  = 3 * time.Second
)

// startTraffic starts clients for every class, which run until the given time:
// long feeds on the flow classes of the first service, short downloads on those
// of the others, and requests on work classes.
func (r *run) startTraffic(ctx context.Context, group *sync.WaitGroup, until time.Time) {
	for service := range r.fleet.services {
		var spec intent.Service
		if json.Unmarshal(r.fleet.serviceObject(service).Body, &spec) != nil {
			continue
		}
		for _, class := range spec.Classes {
			switch {
			case class.Kind == intent.ClassWork:
				r.startRequests(ctx, group, until, service, spec, class)
			case service == r.firstService():
				r.startFeeds(ctx, group, until, class, feedsPerEndpoint*len(spec.Endpoints))
			default:
				r.startDownloads(ctx, group, until, class, 8*len(spec.Endpoints))
			}
		}
	}
}

// startFeeds opens n flows that last until the given time.
func (r *run) startFeeds(ctx context.Context, group *sync.WaitGroup, until time.Time, class intent.Class, n int) {
	for range n {
		delay := rand.N(2 * time.Second)
		group.Go(func() {
			time.Sleep(delay)
			remaining := until.Sub(r.fleet.config.Now())
			r.fleet.clients.Flow(ctx, standin.FlowConfig{To: class.Address, Interval: feedInterval, Duration: remaining})
		})
	}
}

// startDownloads starts n clients that open one short flow after the other.
func (r *run) startDownloads(ctx context.Context, group *sync.WaitGroup, until time.Time, class intent.Class, n int) {
	for range n {
		group.Go(func() {
			for r.fleet.config.Now().Before(until) && ctx.Err() == nil {
				duration := downloadDuration/2 + rand.N(downloadDuration)
				r.fleet.clients.Flow(ctx, standin.FlowConfig{To: class.Address, Interval: downloadDuration / 10, Duration: duration})
			}
		})
	}
}

// startRequests starts clients in proportion to the slots of the service; each
// sends one request after the other.
func (r *run) startRequests(ctx context.Context, group *sync.WaitGroup, until time.Time, service string, spec intent.Service, class intent.Class) {
	slots := 0
	for _, e := range spec.Endpoints {
		slots += e.Slots
	}
	blockwise := service != r.firstService()
	clientCount := max(slots/3, 2)
	for range clientCount {
		group.Go(func() {
			for r.fleet.config.Now().Before(until) && ctx.Err() == nil {
				r.fleet.clients.Request(ctx, standin.RequestConfig{
					Class: class.Name, To: class.Address, NonRepeatable: !class.Repeatable, Deadline: requestDeadline, Blockwise: blockwise,
				})
				time.Sleep(rand.N(10 * time.Millisecond))
			}
		})
	}
}
