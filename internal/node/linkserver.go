package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// protocolErrorLogRate and protocolErrorLogBurst limit the log lines about links that ended
	// by a protocol error, in lines per second and lines.
	protocolErrorLogRate  = 1
	protocolErrorLogBurst = 10
)

// linkServer accepts links and operators' commands.
type linkServer struct {
	listener net.Listener
	server   *drpcserver.Server
	log      *log.Logger

	mu      sync.Mutex // guards limiter
	limiter *logLimiter
}

// newLinkServer listens at an address for operators' commands and, unless links is nil, for
// links. It returns an error of kind AddressInUse if it cannot listen.
func newLinkServer(address string, links wire.DRPCDirectoryServer, operators wire.DRPCControlServer, logger *log.Logger) (*linkServer, error) {
	config := net.ListenConfig{Control: setUserTimeout}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.AddressInUse, err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, operators); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	if links != nil {
		if err := wire.DRPCRegisterDirectory(mux, links); err != nil {
			return nil, fault.Wrap(fault.Internal, err)
		}
	}
	return &linkServer{listener: listener, server: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: linkOptions()}), log: logger, limiter: newLogLimiter(protocolErrorLogRate, protocolErrorLogBurst)}, nil
}

// run accepts connections until the context is done.
func (s *linkServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		raw, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(minDialPause) // probably out of file descriptors: wait until connections are closed
			continue
		}
		go s.runConn(ctx, linkConn{raw})
	}
}

// runConn serves one connection until it is closed. The dialing side logs the reason, unless
// the bytes it sent cannot be read as messages, which only this side knows.
func (s *linkServer) runConn(ctx context.Context, conn linkConn) {
	err := s.server.ServeOne(ctx, conn)
	if !drpc.ProtocolError.Has(err) {
		return
	}
	s.mu.Lock()
	dropped, allowed := s.limiter.allow()
	s.mu.Unlock()
	if allowed {
		s.log.Warn("link ended", "peer", conn.RemoteAddr(), "error", err, "left_out", dropped)
	}
}
