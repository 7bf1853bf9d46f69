package node

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the fetch of a document", func() {
	start := time.Unix(5000, 0)
	var f *documentFetcher
	ginkgo.BeforeEach(func() { f = newDocumentFetcher() })

	ginkgo.It("asks one control instance, though all offer", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start, "b", 7)
		Expect(f.nextSource(start, 3)).To(Equal("a"))
		Expect(f.nextSource(start, 3)).To(BeEmpty())
	})

	ginkgo.It("asks nobody for what is held", func() {
		f.recordOffer(start, "a", 7)
		Expect(f.nextSource(start, 7)).To(BeEmpty())
		Expect(f.nextSource(start, 9)).To(BeEmpty())
	})

	ginkgo.It("asks for the newest, and skips what was overtaken meanwhile", func() {
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

	ginkgo.It("asks another one when the first does not answer in time, or is lost", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start, "b", 7)
		Expect(f.nextSource(start, 3)).To(Equal("a"))
		Expect(f.nextSource(start.Add(fetchTimeout), 3)).To(Equal("b"))
		f.removeSource("b")
		Expect(f.nextSource(start.Add(fetchTimeout), 3)).To(Equal("a"))
	})

	ginkgo.It("asks the same one again when it is the only one", func() {
		f.recordOffer(start, "a", 7)
		Expect(f.nextSource(start, 3)).To(Equal("a"))
		Expect(f.nextSource(start.Add(fetchTimeout), 3)).To(Equal("a"))
	})

	ginkgo.It("tells how long a version has been on offer, unless a newer one is", func() {
		f.recordOffer(start, "a", 7)
		f.recordOffer(start.Add(time.Second), "b", 7)
		lag, known := f.offerAge(start.Add(2*time.Second), 7)
		Expect(known).To(BeTrue())
		Expect(lag).To(Equal(2 * time.Second))
		f.recordOffer(start.Add(3*time.Second), "b", 8)
		_, known = f.offerAge(start.Add(4*time.Second), 7)
		Expect(known).To(BeFalse())
	})
})
