package work

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/packet"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/wire"
)

// newPair returns the owner of the service's work among two entries, and the
// other entry, which is its second holder.
func newPair(t *testing.T, lease time.Duration) (owner, second *Engine, o *overload) {
	t.Helper()
	o = newOverload()
	b := route.NewBuilder(o.table, 2)
	b.PutMember(route.NewMember("e1", "d", 1, false, 2))
	o.table = b.Table()
	engines := map[string]*Engine{}
	for _, name := range []string{"e0", "e1"} {
		e := New(Config{Self: name, Domain: "d", Incarnation: 1, Requests: 100, HeldKeys: 100, HoldRetry: time.Second, RetryFloor: 5, Linger: 3 * time.Second})
		first := *o.view(lease)
		first.Table = onlyMembers(o.table)
		e.SetView(o.now, &first)
		e.SetView(o.now, o.view(lease))
		engines[name] = e
	}
	name, other := route.Rank(o.table.Members(), 1, route.WorkBucket)
	return engines[name], engines[other], o
}

// onlyMembers is the table before the service was there, so that nobody has to
// be waited for.
func onlyMembers(t *route.Table) *route.Table {
	b := route.NewBuilder(route.Empty(), 1)
	for _, m := range t.Members() {
		b.PutMember(m)
	}
	return b.Table()
}

func (o *overload) view(lease time.Duration) *View {
	return &View{Table: o.table, LeaseUntil: o.now.Add(lease), Domains: []string{"d"}, Reachable: []string{"e0", "e1"}}
}

func (o *overload) ask(e *Engine, number uint64) *packet.Packet {
	p := o.request(number, 0)
	e.Request(o.now, o.table.Service(1), &o.table.Service(1).Classes()[0], p)
	return p
}

// holdIn returns the keys that the owner asks to be held.
func holdIn(outs []Out) *wire.Hold {
	for _, out := range outs {
		if out.Kind == ToPeer && len(out.Message.GetHold().GetKeys()) > 0 {
			return out.Message.GetHold()
		}
	}
	return nil
}

func kinds(outs []Out) map[OutKind]int {
	n := map[OutKind]int{}
	for _, out := range outs {
		n[out.Kind]++
	}
	return n
}

func TestNothingIsSaidOrDispatchedBeforeTheKeyIsHeld(t *testing.T) {
	g := gomega.NewWithT(t)
	owner, second, o := newPair(t, time.Hour)
	owner.TakeOut()
	o.ask(owner, 1)
	outs := owner.TakeOut()
	g.Expect(kinds(outs)[ToBackend] + kinds(outs)[ToCaller]).To(gomega.BeZero())
	hold := holdIn(outs)
	g.Expect(hold).NotTo(gomega.BeNil())
	second.Peer(o.now, &wire.Peer{From: owner.config.Self, Body: &wire.Peer_Hold{Hold: hold}})
	held := second.TakeOut()[0].Message
	owner.Peer(o.now, held)
	g.Expect(kinds(owner.TakeOut())[ToBackend]).To(gomega.Equal(1))
	owner.Peer(o.now, held)
	o.ask(owner, 1)
	g.Expect(kinds(owner.TakeOut())[ToBackend]).To(gomega.BeZero(), "doubled messages dispatch nothing")
}

func TestNothingIsDispatchedOrDeniedWithoutALease(t *testing.T) {
	g := gomega.NewWithT(t)
	owner, second, o := newPair(t, 100*time.Millisecond)
	owner.TakeOut()
	o.ask(owner, 1)
	hold := holdIn(owner.TakeOut())
	second.Peer(o.now, &wire.Peer{From: owner.config.Self, Body: &wire.Peer_Hold{Hold: hold}})
	held := second.TakeOut()[0].Message
	late := o.now.Add(200 * time.Millisecond) // the owner was paused; the deadline is later
	owner.Peer(late, held)
	owner.Tick(late)
	for _, out := range owner.TakeOut() {
		g.Expect(out.Kind).NotTo(gomega.Equal(ToBackend))
		if out.Kind == ToCaller {
			g.Expect(string(out.Inner)).NotTo(gomega.ContainSubstring(notRunText), "another owner may have run it")
		}
	}
	e := o.request(2, 0)
	owner.Request(late, o.table.Service(1), &o.table.Service(1).Classes()[0], e)
	g.Expect(owner.TakeOut()).To(gomega.BeEmpty(), "a packet may have lain here through the pause")
}

func TestWhatIsSentSaysUntilWhenItIsTrue(t *testing.T) {
	g := gomega.NewWithT(t)
	owner, second, o := newPair(t, time.Second)
	owner.TakeOut()
	o.ask(owner, 1)
	second.Peer(o.now, &wire.Peer{From: owner.config.Self, Body: &wire.Peer_Hold{Hold: holdIn(owner.TakeOut())}})
	owner.Peer(o.now, second.TakeOut()[0].Message)
	for _, out := range owner.TakeOut() {
		if out.Kind == ToBackend {
			g.Expect(out.Until).To(gomega.Equal(o.now.Add(time.Second)))
		}
	}
}
