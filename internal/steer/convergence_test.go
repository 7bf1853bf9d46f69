package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oxbowsaddle/internal/registry"
	"oxbowsaddle/internal/wire"
)

// convergenceTest has two control instances that exchange reports, and an entry that gets full
// reports from one of them and checksums from the other.
type convergenceTest struct {
	now         time.Time
	registries  [2]*registry.Registry
	sentToPeer  [2]uint64 // last number sent to the other control instance
	entry       *Steerer
	connected   [2]bool
	sentToEntry [2]uint64 // last number sent to the entry
	primary     int
	sequences   map[string]uint64
	leaving     map[string]bool // once true, always true for an endpoint
}

func newConvergenceTest() *convergenceTest {
	t := &convergenceTest{
		now: start, sequences: map[string]uint64{}, leaving: map[string]bool{},
		entry: New(Config{Domain: "plateau", MaxFlowAge: time.Hour, MaxFlows: 10, HeartbeatInterval: time.Second}),
	}
	for i := range t.registries {
		t.registries[i] = registry.New(registry.Config{HeartbeatPeriod: time.Second}, start)
	}
	return t
}

// heartbeat has a control instance receive a heartbeat of an endpoint, which may report that the
// endpoint is leaving.
func (t *convergenceTest) heartbeat(at, n int, leaving bool) {
	id := fmt.Sprint("i-", n)
	t.sequences[id]++
	t.leaving[id] = t.leaving[id] || leaving
	t.registries[at].Heartbeat(t.now, registry.Endpoint{
		ID: id, Number: uint64(n), Service: "booking", Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
		Domain: "plateau", Slots: 2, Leaving: t.leaving[id], Sequence: t.sequences[id],
	})
}

// exchange sends the changes at a control instance to the other one.
func (t *convergenceTest) exchange(from int) {
	reports := t.registries[from].PeerChanges(t.now, t.sentToPeer[from])
	t.sentToPeer[from] = reports.Number
	t.registries[1-from].Merge(t.now, reports)
}

// sync sends the entry the changes that a control instance has not sent it yet.
func (t *convergenceTest) sync(from int) {
	r, source := t.registries[from], fmt.Sprint("c", from)
	var reports *wire.Reports
	switch {
	case !t.connected[from]:
		t.connected[from] = true
		reports = r.Missing(t.now, t.entry.Digest())
	case from == t.primary:
		reports = r.Changes(t.now, t.sentToEntry[from])
	default:
		reports = r.ChangeSummary(t.now, t.sentToEntry[from])
	}
	t.sentToEntry[from] = reports.Number
	if missing := t.entry.Learn(t.now, source, reports); len(missing) > 0 {
		t.entry.Learn(t.now, source, r.Records(t.now, missing))
	}
}

// disconnect closes the entry's connection to a control instance.
func (t *convergenceTest) disconnect(from int) {
	t.connected[from] = false
	t.entry.RemoveSource(t.now, fmt.Sprint("c", from))
}

// step takes one random step of the test.
func (t *convergenceTest) step(r *rapid.T) {
	at, n := rapid.IntRange(0, 1).Draw(r, "at"), rapid.IntRange(0, 3).Draw(r, "endpoint")
	switch rapid.IntRange(0, 7).Draw(r, "step") {
	case 0, 1:
		t.heartbeat(at, n, rapid.IntRange(0, 9).Draw(r, "leaving") == 0)
	case 2:
		if rapid.IntRange(0, 4).Draw(r, "ends") == 0 {
			t.registries[at].Leave(t.now, fmt.Sprint("i-", n))
		}
	case 3:
		t.exchange(at)
	case 4:
		t.sync(at)
	case 5:
		t.disconnect(at)
	case 6:
		t.primary = at
	case 7:
		t.now = t.now.Add(time.Duration(rapid.IntRange(100, 2900).Draw(r, "pause")) * time.Millisecond)
		for _, control := range t.registries {
			control.Sweep(t.now)
		}
	}
}

// Guards against an entry that misses reports: whatever the delays, it must learn all endpoints
// that a control instance knows, and consider one silent only if all control instances do.
func TestEntryConvergesWithControlInstances(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := gomega.NewWithT(r)
		c := newConvergenceTest()
		for range rapid.IntRange(10, 120).Draw(r, "steps") {
			c.step(r)
		}
		for range 2 {
			for i := range c.registries {
				c.exchange(i)
			}
		}
		alone := rapid.IntRange(0, 1).Draw(r, "alone")
		c.sync(alone)
		c.compare(g, alone)
		c.sync(1 - alone)
		c.compare(g, 1-alone)
		for id, b := range c.entry.byID {
			g.Expect(b.Gone || b.silent == c.silent(id)).To(gomega.BeTrue(), "silence of %s: %t", id, b.silent)
		}
		var digest registry.Digest
		for _, b := range c.entry.byID {
			digest.Toggle(b.ID, registry.Sum(b.Endpoint))
		}
		g.Expect(c.entry.Digest()).To(gomega.Equal(digest), "the digest follows the records")
	})
}

// compare checks that the entry has the same endpoint records as a control instance.
func (t *convergenceTest) compare(g *gomega.WithT, with int) {
	for _, m := range t.registries[with].Changes(t.now, 0).Endpoints {
		b := t.entry.byID[m.Id]
		if b == nil {
			g.Expect(m.Gone).To(gomega.BeTrue(), "%s is not known", m.Id)
			continue
		}
		g.Expect(b.Gone).To(gomega.Equal(m.Gone), m.Id)
		if !m.Gone {
			g.Expect(b.Leaving).To(gomega.Equal(m.Leaving), m.Id)
		}
	}
}

// silent reports whether both control instances report an endpoint as silent.
func (t *convergenceTest) silent(id string) bool {
	for _, r := range t.registries {
		for _, m := range r.Records(t.now, []string{id}).Endpoints {
			if !m.Silent {
				return false
			}
		}
	}
	return true
}
