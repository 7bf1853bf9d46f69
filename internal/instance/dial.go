package instance

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"storj.io/drpc/drpcconn"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/settings"
	"oxbowsaddle/internal/wire"
)

const dialTimeout = 500 * time.Millisecond

type (
	// connKey identifies a connection. Calls on one connection run one after another, so
	// each purpose has its own.
	connKey struct {
		addr    netip.AddrPort
		purpose string
	}

	// dialer caches connections to the control addresses of other instances.
	dialer struct {
		server  *tls.Config
		client  *tls.Config
		blocked func(netip.AddrPort) bool
		mu      sync.Mutex
		conns   map[connKey]*drpcconn.Conn
	}
)

func newDialer(s settings.Settings, blocked func(netip.AddrPort) bool) (*dialer, error) {
	d := &dialer{blocked: blocked, conns: map[connKey]*drpcconn.Conn{}}
	var err error
	if d.server, d.client, err = tlsConfigs(s.TLS); err != nil {
		return nil, fault.Wrap(fault.InvalidSettings, err)
	}
	return d, nil
}

// tlsConfigs returns the configurations for mutual TLS, or nil if TLS isn't configured.
func tlsConfigs(t settings.TLS) (server, client *tls.Config, err error) {
	if t.Certificate == "" {
		return nil, nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("tls key pair: %w", err)
	}
	authority, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, nil, fmt.Errorf("tls authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, fmt.Errorf("tls authority %s holds no certificate", t.Authority)
	}
	server = &tls.Config{Certificates: []tls.Certificate{pair}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}
	client = &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return server, client, nil
}

// listen opens the control address.
func (d *dialer) listen(addr netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, fault.Wrap(listenKind(err), fmt.Errorf("control address: %w", err))
	}
	if d.server != nil {
		l = tls.NewListener(l, d.server)
	}
	return l, nil
}

// listenKind classifies an error of listening on a configured address.
func listenKind(err error) fault.Kind {
	if errors.Is(err, syscall.EADDRINUSE) {
		return fault.AddressInUse
	}
	return fault.InvalidSettings
}

// connect returns a client for an address, on the cached connection if it is open.
func (d *dialer) connect(ctx context.Context, addr netip.AddrPort, purpose string) (wire.DRPCControlClient, error) {
	if d.blocked(addr) {
		return nil, fault.New(fault.Unreachable, "%s is unreachable", addr)
	}
	key := connKey{addr, purpose}
	d.mu.Lock()
	conn := d.conns[key]
	d.mu.Unlock()
	if conn != nil {
		select {
		case <-conn.Closed():
		default:
			return wire.NewDRPCControlClient(conn), nil
		}
	}
	raw, err := dial(ctx, addr, d.client)
	if err != nil {
		return nil, fault.Wrap(fault.Unreachable, err)
	}
	conn = drpcconn.New(raw)
	d.mu.Lock()
	defer d.mu.Unlock()
	if old := d.conns[key]; old != nil {
		_ = old.Close()
	}
	d.conns[key] = conn
	return wire.NewDRPCControlClient(conn), nil
}

func dial(ctx context.Context, addr netip.AddrPort, config *tls.Config) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if config != nil {
		d := tls.Dialer{Config: config}
		return d.DialContext(ctx, "tcp", addr.String())
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr.String())
}

// Dial connects to the control address of an instance, for operators' commands. The
// returned function closes the connection.
func Dial(ctx context.Context, addr netip.AddrPort, t settings.TLS) (wire.DRPCControlClient, func() error, error) {
	_, client, err := tlsConfigs(t)
	if err != nil {
		return nil, nil, fault.Wrap(fault.InvalidSettings, err)
	}
	raw, err := dial(ctx, addr, client)
	if err != nil {
		return nil, nil, fault.Wrap(fault.Unreachable, fmt.Errorf("dial %s: %w", addr, err))
	}
	conn := drpcconn.New(raw)
	return wire.NewDRPCControlClient(conn), conn.Close, nil
}

func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.conns {
		_ = c.Close()
	}
}
