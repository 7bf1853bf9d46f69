package explain_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/explain"
	"oxbowsaddle/internal/wire"
	"oxbowsaddle/internal/work"
)

// TestFindKeepsTheOrder holds steps of the same instant in the order in which
// they were taken, also once the ring has gone round.
func TestFindKeepsTheOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	ring := explain.NewRing[*wire.Decision](4)
	for i := range 6 {
		ring.Add(&wire.Decision{Subject: "s", Action: strconv.Itoa(i)})
	}
	actions := func(most int) string {
		text := ""
		for _, d := range ring.Find(most, func(*wire.Decision) bool { return true }) {
			text += d.Action
		}
		return text
	}
	g.Expect(actions(9)).To(gomega.Equal("2345"))
	g.Expect(actions(2)).To(gomega.Equal("45"))
}

func TestWorkNamesWhatDecided(t *testing.T) {
	g := gomega.NewWithT(t)
	e := work.Event{Token: []byte{0xab, 1}, State: work.Refused, Cause: work.QueueFull}
	d := explain.Work(time.Unix(1, 0), "plateau-1", e, "e1", 9, 7)
	g.Expect(d.Subject).To(gomega.Equal("ab01"))
	g.Expect(d.Index).To(gomega.Equal(uint64(9)))
	g.Expect(d.Active).To(gomega.Equal(uint64(7)))
	g.Expect(d.NextStep).To(gomega.ContainSubstring("queue_limit"))
}
