package node

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// recordingStream is the control instance's end of a link; it records sent frames.
type recordingStream struct {
	wire.DRPCDirectory_LinkStream
	sent   []*wire.Frame
	onSend func(*wire.Frame) // may be nil
}

func (s *recordingStream) Send(f *wire.Frame) error {
	s.sent = append(s.sent, f)
	if s.onSend != nil {
		s.onSend(f)
	}
	return nil
}

var _ = ginkgo.Describe("the initial endpoint list", func() {
	var control *Control
	var now time.Time
	endpoint := func(n byte) registry.Endpoint {
		return registry.Endpoint{
			ID: string('a' + rune(n)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), Sequence: 1,
		}
	}
	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		control = NewControl(ControlConfig{HeartbeatInterval: time.Second, Log: log.New(io.Discard), Now: func() time.Time { return now }})
		control.endpoints.heartbeat(endpoint(1))
	})
	// newFeed returns the feed of an entry that has just subscribed with the given digest,
	// and its stream.
	newFeed := func(known registry.Digest) (*entryFeed, *recordingStream) {
		stream := &recordingStream{}
		f := newEntryFeed(control, stream, &wire.Hello{Id: "entry", Domain: "plateau"})
		Expect(f.subscribe(&wire.Subscription{Digest: known[:]})).To(Succeed())
		return f, stream
	}

	ginkgo.It("is shared by entries that subscribe within initialListLifetime", func() {
		_, first := newFeed(registry.Digest{})
		_, second := newFeed(registry.Digest{})
		Expect(second.sent[0]).To(BeIdenticalTo(first.sent[0]))
		Expect(first.sent[0].GetReports().Endpoints).To(HaveLen(1))
		now = now.Add(initialListLifetime + time.Millisecond)
		_, third := newFeed(registry.Digest{})
		Expect(third.sent[0]).NotTo(BeIdenticalTo(first.sent[0]))
	})

	ginkgo.It("is followed by later changes", func() {
		control.endpoints.fullBatches.appendNext()
		newFeed(registry.Digest{})
		control.endpoints.heartbeat(endpoint(2))
		f, stream := newFeed(registry.Digest{})
		Expect(stream.sent[0].GetReports().Endpoints).To(HaveLen(1))
		control.endpoints.fullBatches.appendNext()
		Expect(f.sendBatches(false)).To(Succeed())
		Expect(stream.sent[1].GetReports().Endpoints).To(ConsistOf(HaveField("Id", endpoint(2).ID)))
	})

	ginkgo.It("is not reused while it is empty", func() {
		control = NewControl(ControlConfig{HeartbeatInterval: time.Second, Log: log.New(io.Discard), Now: func() time.Time { return now }})
		newFeed(registry.Digest{})
		control.endpoints.heartbeat(endpoint(1))
		_, stream := newFeed(registry.Digest{})
		Expect(stream.sent[0].GetReports().Endpoints).To(HaveLen(1))
	})

	ginkgo.It("begins with the entry's own failure domain, and is complete only with the remainder", func() {
		near := endpoint(2)
		near.Domain = "plateau"
		control.endpoints.heartbeat(near)
		now = now.Add(time.Minute) // every endpoint has had time to send a heartbeat
		f, stream := newFeed(registry.Digest{})
		Expect(stream.sent).To(HaveLen(1), "the document may be sent before the remainder")
		Expect(f.remainderDue).NotTo(BeNil())
		doc, _ := document.New(document.Config{Version: 1})
		control.published.Store(control.published.Load().with(doc, nil, true))
		Expect(f.handleDocumentRequest(0)).To(Succeed())
		Expect(f.remainderDue).To(BeNil())
		Expect(f.sendRemainder()).To(Succeed(), "the remainder is sent only once")
		Expect(stream.sent).To(HaveLen(3))
		Expect(stream.sent[1].GetDocument()).NotTo(BeNil())
		first, rest := stream.sent[0].GetReports(), stream.sent[2].GetReports()
		Expect(first.Endpoints).To(ConsistOf(HaveField("Id", near.ID)))
		Expect(first.More).To(BeTrue())
		Expect(first.Whole).To(BeFalse(), "endpoints that are not listed yet may be alive")
		Expect(rest.Endpoints).To(ConsistOf(HaveField("Id", endpoint(1).ID)))
		Expect(rest.More).To(BeFalse())
		Expect(rest.Whole).To(BeTrue())
		Expect(f.sentRevision).To(Equal(control.endpoints.fullBatches.lastRevision()), "the next batch begins here")
		Expect(f.sentRevision).To(BeNumerically("<=", rest.Number), "no change is lost in between")
	})

	ginkgo.It("is completed even if the entry does not request the document", func() {
		near := endpoint(2)
		near.Domain = "plateau"
		control.endpoints.heartbeat(near)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		stream := &recordingStream{}
		stream.onSend = func(f *wire.Frame) {
			if reports := f.GetReports(); reports != nil && !reports.More {
				cancel()
			}
		}
		f := newEntryFeed(control, stream, &wire.Hello{Id: "entry", Domain: "plateau"})
		f.subscriptions <- &wire.Subscription{}
		Expect(f.run(ctx)).To(MatchError(context.Canceled))
		Expect(stream.sent[len(stream.sent)-1].GetReports().Endpoints).To(ConsistOf(HaveField("Id", endpoint(1).ID)))
	})

	ginkgo.It("is not sent to an entry that has records", func() {
		var known registry.Digest
		known.Toggle(endpoint(1).ID, registry.Sum(endpoint(1)))
		newFeed(registry.Digest{})
		_, stream := newFeed(known)
		Expect(stream.sent[0].GetReports().Endpoints).To(BeEmpty())
	})
})
