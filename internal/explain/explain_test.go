package explain_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/wire"
	"oxbowsaddle/internal/work"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}

var _ = Describe("a Ring", func() {
	all := func(*wire.Decision) bool { return true }

	It("returns decisions in the order they were added, also after wrapping around", func() {
		ring := explain.NewRing[*wire.Decision](4)
		for i := range 6 {
			ring.Add(&wire.Decision{Subject: "s", Action: strconv.Itoa(i)})
		}
		actions := func(most int) string {
			text := ""
			for _, d := range ring.Find(most, all) {
				text += d.Action
			}
			return text
		}
		Expect(actions(9)).To(Equal("2345"))
		Expect(actions(2)).To(Equal("45"))
	})

	It("returns only added decisions before it is full", func() {
		ring := explain.NewRing[int](4)
		ring.Add(0)
		Expect(ring.Find(9, func(n int) bool { return n == 0 })).To(Equal([]int{0}), "unused positions must not match")
	})
})

var _ = Describe("the record of a request's state change", func() {
	It("contains the token, the log indexes and the next step", func() {
		e := work.Event{Token: []byte{0xab, 1}, State: work.Refused, Cause: work.QueueFull}
		d := explain.WorkDecision(time.Unix(1, 0), "plateau-1", e, "e1", 9, 7)
		Expect(d.Subject).To(Equal("ab01"))
		Expect(d.Index).To(Equal(uint64(9)))
		Expect(d.Active).To(Equal(uint64(7)))
		Expect(d.NextStep).To(ContainSubstring("queue_limit"))
	})
})
