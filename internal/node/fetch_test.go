package node

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the fetch of a document", func() {
	start := time.Unix(5000, 0)
	var f *fetch
	ginkgo.BeforeEach(func() { f = newFetch() })

	ginkgo.It("asks one control instance, though all offer", func() {
		f.offer(start, "a", 7)
		f.offer(start, "b", 7)
		Expect(f.next(start, 3)).To(Equal("a"))
		Expect(f.next(start, 3)).To(BeEmpty())
	})

	ginkgo.It("asks nobody for what is held", func() {
		f.offer(start, "a", 7)
		Expect(f.next(start, 7)).To(BeEmpty())
		Expect(f.next(start, 9)).To(BeEmpty())
	})

	ginkgo.It("asks for the newest, and skips what was overtaken meanwhile", func() {
		f.offer(start, "a", 7)
		f.offer(start, "b", 8)
		Expect(f.next(start, 3)).To(Equal("b"))
		f.offer(start, "a", 9)
		f.offer(start, "a", 10)
		f.arrived("b")
		Expect(f.next(start, 8)).To(Equal("a"))
		f.arrived("a")
		Expect(f.next(start, 10)).To(BeEmpty())
	})

	ginkgo.It("asks another one when the first does not answer in time, or is lost", func() {
		f.offer(start, "a", 7)
		f.offer(start, "b", 7)
		Expect(f.next(start, 3)).To(Equal("a"))
		Expect(f.next(start.Add(fetchMost), 3)).To(Equal("b"))
		f.lost("b")
		Expect(f.next(start.Add(fetchMost), 3)).To(Equal("a"))
	})

	ginkgo.It("asks the same one again when it is the only one", func() {
		f.offer(start, "a", 7)
		Expect(f.next(start, 3)).To(Equal("a"))
		Expect(f.next(start.Add(fetchMost), 3)).To(Equal("a"))
	})

	ginkgo.It("tells how long a version has been on offer, unless a newer one is", func() {
		f.offer(start, "a", 7)
		f.offer(start.Add(time.Second), "b", 7)
		lag, known := f.lag(start.Add(2*time.Second), 7)
		Expect(known).To(BeTrue())
		Expect(lag).To(Equal(2 * time.Second))
		f.offer(start.Add(3*time.Second), "b", 8)
		_, known = f.lag(start.Add(4*time.Second), 7)
		Expect(known).To(BeFalse())
	})
})
