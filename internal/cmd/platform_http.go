package cmd

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/platform"
)

const (
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 2 * time.Second
	// httpRequestTimeout bounds reading a request and writing its response. It is
	// long enough for a large configuration on a slow link.
	httpRequestTimeout = 12 * time.Second
	// idleTimeout closes idle connections. It is longer than the heartbeat period
	// of endpoints, so that they can reuse theirs.
	idleTimeout = 10 * time.Second
)

// serveMetrics serves metrics. A failure, such as a port in use, is only logged:
// the process goes on without metrics.
func serveMetrics(ctx context.Context, p platformProcess, write func(io.Writer)) error {
	if err := serveHTTP(ctx, p.settings.MetricsAddr, platform.MetricsHandler(write)); ctx.Err() == nil {
		p.log.Error("metrics server failed", "address", p.settings.MetricsAddr, "error", err)
	}
	return nil
}

// serveHTTP serves at addr until ctx ends. If it cannot listen there, the error
// is of kind AddressInUse.
func serveHTTP(ctx context.Context, addr netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return fault.Wrap(fault.AddressInUse, err)
	}
	server := newHTTPServer(handler)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return server.Serve(listener)
}

// newHTTPServer returns a server with timeouts, so that stalled connections are
// closed.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: httpRequestTimeout, WriteTimeout: httpRequestTimeout, IdleTimeout: idleTimeout,
	}
}
