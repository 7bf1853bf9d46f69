package node

import (
	"time"

	"github.com/charmbracelet/log"

	"oxbowsaddle/internal/registry"
)

const (
	// endpointLogRate and endpointLinesAtOnce bound the log lines about endpoints:
	// those of a release, and not of a fleet that starts.
	endpointLogRate  = 20
	endpointLogBurst = 100
)

// endpointLog logs what becomes known of endpoints, within bounds.
type endpointLog struct {
	log     *log.Logger
	limiter *logLimiter
}

func newEndpointLog(logger *log.Logger) *endpointLog {
	return &endpointLog{logger, newLogLimiter(endpointLogRate, endpointLogBurst)}
}

// logChange logs a change of an endpoint that was heard age ago.
func (l *endpointLog) logChange(e registry.Endpoint, silent bool, age time.Duration) {
	dropped, allowed := l.limiter.allow()
	if !allowed {
		return
	}
	l.log.Info("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Addr, "domain", e.Domain, "sequence", e.Sequence,
		"leaving", e.Leaving, "gone", e.Gone, "silent", silent, "age", age, "left_out", dropped)
}
