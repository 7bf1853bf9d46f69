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
		f.offer("a", 7)
		f.offer("b", 7)
		Expect(f.next(start, 3)).To(Equal("a"))
		Expect(f.next(start, 3)).To(BeEmpty())
	})

	ginkgo.It("asks nobody for what is held", func() {
		f.offer("a", 7)
		Expect(f.next(start, 7)).To(BeEmpty())
		Expect(f.next(start, 9)).To(BeEmpty())
	})

	ginkgo.It("asks for the newest, and skips what was overtaken meanwhile", func() {
		f.offer("a", 7)
		f.offer("b", 8)
		Expect(f.next(start, 3)).To(Equal("b"))
		f.offer("a", 9)
		f.offer("a", 10)
		f.arrived("b")
		Expect(f.next(start, 8)).To(Equal("a"))
		f.arrived("a")
		Expect(f.next(start, 10)).To(BeEmpty())
	})

	ginkgo.It("asks another one when the first does not answer in time, or is lost", func() {
		f.offer("a", 7)
		f.offer("b", 7)
		Expect(f.next(start, 3)).To(Equal("a"))
		Expect(f.next(start.Add(fetchMost), 3)).To(Equal("b"))
		f.lost("b")
		Expect(f.next(start.Add(fetchMost), 3)).To(Equal("a"))
	})

	ginkgo.It("asks the same one again when it is the only one", func() {
		f.offer("a", 7)
		Expect(f.next(start, 3)).To(Equal("a"))
		Expect(f.next(start.Add(fetchMost), 3)).To(Equal("a"))
	})
})
