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

// recordingStream is the control instance's end of a link that keeps what is sent.
type recordingStream struct {
	wire.DRPCDirectory_LinkStream
	sent   []*wire.Frame
	onSend func(*wire.Frame) // nil where nobody listens
}

func (s *recordingStream) Send(f *wire.Frame) error {
	s.sent = append(s.sent, f)
	if s.onSend != nil {
		s.onSend(f)
	}
	return nil
}

var _ = ginkgo.Describe("the list for entries that know nothing", func() {
	var control *Control
	var now time.Time
	endpoint := func(n byte) registry.Endpoint {
		return registry.Endpoint{
			ID: string('a' + rune(n)), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80), Sequence: 1,
		}
	}
	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		control = NewControl(ControlConfig{Beat: time.Second, Log: log.New(io.Discard), Now: func() time.Time { return now }})
		control.endpoints.heartbeat(endpoint(1))
	})
	// newcomer returns the feed of an entry that has just been told all.
	newcomer := func(known registry.Digest) (*entryFeed, *recordingStream) {
		stream := &recordingStream{}
		f := newEntryFeed(control, stream, &wire.Hello{Id: "entry", Domain: "plateau"})
		Expect(f.subscribe(&wire.Subscription{Digest: known[:]})).To(Succeed())
		return f, stream
	}

	ginkgo.It("is made once for all that ask at about the same time", func() {
		_, first := newcomer(registry.Digest{})
		_, second := newcomer(registry.Digest{})
		Expect(second.sent[0]).To(BeIdenticalTo(first.sent[0]))
		Expect(first.sent[0].GetReports().Endpoints).To(HaveLen(1))
		now = now.Add(initialListLifetime + time.Millisecond)
		_, third := newcomer(registry.Digest{})
		Expect(third.sent[0]).NotTo(BeIdenticalTo(first.sent[0]))
	})

	ginkgo.It("is followed by what has changed since it was made", func() {
		control.endpoints.fullBatches.appendNext()
		newcomer(registry.Digest{})
		control.endpoints.heartbeat(endpoint(2))
		f, stream := newcomer(registry.Digest{})
		Expect(stream.sent[0].GetReports().Endpoints).To(HaveLen(1))
		control.endpoints.fullBatches.appendNext()
		Expect(f.sendBatches(false)).To(Succeed())
		Expect(stream.sent[1].GetReports().Endpoints).To(ConsistOf(HaveField("Id", endpoint(2).ID)))
	})

	ginkgo.It("is made anew as long as no endpoint is known", func() {
		control = NewControl(ControlConfig{Beat: time.Second, Log: log.New(io.Discard), Now: func() time.Time { return now }})
		newcomer(registry.Digest{})
		control.endpoints.heartbeat(endpoint(1))
		_, stream := newcomer(registry.Digest{})
		Expect(stream.sent[0].GetReports().Endpoints).To(HaveLen(1))
	})

	ginkgo.It("begins with the entry's own failure domain, and is whole only with the rest", func() {
		near := endpoint(2)
		near.Domain = "plateau"
		control.endpoints.heartbeat(near)
		now = now.Add(time.Minute) // every endpoint has had the time to be heard
		f, stream := newcomer(registry.Digest{})
		Expect(stream.sent).To(HaveLen(1), "the document may come before the rest")
		Expect(f.remainderDue).NotTo(BeNil())
		doc, _ := document.New(document.Config{Version: 1})
		control.published.Store(control.published.Load().with(doc, nil, true))
		Expect(f.handleDocumentRequest(0)).To(Succeed())
		Expect(f.remainderDue).To(BeNil())
		Expect(f.sendRemainder()).To(Succeed(), "which is no more")
		Expect(stream.sent).To(HaveLen(3))
		Expect(stream.sent[1].GetDocument()).NotTo(BeNil())
		first, rest := stream.sent[0].GetReports(), stream.sent[2].GetReports()
		Expect(first.Endpoints).To(ConsistOf(HaveField("Id", near.ID)))
		Expect(first.More).To(BeTrue())
		Expect(first.Whole).To(BeFalse(), "an endpoint that it does not name may live")
		Expect(rest.Endpoints).To(ConsistOf(HaveField("Id", endpoint(1).ID)))
		Expect(rest.More).To(BeFalse())
		Expect(rest.Whole).To(BeTrue())
		Expect(f.sentRevision).To(Equal(control.endpoints.fullBatches.lastRevision()), "where the next batch goes on")
		Expect(f.sentRevision).To(BeNumerically("<=", rest.Number), "so that nothing is left out between")
	})

	ginkgo.It("is told to its end though the entry asks for no document", func() {
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

	ginkgo.It("is not for an entry that knows some", func() {
		var known registry.Digest
		known.Toggle(endpoint(1).ID, registry.Sum(endpoint(1)))
		newcomer(registry.Digest{})
		_, stream := newcomer(known)
		Expect(stream.sent[0].GetReports().Endpoints).To(BeEmpty())
	})
})
