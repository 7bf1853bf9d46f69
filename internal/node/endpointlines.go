package node

import (
	"time"

	"github.com/charmbracelet/log"

	"oxbowsaddle/internal/registry"
)

const (
	// endpointLinesPerSecond and endpointLinesAtOnce bound the log lines about endpoints:
	// those of a release, and not of a fleet that starts.
	endpointLinesPerSecond = 20
	endpointLinesAtOnce    = 100
)

// endpointLines logs what becomes known of endpoints, within bounds.
type endpointLines struct {
	log   *log.Logger
	lines *lineBound
}

func newEndpointLines(logger *log.Logger) *endpointLines {
	return &endpointLines{logger, newLineBound(endpointLinesPerSecond, endpointLinesAtOnce)}
}

// changed logs a change of an endpoint that was heard age ago.
func (l *endpointLines) changed(e registry.Endpoint, silent bool, age time.Duration) {
	leftOut, logged := l.lines.take()
	if !logged {
		return
	}
	l.log.Info("endpoint", "endpoint", e.ID, "service", e.Service, "address", e.Addr, "domain", e.Domain, "sequence", e.Sequence,
		"leaving", e.Leaving, "gone", e.Gone, "silent", silent, "age", age, "left_out", leftOut)
}
