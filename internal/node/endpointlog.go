package node

import (
	"time"

	"github.com/charmbracelet/log"

	"oxbowsaddle/internal/registry"
)

const (
	// endpointLogRate and endpointLogBurst limit the log lines about endpoints, in lines per
	// second and lines. They suffice for a rolling release, but not for the start of a fleet.
	endpointLogRate  = 20
	endpointLogBurst = 100
)

// endpointLog writes rate-limited log lines about changes of endpoints.
type endpointLog struct {
	log     *log.Logger
	limiter *logLimiter
}

func newEndpointLog(logger *log.Logger) *endpointLog {
	return &endpointLog{logger, newLogLimiter(endpointLogRate, endpointLogBurst)}
}

// logChange logs a change of an endpoint; age is the time since its last heartbeat.
func (l *endpointLog) logChange(e registry.Endpoint, silent bool, age time.Duration) {
	dropped, allowed := l.limiter.allow()
	if !allowed {
		return
	}
	l.log.Info("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Addr, "domain", e.Domain, "sequence", e.Sequence,
		"leaving", e.Leaving, "gone", e.Gone, "silent", silent, "age", age, "left_out", dropped)
}
