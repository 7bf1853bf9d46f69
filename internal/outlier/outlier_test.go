package outlier

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

var _ = Describe("a Tracker", func() {
	start := time.Unix(5000, 0)
	var t *Tracker
	BeforeEach(func() { t = New() })

	It("ejects an endpoint that several entries report, then starts over", func() {
		for range 2 {
			Expect(t.Report(start, "i-1", "a")).To(BeFalse())
			Expect(t.Report(start, "i-1", "a")).To(BeFalse())
			Expect(t.Report(start.Add(time.Second), "i-1", "b")).To(BeFalse())
			Expect(t.Report(start.Add(2*time.Second), "i-1", "c")).To(BeTrue())
		}
	})

	It("never ejects an endpoint that only one entry reports", func() {
		for n := range 1000 {
			Expect(t.Report(start.Add(time.Duration(n)*time.Millisecond), "i-1", "a")).To(BeFalse())
		}
		Expect(t.reports["i-1"]).To(HaveLen(1))
	})

	It("never ejects an endpoint for isolated reports, such as lost packets and long requests cause", func() {
		for n := range 100 {
			Expect(t.Report(start.Add(time.Duration(n)*2*time.Second), "i-1", fmt.Sprint("e", n))).To(BeFalse())
		}
	})

	It("tracks endpoints separately and drops those without recent reports", func() {
		for n := range maxTracked {
			Expect(t.Report(start, fmt.Sprint("i-", n), "a")).To(BeFalse())
		}
		Expect(t.Report(start, "one more", "a")).To(BeFalse())
		Expect(t.reports).To(HaveLen(maxTracked))
		Expect(t.Report(start.Add(Window), "one more", "a")).To(BeFalse())
		Expect(t.reports).To(HaveLen(1))
	})
})
