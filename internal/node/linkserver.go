package node

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// linkServer accepts links, and the calls of operators.
type linkServer struct {
	listener net.Listener
	server   *drpcserver.Server
}

// newLinkServer listens at an address for links, nil for none, and for the
// commands of operators; an error is of kind AddressInUse where the address
// cannot be had.
func newLinkServer(address string, links wire.DRPCDirectoryServer, operators wire.DRPCControlServer) (*linkServer, error) {
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
	return &linkServer{listener: listener, server: drpcserver.New(mux)}, nil
}

// serve serves links until the context ends.
func (s *linkServer) serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		raw, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(minDialPause) // out of descriptors: those in use end
			continue
		}
		go s.serveConn(ctx, linkConn{raw})
	}
}

// serveConn serves one connection until it ends; why it ended is logged at the
// end that opened it.
func (s *linkServer) serveConn(ctx context.Context, conn linkConn) {
	_ = s.server.ServeOne(ctx, conn)
}
