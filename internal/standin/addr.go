package standin

import (
	"net"
	"net/netip"
)

// FreeAddr returns a loopback address with a free port; network is "udp" or
// "tcp". Another process may take the port before the caller does.
func FreeAddr(network string) (netip.AddrPort, error) {
	if network == "udp" {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return netip.AddrPort{}, err
		}
		defer func() { _ = conn.Close() }()
		return netip.ParseAddrPort(conn.LocalAddr().String())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}
