package node

import (
	"io"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

var _ = ginkgo.Describe("what an entry is told of endpoints", func() {
	endpoint := registry.Endpoint{ID: "i-1", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Sequence: 1}
	var control *Control
	ginkgo.BeforeEach(func() {
		control = NewControl(ControlConfig{Beat: time.Second, Log: log.New(io.Discard), Now: SteadyClock()})
		control.endpoints.hear(endpoint)
	})

	ginkgo.It("is all at first, and then only changes", func() {
		feed := &entryFeed{control: control}
		Expect(feed.reports().Endpoints).To(HaveLen(1))
		feed.sent = control.endpoints.changed()
		Expect(feed.reports().Endpoints).To(BeEmpty())
		control.endpoints.leave("i-1")
		Expect(feed.reports().Endpoints).To(HaveLen(1))
	})

	ginkgo.It("leaves out what another control instance told it already", func() {
		feed := &entryFeed{control: control}
		feed.known.Toggle(endpoint.ID, registry.Sum(endpoint))
		Expect(feed.reports().Endpoints).To(BeEmpty())
		control.endpoints.leave("i-1")
		Expect(feed.reports().Endpoints).To(HaveLen(1))
	})

	ginkgo.It("is the sums of what changed where it is told briefly", func() {
		feed := &entryFeed{control: control, brief: true}
		Expect(feed.reports().Endpoints).To(HaveLen(1), "all at first")
		feed.sent = control.endpoints.changed()
		other := endpoint
		other.ID, other.Addr = "i-2", netip.MustParseAddrPort("10.0.0.2:80")
		control.endpoints.hear(other)
		told := feed.reports()
		Expect(told.Endpoints).To(BeEmpty())
		Expect(told.Sums).To(HaveLen(1))
		Expect(told.Sums[0].Id).To(Equal("i-2"))
		Expect(control.endpoints.records([]string{"i-2", "unknown"}).Endpoints).To(ConsistOf(HaveField("Id", "i-2")))
	})

	ginkgo.It("names the control instances once, and says afterwards that they are the same", func() {
		at := time.Duration(0)
		roster := func(led bool, ids ...string) *madeRoster {
			r := &wire.Roster{Leads: led, Voters: []string{"c1"}}
			for _, id := range ids {
				at += time.Second
				r.Instances = append(r.Instances, &wire.ControlInstance{Id: id, Address: id + ":1", Front: id + ":2", AgeNanos: int64(at)})
			}
			return &madeRoster{roster: r}
		}
		stream := &recordingStream{}
		feed := newEntryFeed(control, stream, &wire.Hello{Id: "entry"})
		sent := func(made *madeRoster) *wire.Roster {
			control.roster.Store(made)
			Expect(feed.sendRoster()).To(Succeed())
			return stream.sent[len(stream.sent)-1].GetRoster()
		}
		Expect(sent(roster(true, "c1", "c2")).Instances).To(HaveLen(2))
		again := sent(roster(false, "c1", "c2"))
		Expect(again.Same).To(BeTrue(), "though they were heard later")
		Expect(again.Leads).To(BeFalse())
		Expect(again.Instances).To(BeEmpty())
		Expect(sent(roster(true, "c1", "c2")).Leads).To(BeTrue())
		Expect(sent(roster(true, "c1", "c3")).Instances).To(HaveLen(2))
		Expect(sent(roster(true, "c1", "c3")).Same).To(BeTrue())
	})
})
