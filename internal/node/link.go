package node

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// dialFirst is how long the first attempt at an address may take. It is
	// short, since a machine without power says nothing and may be back within
	// a moment: several times the round trip between failure domains. Each
	// failed attempt doubles it up to dialMost, for slow machines.
	dialFirst = 40 * time.Millisecond
	dialMost  = 500 * time.Millisecond
	// redialAfter is the pause between two attempts at one address.
	redialAfter = 20 * time.Millisecond
	// frameEvery is how often each end of a link says something at least.
	frameEvery = 200 * time.Millisecond
	// linkIdle ends a link on which nothing came for so long: several frames.
	linkIdle = 1200 * time.Millisecond
	// unackedMost is how long sent bytes may stay unacknowledged.
	unackedMost = time.Second
)

// linkConn is a connection of a link: one that stands still ends.
type linkConn struct {
	net.Conn
}

// Read reads what comes within linkIdle.
func (c linkConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(linkIdle)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes what is taken within linkIdle.
func (c linkConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(linkIdle)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// limitUnacked makes the kernel end a connection whose other end is gone
// without a word.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMost/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failed
}

// redial paces the attempts at one address.
type redial struct {
	timeout time.Duration // of the next attempt, 0 for dialFirst
}

// next returns how long the next attempt may take.
func (r *redial) next() time.Duration {
	if r.timeout == 0 {
		r.timeout = dialFirst
	}
	now := r.timeout
	r.timeout = min(2*r.timeout, dialMost)
	return now
}

// reached makes the next attempt a first one again.
func (r *redial) reached() { r.timeout = 0 }

// dialLink opens a link to a control instance; the caller then says hello.
func dialLink(ctx context.Context, address string, timeout time.Duration) (wire.DRPCDirectory_LinkClient, func(), error) {
	dialer := net.Dialer{Timeout: timeout, Control: limitUnacked}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, fault.Wrap(fault.Unreachable, err)
	}
	conn := drpcconn.New(linkConn{raw})
	done := func() { _ = conn.Close() }
	stream, err := wire.NewDRPCDirectoryClient(conn).Link(ctx)
	if err != nil {
		done()
		return nil, nil, fault.Wrap(fault.Unreachable, err)
	}
	return stream, done, nil
}

func helloFrame(id string, control bool) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: &wire.Hello{Id: id, Control: control}}}
}

// linkServer accepts links.
type linkServer struct {
	listener net.Listener
	server   *drpcserver.Server
}

func newLinkServer(address string, handler wire.DRPCDirectoryServer) (*linkServer, error) {
	config := net.ListenConfig{Control: limitUnacked}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.AddressInUse, err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterDirectory(mux, handler); err != nil {
		return nil, fault.Wrap(fault.Internal, err)
	}
	return &linkServer{listener: listener, server: drpcserver.New(mux)}, nil
}

// run serves links until the context ends.
func (s *linkServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	defer stop()
	for {
		raw, err := s.listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			time.Sleep(redialAfter) // out of descriptors: those in use end
			continue
		}
		go func() { _ = s.server.ServeOne(ctx, linkConn{raw}) }()
	}
}

// notifier wakes everybody who waits for a change.
type notifier struct {
	mu      sync.Mutex
	waiting map[chan struct{}]struct{}
}

// subscribe returns a channel that holds a value after each change, and what
// ends that.
func (n *notifier) subscribe() (changed <-chan struct{}, cancel func()) {
	ch := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting == nil {
		n.waiting = map[chan struct{}]struct{}{}
	}
	n.waiting[ch] = struct{}{}
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.waiting, ch)
	}
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ch := range n.waiting {
		select {
		case ch <- struct{}{}:
		default: // it has not looked at the last change yet
		}
	}
}
