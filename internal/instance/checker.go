package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dchest/siphash"

	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// checkersPerEndpoint is the number of entries that check an endpoint. With more than
// one, a faulty or partitioned entry doesn't decide on its own.
const checkersPerEndpoint = 2

type (
	// checker checks the health of endpoints and passes the results to the control
	// goroutine, which reports them to the leader.
	checker struct {
		instance *Instance
		client   *http.Client
		table    *route.Table      // for which share was computed
		share    []*route.Endpoint // the endpoints that this entry checks
	}

	// healthReport is the body of a backend server's health response.
	healthReport struct {
		Healthy     bool   `json:"healthy"`
		Leaving     bool   `json:"leaving"`
		Shedding    bool   `json:"shedding"`
		Connections uint32 `json:"connections"`
		Running     uint32 `json:"running"`
	}
)

func newChecker(i *Instance) *checker {
	return &checker{instance: i, client: &http.Client{Timeout: i.config.Settings.Times.CheckTimeout.Std()}}
}

// run checks this entry's share of the endpoints periodically.
func (c *checker) run(ctx context.Context) error {
	ticker := time.NewTicker(c.instance.config.Settings.Times.CheckInterval.Std())
	defer ticker.Stop()
	round := 0
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if round++; round%int(c.instance.budget.checkSlowdown()) != 0 {
			continue
		}
		loads := c.checkAll(ctx, c.currentShare())
		select {
		case c.instance.control.loads <- loads:
		case <-ctx.Done():
		}
	}
}

// currentShare returns the endpoints that this entry checks, cached by table.
func (c *checker) currentShare() []*route.Endpoint {
	if table := c.instance.view.Load().Table; table != c.table {
		c.table, c.share = table, c.shareOf(table)
	}
	return c.share
}

// shareOf returns the endpoints of this failure domain for which this entry is among
// the checkersPerEndpoint entries with the highest hash. The total rate of checks is
// limited.
func (c *checker) shareOf(table *route.Table) []*route.Endpoint {
	var local []route.Member
	for _, m := range table.Members() {
		if m.Domain() == c.instance.self.Domain {
			local = append(local, m)
		}
	}
	var found []*route.Endpoint
	table.Services(func(s *route.Service) {
		for _, e := range table.EndpointsOf(s.ID()) {
			if e.Health().IsValid() && e.Domain() == c.instance.self.Domain && c.isChecker(local, e.ID()) {
				found = append(found, e)
			}
		}
	})
	limit := int(float64(c.instance.config.Settings.Limits.ChecksPerSecond) * c.instance.config.Settings.Times.CheckInterval.Std().Seconds())
	return found[:min(len(found), max(limit, 1))]
}

// isChecker reports whether fewer than checkersPerEndpoint of the local entries have a
// higher hash for the endpoint than this entry.
func (c *checker) isChecker(local []route.Member, endpoint uint32) bool {
	own := siphash.Hash(uint64(endpoint), 0, []byte(c.instance.self.Name))
	higher := 0
	for _, m := range local {
		if siphash.Hash(uint64(endpoint), 0, []byte(m.Name())) <= own {
			continue
		}
		if higher++; higher == checkersPerEndpoint {
			return false
		}
	}
	return true
}

// checkAll checks the endpoints, several at a time.
func (c *checker) checkAll(ctx context.Context, endpoints []*route.Endpoint) []*wire.EndpointLoad {
	const maxConcurrent = 16
	loads := make([]*wire.EndpointLoad, len(endpoints))
	semaphore := make(chan struct{}, maxConcurrent)
	var wait sync.WaitGroup
	for n, e := range endpoints {
		semaphore <- struct{}{}
		wait.Go(func() {
			defer func() { <-semaphore }()
			loads[n] = c.checkOne(ctx, e)
		})
	}
	wait.Wait()
	return loads
}

// checkOne checks one endpoint. A failed check counts as unhealthy.
func (c *checker) checkOne(ctx context.Context, e *route.Endpoint) *wire.EndpointLoad {
	const maxBytes = 4096
	var a healthReport
	err := getJSON(ctx, c.client, fmt.Sprintf("http://%s/health", e.Health()), maxBytes, &a)
	if err != nil {
		c.instance.counters.Counter("check_failures").Inc(1)
		return &wire.EndpointLoad{Endpoint: e.ID()}
	}
	return &wire.EndpointLoad{
		Endpoint: e.ID(), Healthy: a.Healthy, Leaving: a.Leaving, Shedding: a.Shedding,
		Connections: a.Connections, Running: a.Running,
	}
}

// getJSON fetches and decodes a JSON document of at most limit bytes.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("get %s: status %d", url, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, limit)).Decode(into)
}
