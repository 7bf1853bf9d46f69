package packet

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
)

func samplePacket(t testing.TB, v6 bool) []byte {
	t.Helper()
	src, dst := netip.MustParseAddrPort("10.0.0.7:4000"), netip.MustParseAddrPort("192.0.2.1:443")
	if v6 {
		src, dst = netip.MustParseAddrPort("[2001:db8::7]:4000"), netip.MustParseAddrPort("[2001:db8::1]:443")
	}
	inner, err := Build(NewTuple(src, dst, TCP), NewFlags(true, false, false, false), 7, 0, []byte("hello"))
	if err != nil {
		t.Fatal(err)
	}
	return inner
}

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, v6 := range []bool{false, true} {
		g := gomega.NewWithT(t)
		e, err := NewEncoder()
		g.Expect(err).NotTo(gomega.HaveOccurred())
		inner := samplePacket(t, v6)
		var d Decoder
		var p Packet
		g.Expect(d.Decode(e.AppendPlain(nil, inner), &p)).To(gomega.Equal(Decoded))
		g.Expect(p.Inner()).To(gomega.Equal(inner), "the inner packet is passed on unchanged")
		g.Expect(p.Flags().Opens()).To(gomega.BeTrue())
		g.Expect(string(p.Payload())).To(gomega.Equal("hello"))
		r := NewRelay(RelayStore, 9, 11, 13).WithHop()
		g.Expect(d.Decode(e.AppendRelay(nil, inner, r), &p)).To(gomega.Equal(Decoded))
		got, ok := p.Relay()
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(r))
		g.Expect(p.Inner()).To(gomega.Equal(inner))
	}
}

func TestDecodeRejectsMalformedPackets(t *testing.T) {
	e, err := NewEncoder()
	if err != nil {
		t.Fatal(err)
	}
	valid := e.AppendPlain(nil, samplePacket(t, false))
	withByte := func(at int, b byte) []byte {
		c := append([]byte(nil), valid...)
		c[at] = b
		return c
	}
	cases := map[string]struct {
		data []byte
		want Reason
	}{
		"empty":             {nil, TooShort},
		"truncated geneve":  {valid[:5], TooShort},
		"truncated ip":      {valid[:HeaderLen+10], BadIP},
		"truncated tcp":     {valid[:HeaderLen+25], BadTransport},
		"bad version":       {withByte(0, 0x40), BadGeneve},
		"options past end":  {withByte(0, 0x20), BadGeneve},
		"options overflow":  {withByte(0, 0x3f), TooManyOptions},
		"unknown inner":     {withByte(2, 0x77), UnknownInner},
		"fragment":          {withByte(HeaderLen+6, 0x20), Fragment},
		"unknown transport": {withByte(HeaderLen+9, 1), UnknownTransport},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var d Decoder
			var p Packet
			gomega.NewWithT(t).Expect(d.Decode(c.data, &p)).To(gomega.Equal(c.want))
		})
	}
}

func FuzzDecode(f *testing.F) {
	e, err := NewEncoder()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(e.AppendPlain(nil, samplePacket(f, false)))
	f.Add(e.AppendPlain(nil, samplePacket(f, true)))
	f.Add(e.AppendRelay(nil, samplePacket(f, false), NewRelay(RelayDecide, 1, 2, 3)))
	f.Add(e.AppendPeer(nil, []byte{1, 2, 3}))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d Decoder
		var p Packet
		if d.Decode(data, &p) == Decoded && len(p.Inner()) > len(data) {
			t.Fatal("the inner packet is longer than the datagram")
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	e, err := NewEncoder()
	if err != nil {
		b.Fatal(err)
	}
	data := e.AppendPlain(nil, samplePacket(b, false))
	var d Decoder
	var p Packet
	b.ReportAllocs()
	for b.Loop() {
		if d.Decode(data, &p) != Decoded {
			b.Fatal("not decoded")
		}
	}
}
