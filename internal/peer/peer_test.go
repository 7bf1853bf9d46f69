package peer

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/route"
)

func newTable() *route.Table {
	b := route.NewBuilder(route.Empty(), 1)
	for name, domain := range map[string]string{"a1": "a", "a2": "a", "b1": "b"} {
		b.PutMember(route.NewMember(name, domain, 1, false, 1))
	}
	return b.Table()
}

func newTracker() *Tracker {
	return New(Config{Self: "a1", Domain: "a", HeardFor: time.Second, IslandAfter: 800 * time.Millisecond})
}

// look asks every 100 ms, as the control goroutine does, and hears a2 each time.
func look(t *Tracker, from time.Time, d time.Duration, leased bool) (last time.Time, island bool) {
	for now := from; now.Before(from.Add(d)); now = now.Add(100 * time.Millisecond) {
		t.Heard(now, "a2", leased)
		last, island = now, t.Island(now, from.Add(-time.Second), newTable())
	}
	return last, island
}

func TestADomainCutOffServesByItself(t *testing.T) {
	g := gomega.NewWithT(t)
	_, island := look(newTracker(), time.Unix(100, 0), 2*time.Second, false)
	g.Expect(island).To(gomega.BeTrue())
	_, island = look(newTracker(), time.Unix(100, 0), 2*time.Second, true)
	g.Expect(island).To(gomega.BeFalse(), "a peer holds a lease, so the others go on")
}

func TestAnEntryAloneDoesNot(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTracker()
	island := false
	for n := range 30 {
		now := time.Unix(100, 0).Add(time.Duration(n) * 100 * time.Millisecond)
		island = tracker.Island(now, time.Unix(99, 0), newTable())
	}
	g.Expect(island).To(gomega.BeFalse(), "it may be the one that is cut off")
	tracker.SetGone([]string{"a2"})
	for n := range 30 {
		now := time.Unix(104, 0).Add(time.Duration(n) * 100 * time.Millisecond)
		island = tracker.Island(now, time.Unix(99, 0), newTable())
	}
	g.Expect(island).To(gomega.BeTrue(), "the platform says that nobody else is there")
}

// What is heard right after a pause was said long before.
func TestAPauseCountsAnew(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTracker()
	last, island := look(tracker, time.Unix(100, 0), 700*time.Millisecond, false)
	g.Expect(island).To(gomega.BeFalse())
	awake := last.Add(10 * time.Second)
	tracker.Heard(awake, "a2", false)
	g.Expect(tracker.Island(awake, time.Unix(99, 0), newTable())).To(gomega.BeFalse())
}
