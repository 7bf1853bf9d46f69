package cmd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "commands")
}

var _ = Describe("the connections of callers", func() {
	It("are bounded: the one that has rested longest makes room, and none that is in use", func() {
		conns := newOpenConns(2 * connsPart)
		var all []net.Conn
		for range 4 {
			a, b := net.Pipe()
			DeferCleanup(b.Close)
			all = append(all, a)
		}
		conns.note(all[0], http.StateNew)
		conns.note(all[1], http.StateNew)
		conns.note(all[0], http.StateIdle)
		conns.note(all[1], http.StateIdle)
		conns.note(all[0], http.StateActive)
		Expect(conns.settle(all[2], http.StateNew)).To(BeIdenticalTo(all[1]))
		conns.note(all[1], http.StateClosed)
		Expect(conns.settle(all[3], http.StateNew)).To(BeNil(), "all of them are in use")
		Expect(newOpenConns(0).settle(all[0], http.StateNew)).To(BeNil())
		for _, conn := range all {
			conns.note(conn, http.StateClosed)
		}
		Expect(conns.open).To(BeNumerically("<=", 0))
		Expect(conns.resting.Len()).To(BeZero())
	})

	It("end at the server while further callers are answered", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := newHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), 2*connsPart)
		go func() { _ = server.Serve(listener) }()
		DeferCleanup(server.Close)
		call := func() net.Conn {
			conn, err := net.Dial("tcp", listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
			_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			return conn
		}
		first := call()
		for range 9 {
			call()
			time.Sleep(time.Millisecond) // so that the server notes that it rests
		}
		Expect(first.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = first.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("EOF")))
	})
})
