package entry

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/work"
)

var start = time.Unix(1000, 0)

// newCore returns a core with an IPv4 and an IPv6 service, each on TCP and UDP.
func newCore(t *testing.T) *Core {
	t.Helper()
	b := route.NewBuilder(route.Empty(), 1)
	for id, addr := range map[uint32]string{1: "192.0.2.1:443", 2: "[2001:db8::1]:443"} {
		b.PutService(id, addr, []route.Class{
			{Name: "tcp", Key: route.ServiceKey{Addr: netip.MustParseAddrPort(addr), Transport: packet.TCP}},
			{Name: "udp", Key: route.ServiceKey{Addr: netip.MustParseAddrPort(addr), Transport: packet.UDP}},
		}, route.Policy{Idle: time.Minute}, 64)
		endpoint := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+id))
		b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{ID: id, Service: id, Addr: endpoint, Domain: "d", Connections: 10}))
		for bucket := range uint32(64) {
			b.Move(id, bucket, id)
		}
	}
	b.PutMember(route.NewMember("e0", "d", 1, false, 1))
	c := New(Config{
		Flow: flow.Config{Self: "e0", Domain: "d", Incarnation: 1, MaxFlows: 100, MaxRecords: 10, HalfOpenTimeout: time.Second, SweepInterval: time.Second},
		Work: work.Config{Self: "e0", Domain: "d", Incarnation: 1},
	}, start)
	c.SetView(start, &flow.View{Table: b.Table(), Active: 1, LeaseUntil: start.Add(time.Hour), ReachableDomains: []string{"d"}})
	return c
}

func handlePacket(t *testing.T, c *Core, from netip.AddrPort, tuple packet.Tuple, f packet.Flags) ([]Send, []byte) {
	t.Helper()
	inner, err := packet.Build(tuple, f, 1, 1, []byte("payload"))
	if err != nil {
		t.Fatal(err)
	}
	var d packet.Decoder
	p := &packet.Packet{}
	if r := d.DecodeInner(inner, p); r != packet.Decoded {
		t.Fatal(r)
	}
	c.HandlePacket(start, from, p)
	return c.TakeSends(start), inner
}

func TestForwardAllTransportsAndFamilies(t *testing.T) {
	for id, addr := range map[uint16]string{1: "192.0.2.1:443", 2: "[2001:db8::1]:443"} {
		client := netip.MustParseAddrPort("10.0.0.1:4000")
		if id == 2 {
			client = netip.MustParseAddrPort("[2001:db8::7]:4000")
		}
		for _, transport := range []packet.Transport{packet.TCP, packet.UDP} {
			g := gomega.NewWithT(t)
			c := newCore(t)
			tuple := packet.NewTuple(client, netip.MustParseAddrPort(addr), transport)
			sends, inner := handlePacket(t, c, netip.AddrPort{}, tuple, packet.NewFlags(true, false, false, false))
			g.Expect(sends).To(gomega.HaveLen(1), "%s %s", addr, transport)
			g.Expect(sends[0].Target).To(gomega.Equal(ToBackend))
			g.Expect(sends[0].Inner).To(gomega.Equal(inner), "unchanged")
			backend := sends[0].Endpoint.Addr()
			g.Expect(backend.Port()).To(gomega.Equal(9000 + id))
			sends, inner = handlePacket(t, c, backend, tuple.Reverse(), packet.NewFlags(true, true, false, false))
			g.Expect(sends).To(gomega.HaveLen(1))
			g.Expect(sends[0].Target).To(gomega.Equal(ToFabric))
			g.Expect(sends[0].Inner).To(gomega.Equal(inner))
			other := netip.AddrPortFrom(backend.Addr(), 9003-id)
			sends, _ = handlePacket(t, c, other, tuple.Reverse(), packet.NewFlags(false, true, false, false))
			g.Expect(sends).To(gomega.BeEmpty(), "a backend server of another service must not answer")
		}
	}
}

func TestUnknownServiceDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	var seen []flow.Reason
	c := newCore(t)
	c.config.OnFlow = func(_ time.Time, v flow.Verdict, _ *packet.Packet, _ bool) { seen = append(seen, v.Reason()) }
	tuple := packet.NewTuple(netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("203.0.113.1:1"), packet.TCP)
	sends, _ := handlePacket(t, c, netip.AddrPort{}, tuple, packet.NewFlags(true, false, false, false))
	g.Expect(sends).To(gomega.BeEmpty())
	g.Expect(seen).To(gomega.Equal([]flow.Reason{flow.UnknownService}))
}
