package node

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the document fetcher", func() {
	start := time.Unix(5000, 0)
	var f *documentFetcher
	ginkgo.BeforeEach(func() { f = newDocumentFetcher() })

	ginkgo.It("requests a version from one control instance at a time", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start, "b", 7)
		Expect(f.nextSource(start, 3)).To(Equal("a"))
		Expect(f.nextSource(start, 3)).To(BeEmpty())
	})

	ginkgo.It("does not request a version that is held already", func() {
		f.recordOffer(start, "a", 7)
		Expect(f.nextSource(start, 7)).To(BeEmpty())
		Expect(f.nextSource(start, 9)).To(BeEmpty())
	})

	ginkgo.It("requests the newest version and skips superseded ones", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start, "b", 8)
		Expect(f.nextSource(start, 3)).To(Equal("b"))
		f.recordOffer(start, "a", 9)
		f.recordOffer(start, "a", 10)
		f.markAnswered("b")
		Expect(f.nextSource(start, 8)).To(Equal("a"))
		f.markAnswered("a")
		Expect(f.nextSource(start, 10)).To(BeEmpty())
	})

	ginkgo.It("tries another control instance after a timeout or a lost link", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start, "b", 7)
		Expect(f.nextSource(start, 3)).To(Equal("a"))
		Expect(f.nextSource(start.Add(fetchTimeout), 3)).To(Equal("b"))
		f.removeSource("b")
		Expect(f.nextSource(start.Add(fetchTimeout), 3)).To(Equal("a"))
	})

	ginkgo.It("retries the same control instance if it is the only one", func() {
		f.recordOffer(start, "a", 7)
		Expect(f.nextSource(start, 3)).To(Equal("a"))
		Expect(f.nextSource(start.Add(fetchTimeout), 3)).To(Equal("a"))
	})

	ginkgo.It("returns the age of the offer of the newest version only", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start.Add(time.Second), "b", 7)
		age, newest := f.offerAge(start.Add(2*time.Second), 7)
		Expect(newest).To(BeTrue())
		Expect(age).To(Equal(2 * time.Second))
		f.recordOffer(start.Add(3*time.Second), "b", 8)
		_, newest = f.offerAge(start.Add(4*time.Second), 7)
		Expect(newest).To(BeFalse())
	})
})
