package instance

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/flow"
	"oxbowsaddle/internal/route"
	"oxbowsaddle/internal/settings"
)

// newDomainTable returns a table with one failure domain and 4 endpoints per service.
func newDomainTable(entries, services int) *route.Table {
	const endpointsEach = 4
	b := route.NewBuilder(route.Empty(), 1)
	for n := range entries {
		b.PutMember(route.NewMember(fmt.Sprint("e", n), "d", 1, false, 1))
	}
	health := netip.MustParseAddrPort("127.0.0.1:9")
	for s := range uint32(services) {
		b.PutService(s+1, fmt.Sprint("s", s), nil, route.Policy{}, 1)
		for e := range uint32(endpointsEach) {
			id := s*endpointsEach + e + 1
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 1)
			b.PutEndpoint(route.NewEndpoint(route.EndpointConfig{ID: id, Service: s + 1, Addr: addr, Health: health, Domain: "d"}))
		}
	}
	return b.Table()
}

func newTestChecker(name string, table *route.Table) *checker {
	i := &Instance{config: Config{Settings: settings.Default()}, self: settings.Instance{Name: name, Domain: "d"}}
	i.view.Store(&flow.View{Table: table})
	return &checker{instance: i}
}

func TestEndpointHasTwoCheckers(t *testing.T) {
	g := gomega.NewWithT(t)
	const entries, services = 9, 3
	table := newDomainTable(entries, services)
	checkers := map[string]int{}
	for n := range entries {
		c := newTestChecker(fmt.Sprint("e", n), table)
		for _, e := range c.currentShare() {
			checkers[e.Addr().String()]++
		}
		c.instance.view.Store(&flow.View{Table: route.Empty()})
		g.Expect(c.currentShare()).To(gomega.BeEmpty(), "the share is computed again for a new table")
	}
	g.Expect(checkers).To(gomega.HaveLen(4 * services))
	g.Expect(checkers).To(gomega.HaveEach(checkersPerEndpoint))
}

// BenchmarkCheckerShare uses a failure domain of the largest supported size.
func BenchmarkCheckerShare(b *testing.B) {
	c := newTestChecker("e7", newDomainTable(425, 860))
	b.Run("same table", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.currentShare()
		}
		b.ReportMetric(float64(len(c.currentShare())), "endpoints")
	})
	b.Run("new table", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.shareOf(c.instance.view.Load().Table)
		}
	})
}
