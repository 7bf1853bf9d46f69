package cmd

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The server's own timeout must end a request that stalls after its header, since
// the peer may never close the connection.
func TestServerEndsStalledRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	server := newHTTPServer(http.NewServeMux())
	for _, timeout := range []time.Duration{server.ReadHeaderTimeout, server.ReadTimeout, server.WriteTimeout, server.IdleTimeout} {
		g.Expect(timeout).To(gomega.BeNumerically(">", 0))
	}
	ended := make(chan error, 1)
	server.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := r.Body.Read(make([]byte, 1))
		ended <- err
	})
	server.ReadTimeout = 50 * time.Millisecond // shortened for the test
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.Write([]byte("PUT /v1/config HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(ended, 10*time.Second).Should(gomega.Receive(gomega.HaveOccurred()))
}
