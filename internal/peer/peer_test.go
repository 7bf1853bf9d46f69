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
	return New(Config{Self: "a1", Domain: "a", ProbeTimeout: time.Second, IsolationDelay: 800 * time.Millisecond})
}

// checkRepeatedly calls Isolated every 100 ms, each time after a probe from a2, and
// returns the last time and result.
func checkRepeatedly(t *Tracker, from time.Time, duration time.Duration, leased bool) (last time.Time, isolated bool) {
	for now := from; now.Before(from.Add(duration)); now = now.Add(100 * time.Millisecond) {
		t.RecordProbe(now, "a2", leased)
		last, isolated = now, t.Isolated(now, from.Add(-time.Second), newTable())
	}
	return last, isolated
}

func TestPartitionedDomainIsIsolated(t *testing.T) {
	g := gomega.NewWithT(t)
	_, isolated := checkRepeatedly(newTracker(), time.Unix(100, 0), 2*time.Second, false)
	g.Expect(isolated).To(gomega.BeTrue())
	_, isolated = checkRepeatedly(newTracker(), time.Unix(100, 0), 2*time.Second, true)
	g.Expect(isolated).To(gomega.BeFalse(), "a peer holds a lease, so the domain is not partitioned")
}

// Guards against an entry that serves without a lease while the rest of its failure
// domain still has one.
func TestSingleSilentEntryIsNotIsolated(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTracker()
	isolated := false
	for n := range 30 {
		now := time.Unix(100, 0).Add(time.Duration(n) * 100 * time.Millisecond)
		isolated = tracker.Isolated(now, time.Unix(99, 0), newTable())
	}
	g.Expect(isolated).To(gomega.BeFalse(), "the entry itself may be the unreachable one")
	tracker.SetUnlisted([]string{"a2"})
	for n := range 30 {
		now := time.Unix(104, 0).Add(time.Duration(n) * 100 * time.Millisecond)
		isolated = tracker.Isolated(now, time.Unix(99, 0), newTable())
	}
	g.Expect(isolated).To(gomega.BeTrue(), "the platform no longer lists the other entry")
}

// Probes read right after a pause of the process may have been sent long before.
func TestPauseRestartsIsolationDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	tracker := newTracker()
	last, isolated := checkRepeatedly(tracker, time.Unix(100, 0), 700*time.Millisecond, false)
	g.Expect(isolated).To(gomega.BeFalse())
	awake := last.Add(10 * time.Second)
	tracker.RecordProbe(awake, "a2", false)
	g.Expect(tracker.Isolated(awake, time.Unix(99, 0), newTable())).To(gomega.BeFalse())
}
