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
	// headerTimeout ends a call whose header does not come.
	headerTimeout = 2 * time.Second
	// httpRequestTimeout ends a call on a connection that fell silent: a body that does
	// not come, an answer that is not taken. An order of some 15,000 routes over
	// a link of 2 Mbit/s takes 8 s; callers turn elsewhere after one.
	httpRequestTimeout = 12 * time.Second
	// idleTimeout ends a connection between calls, above an endpoint's
	// heartbeat period.
	idleTimeout = 10 * time.Second
)

// serveMetrics serves figures; a port that is taken costs the figures only.
func serveMetrics(ctx context.Context, p platformProcess, write func(io.Writer)) error {
	if err := serveHTTP(ctx, p.settings.Metrics, platform.MetricsHandler(write)); ctx.Err() == nil {
		p.log.Error("no metrics", "address", p.settings.Metrics, "error", err)
	}
	return nil
}

// serveHTTP serves at an address until the context ends; an error is of kind
// AddressInUse where the address cannot be had.
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

// newHTTPServer returns a server that no connection holds up for ever.
func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: httpRequestTimeout, WriteTimeout: httpRequestTimeout, IdleTimeout: idleTimeout,
	}
}
