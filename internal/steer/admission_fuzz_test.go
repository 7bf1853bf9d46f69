package steer

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/wire"
)

// packetSequence runs a sequence of packets, replies and pauses, each drawn from a byte, on a
// Steerer with admission control.
type packetSequence struct {
	*admissionTest
	g     Gomega
	input []byte
	taken []*wire.CreditRequest // received by the allocator, not answered yet
}

// next returns the next byte, 0 at the end.
func (s *packetSequence) next() byte {
	if len(s.input) == 0 {
		return 0
	}
	b := s.input[0]
	s.input = s.input[1:]
	return b
}

// run performs all steps. Each datagram is one that encodes its packet, so that it shows whether a
// decision comes with the datagram of another packet.
func (s *packetSequence) run() {
	for len(s.input) > 0 {
		switch kind := s.next() % 8; kind {
		case 0, 1, 2:
			s.handle(s.randomPacket(SYN))
		case 3:
			s.handle(s.randomPacket(ACK))
		case 4:
			s.handle(s.randomPacket(Flags(s.next())))
		case 5:
			s.pause(time.Duration(s.next()%64) * time.Millisecond)
		default:
			s.answer()
		}
	}
}

// randomPacket returns a packet of one of few clients, ports and sequence numbers, mostly to the
// route, with the tag of an endpoint or a random one.
func (s *packetSequence) randomPacket(flags Flags) Packet {
	b, c := s.next(), s.next()
	p := Packet{
		Src: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, b & 1}), uint16(b>>1&3)), Dst: s.addr, Flags: flags,
		Seq: uint32(b>>3&3) * 100, Retransmission: int(b >> 5 & 1), Ack: uint32(c) * 7,
	}
	if c%4 == 0 {
		p.Dst = netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 1, 1}), uint16(b&1))
	}
	if !p.Flags.Has(SYN) {
		p.Tag, p.Len = []uint32{Tag("i-1"), Tag("i-2"), uint32(b)}[b%3], int(s.next()&3)*400
	}
	return p
}

// datagramOf encodes the fields of a packet that distinguish it.
func datagramOf(p Packet) []byte {
	raw := p.Src.Addr().AsSlice()
	raw = binary.BigEndian.AppendUint16(raw, p.Src.Port())
	raw = binary.BigEndian.AppendUint16(append(raw, p.Dst.Addr().AsSlice()...), p.Dst.Port())
	return binary.BigEndian.AppendUint32(raw, p.Seq)
}

func (s *packetSequence) handle(p Packet) {
	if s.Decide(s.now, p).Action == Hold {
		s.KeepHeld(p, datagramOf(p))
	}
	s.check(nil)
}

// pause advances the clock in steps of the periodic work.
func (s *packetSequence) pause(d time.Duration) {
	const step = 5 * time.Millisecond
	for ; d > 0; d -= step {
		s.now = s.now.Add(step)
		s.check(s.TickAdmission(s.now))
	}
}

// answer has the allocator answer one of the requests, which may have timed out or been answered
// already.
func (s *packetSequence) answer() {
	s.taken, s.sent = append(s.taken, s.sent...), nil
	if len(s.taken) == 0 {
		return
	}
	b := s.next()
	i := int(b>>2) % len(s.taken)
	r := s.taken[i]
	m := &wire.CreditReply{Life: r.Life, Number: r.Number, Service: r.Service, Domain: r.Domain, Slots: 2, Count: 2, Refused: b&1 == 0}
	if !m.Refused {
		m.Granted = []*wire.GrantedCredit{{Endpoint: uint64(1 + b>>1&1)}}
	}
	if b&2 == 0 {
		s.taken = slices.Delete(s.taken, i, i+1)
	}
	s.check(s.HandleCreditReply(s.now, m))
}

// check asserts that each decision comes with the datagram of its packet, and that the tables of
// held SYNs agree.
func (s *packetSequence) check(resolved []Resolved) {
	for _, r := range resolved {
		s.g.Expect(r.Raw).To(Equal(datagramOf(r.Packet)), "the datagram of the packet")
	}
	s.g.Expect(s.admission.tickets).To(HaveLen(len(s.admission.held)))
	s.g.Expect(len(s.flows)).To(Equal(s.idleOrder.Len()))
}

// checkEmpty asserts that nothing is left once every timeout has passed.
func (s *packetSequence) checkEmpty() {
	s.pause(time.Second)
	s.now = s.now.Add(time.Minute)
	s.sweep(s.now)
	s.pause(time.Second)
	s.g.Expect(s.admission.held).To(BeEmpty())
	s.g.Expect(s.admission.tickets).To(BeEmpty())
	s.g.Expect(s.admission.charges).To(BeEmpty())
	s.g.Expect(s.flows).To(BeEmpty())
	s.g.Expect(s.idleOrder.Len() + s.pendingOpens.Len()).To(BeZero())
	s.g.Expect(len(s.sizeStats)).To(BeNumerically("<=", len(s.routes)), "one for each route, whatever addresses clients name")
	for _, b := range s.byID {
		credits, inProgress := b.holding.Credits()
		s.g.Expect([]int{b.flows, b.pendingRequests, credits, inProgress}).To(Equal([]int{0, 0, 0, 0}), "flows, pending requests, credits and requests in progress of %s", b.ID)
	}
}

// runPacketSequence brings a service into load mode and runs a sequence.
func runPacketSequence(g Gomega, input []byte) {
	s := &packetSequence{admissionTest: newAdmissionTest(), g: g, input: input}
	for port := uint16(1000); s.admission.account.LoadedServices() == 0; port++ {
		s.now = s.now.Add(time.Millisecond)
		s.handle(s.packet(port, 0))
	}
	s.run()
	s.checkEmpty()
}

// Guards against a SYN that replaces a held one of the same addresses: the datagram of the first
// was lost, and forwarding it ended the process.
var _ = Describe("random packets with admission control", func() {
	It("are decided on with their own datagrams, and leave nothing behind", func() {
		const runs, steps = 300, 2000
		for seed := range uint64(runs) {
			rng := rand.New(rand.NewPCG(seed, 3))
			input := make([]byte, steps)
			for i := range input {
				input[i] = byte(rng.Uint32())
			}
			runPacketSequence(NewGomega(func(message string, skip ...int) { Fail(fmt.Sprintf("seed %d: %s", seed, message), skip...) }), input)
		}
	})
})

// FuzzPacketsWithAdmission runs other sequences than these.
func FuzzPacketsWithAdmission(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 8, 1, 6, 1, 6, 1})
	f.Fuzz(func(t *testing.T, input []byte) { runPacketSequence(NewWithT(t), input) })
}
