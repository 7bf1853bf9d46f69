package steer

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/credit"
	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// admissionTest is a Steerer with admission control and one service under load.
type admissionTest struct {
	*Steerer
	now  time.Time
	sent []*wire.CreditRequest
	addr netip.AddrPort
	link float64 // used share of the entry's link
}

func newAdmissionTest() *admissionTest {
	t := &admissionTest{now: time.Unix(1000, 0), addr: netip.MustParseAddrPort("198.18.0.1:443")}
	t.Steerer = New(Config{
		Domain: "a", MaxFlowAge: time.Minute, MaxFlows: 1000, HeartbeatInterval: time.Second,
		Admission: &credit.Config{Entry: "entry-1", Life: 1, Send: func(_ int, m *wire.CreditRequest) bool {
			t.sent = append(t.sent, m)
			return true
		}, Link: func(time.Time) float64 { return t.link }},
	})
	d, _ := document.New(document.Config{
		Version: 1, Services: []document.Service{{Name: "s"}},
		Routes: []document.Route{{Name: "r", Addr: t.addr, Timeout: time.Second, TargetLatency: 400 * time.Millisecond, Shares: []document.Share{{Service: "s", Weight: 1}}}},
	})
	t.SetDocument(t.now, d)
	for i, id := range []string{"i-1", "i-2"} {
		e := registry.Endpoint{ID: id, Number: uint64(i + 1), Service: "s", Domain: "a", Slots: 1, Sequence: 1, Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(80+i))}
		t.learnEndpoint(t.now, e)
	}
	t.SetEntries(1)
	return t
}

// syn returns the decision on the n-th SYN of a client's port.
func (t *admissionTest) syn(port uint16, retransmission int) Decision {
	return t.Decide(t.now, t.packet(port, retransmission))
}

func (t *admissionTest) packet(port uint16, retransmission int) Packet {
	return Packet{Src: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port), Dst: t.addr, Flags: SYN, Seq: uint32(port), Retransmission: retransmission}
}

// overload fills the service with flows until load mode starts and a SYN is held.
func (t *admissionTest) overload(g *WithT) {
	for port := uint16(1); ; port++ {
		t.now = t.now.Add(time.Millisecond)
		if d := t.syn(port, 0); d.Action == Hold {
			break
		}
		g.Expect(port).To(BeNumerically("<", 100))
	}
}

// reply answers the last request.
func (t *admissionTest) reply(granted ...uint64) []Resolved {
	last := t.sent[len(t.sent)-1]
	m := &wire.CreditReply{Life: last.Life, Number: last.Number, Service: last.Service, Domain: last.Domain, Refused: len(granted) == 0, Slots: 2, Count: 2}
	for _, number := range granted {
		m.Granted = append(m.Granted, &wire.GrantedCredit{Endpoint: number})
	}
	return t.HandleCreditReply(t.now, m)
}

func TestGrantedCreditPlacesHeldSYN(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	a.overload(g)
	resolved := a.reply(2)
	g.Expect(resolved).To(HaveLen(1))
	g.Expect(resolved[0].Decision.Action).To(Equal(Forward))
	g.Expect(resolved[0].Decision.ID).To(Equal("i-2"))
	g.Expect(a.syn(resolved[0].Packet.Src.Port(), 1).ID).To(Equal("i-2"), "a retransmission follows the first")
}

func TestRefusedSYNIsResetAtOnce(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	a.overload(g)
	resolved := a.reply()
	g.Expect(resolved).To(HaveLen(1))
	g.Expect(resolved[0].Decision.Action).To(Equal(Reset))
	g.Expect(resolved[0].Decision.Reason).To(Equal(Overloaded))
	g.Expect(resolved[0].Decision.Message().Hops).To(ContainElement(ContainSubstring("admission: refused; service s, priority 0")))
}

// A retransmission that arrives seconds later on a congested link, when the record of its flow is
// gone, must not reset a flow that was opened by the first SYN.
func TestRetransmissionWithoutRecordIsNeverReset(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	a.overload(g)
	a.reply()
	for port := uint16(500); port < 520; port++ {
		d := a.syn(port, 1+int(port)%2)
		g.Expect(d.Action).NotTo(Equal(Reset))
		if d.Action == Hold {
			for _, r := range a.reply() {
				g.Expect(r.Decision.Action).To(Equal(Drop))
			}
		}
	}
}

func TestHeldSYNIsAskedForOnce(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	a.overload(g)
	sent := len(a.sent)
	held := a.sent[sent-1]
	for ticket := range a.admission.held {
		p := a.admission.held[ticket].packet
		p.Retransmission = 1
		g.Expect(a.Decide(a.now, p).Reason).To(Equal(AwaitingCredit))
	}
	g.Expect(a.sent).To(HaveLen(sent))
	g.Expect(held.Full).To(BeTrue(), "the first request carries what the entry holds")
}

// Without an answer the client must not wait: the flow is placed by the entry's own counts.
func TestUnansweredSYNIsPlacedWithin50Milliseconds(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	a.overload(g)
	start := a.now
	var resolved []Resolved
	for len(resolved) == 0 {
		a.now = a.now.Add(5 * time.Millisecond)
		resolved = a.TickAdmission(a.now)
		g.Expect(a.now.Sub(start)).To(BeNumerically("<=", 50*time.Millisecond))
	}
	g.Expect(resolved[0].Decision.Action).To(Equal(Forward))
}

// A probe that misses while the entry's own link is full must not end the flows of its endpoint.
func TestMissedProbesOnFullLinkDoNotEndFlows(t *testing.T) {
	for _, link := range []float64{0.1, 0.95} {
		g, a := NewWithT(t), newAdmissionTest()
		d := a.syn(1, 0)
		p := a.packet(1, 0)
		p.Flags, p.Seq, p.Ack, p.Tag = ACK, p.Seq+1, 1, d.Tag
		a.Decide(a.now, p)
		a.link = link
		b := a.byID[d.ID]
		for range unreachableThreshold {
			started := a.now
			a.now = a.now.Add(200 * time.Millisecond)
			a.lastResponseAt = a.now // of another endpoint
			a.FinishProbe(a.now, Probe{ID: b.ID, Addr: b.Addr, Why: UnackedData, startedAt: started}, Missed)
		}
		g.Expect(b.reach.lost).To(Equal(link < congestedLinkShare))
	}
}

// A full link must reject new flows before it delays open ones, whether the service is full or not.
func TestFullLinkRejectsNewFlows(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	a.link = 1
	d := a.syn(1, 0)
	g.Expect(d.Action).To(Equal(Reset))
	g.Expect(d.Admission.Outcome).To(Equal(credit.LinkFull))
	a.link = 0.5
	g.Expect(a.syn(2, 0).Action).To(Equal(Forward))
}

// No open flow is reset for load, whatever its service holds.
func TestOpenFlowIsNotResetUnderLoad(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	d := a.syn(900, 0)
	g.Expect(d.Action).To(Equal(Forward))
	a.overload(g)
	a.reply()
	p := a.packet(900, 0)
	p.Flags, p.Seq, p.Ack, p.Len, p.Tag = ACK, 901, 1, 100, d.Tag
	g.Expect(a.Decide(a.now, p).Action).To(Equal(Forward))
}

// Clients that vanish with their request unanswered must not fill the service: what they held counts
// for a second at most.
func TestVanishedClientsCountForASecond(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	for port := uint16(1); port < 20; port++ {
		if d := a.syn(port, 0); d.Action == Forward {
			p := a.packet(port, 0)
			p.Flags, p.Seq, p.Ack, p.Len, p.Tag = ACK, p.Seq+1, 1, 100, d.Tag
			a.Decide(a.now, p)
		}
	}
	for range 220 {
		a.now = a.now.Add(5 * time.Millisecond)
		a.TickAdmission(a.now)
	}
	total := 0
	for h := range a.admission.backends {
		_, n := h.Credits()
		total += n
	}
	g.Expect(total).To(BeZero())
}

// Every count that a flow raised must be lowered when it ends, or the entry would stay in load
// mode and hold credits for ever.
func TestRequestsInProgressReturnToZero(t *testing.T) {
	g, a := NewWithT(t), newAdmissionTest()
	for port := uint16(1); port < 60; port++ {
		d := a.syn(port, 0)
		if d.Action != Forward {
			continue
		}
		p := a.packet(port, 0)
		p.Flags, p.Seq, p.Ack, p.Len, p.Tag = ACK, p.Seq+1, 1, 100, d.Tag
		a.Decide(a.now, p)
		switch port % 3 {
		case 0:
			p.Ack, p.Len, p.Seq = 500, 0, p.Seq+100
			a.Decide(a.now, p)
		case 1:
			p.Flags, p.Len = ACK|FIN, 0
			a.Decide(a.now, p)
		}
	}
	for range 20 { // held SYNs are placed by own counts
		a.now = a.now.Add(5 * time.Millisecond)
		a.TickAdmission(a.now)
	}
	a.now = a.now.Add(20 * time.Second)
	a.Decide(a.now, a.packet(999, 0)) // expires idle flows
	total := 0
	for h := range a.admission.backends {
		_, n := h.Credits()
		total += n
	}
	g.Expect(total).To(BeNumerically("<=", 1), "the last SYN alone")
}
