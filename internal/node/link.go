package node

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"oxbowsaddle/internal/directory"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

const (
	// frameInterval is the interval of the periodic frames on links between control instances,
	// and of the sweeps of the registry.
	frameInterval = 200 * time.Millisecond
	// linkIdleTimeout is how long a read or write may block before the link is closed. It covers
	// several periodic frames.
	linkIdleTimeout = 1200 * time.Millisecond
	// maxUnackedTime is how long sent data may remain unacknowledged by TCP.
	maxUnackedTime = time.Second
	// maxMessageSize bounds a message on a link in bytes. It exceeds the largest command of the
	// log by far, since a message that the receiver rejects ends the link on each attempt to
	// send it.
	maxMessageSize = 2 * directory.MaxCommandSize
)

type (
	// Dialer opens a connection to a control instance.
	Dialer func(ctx context.Context, address string, timeout time.Duration) (net.Conn, error)

	// linkConn is a connection whose reads and writes fail after linkIdleTimeout.
	linkConn struct {
		net.Conn
	}
)

// Read reads with a deadline of linkIdleTimeout.
func (c linkConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(linkIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write writes with a deadline of linkIdleTimeout.
func (c linkConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(linkIdleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// setUserTimeout makes the kernel close a connection whose peer has vanished without closing
// it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(maxUnackedTime/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// DialTCP is the Dialer for TCP.
func DialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, Control: setUserTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// linkOptions returns the options for both ends of a link.
func linkOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// openLink opens a link on a connection to a control instance, and returns the function that
// closes it. The caller sends the hello. An error is of kind Unreachable.
func openLink(ctx context.Context, raw net.Conn) (wire.DRPCDirectory_LinkClient, func(), error) {
	conn := drpcconn.NewWithOptions(linkConn{raw}, drpcconn.Options{Manager: linkOptions()})
	closeLink := func() { _ = conn.Close() }
	stream, err := wire.NewDRPCDirectoryClient(conn).Link(ctx)
	if err != nil {
		closeLink()
		return nil, nil, fault.Wrap(fault.Unreachable, err)
	}
	return stream, closeLink, nil
}

// helloFrame returns the first frame of a link.
func helloFrame(hello *wire.Hello) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Hello{Hello: hello}}
}
