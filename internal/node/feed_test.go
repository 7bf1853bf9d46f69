package node

import (
	"io"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/registry"
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
})
