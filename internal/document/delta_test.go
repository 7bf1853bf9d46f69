package document

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

var _ = Describe("a DocumentFrame", func() {
	// random returns a document with a random subset of 20 routes and random timeouts.
	random := func(rng *rand.Rand, version uint64) *Document {
		c := Config{Version: version, Services: []Service{{Name: "booking"}, {Name: "documents"}}}
		for n := range 20 {
			if rng.IntN(3) > 0 {
				c.Routes = append(c.Routes, Route{
					Name: fmt.Sprint("r", n), Addr: netip.MustParseAddrPort(fmt.Sprintf("198.18.0.%d:443", n)),
					Timeout: time.Duration(1+rng.IntN(2)) * time.Second, Shares: []Share{{"booking", 1}},
				})
			}
		}
		d, faults := New(c)
		Expect(faults).To(BeEmpty())
		return d
	}

	It("turns the base into the new document", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		for version := range uint64(200) {
			base, next := random(rng, version+1), random(rng, version+2)
			got, err := FromFrame(base, next.Frame(base, true))
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Version()).To(Equal(next.Version()))
			Expect(got.Routes()).To(ConsistOf(next.Routes()))
			Expect(got.Services()).To(Equal(next.Services()))
		}
	})

	It("contains the whole document for an entry that has none", func() {
		next := random(rand.New(rand.NewPCG(1, 1)), 5)
		got, err := FromFrame(nil, next.Frame(nil, true))
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Routes()).To(Equal(next.Routes()))
	})

	It("is rejected by an entry that has another base", func() {
		rng := rand.New(rand.NewPCG(1, 1))
		base, next, other := random(rng, 5), random(rng, 7), random(rng, 6)
		frame := next.Frame(base, true)
		for _, current := range []*Document{nil, other} {
			_, err := FromFrame(current, frame)
			Expect(err).To(MatchError(ContainSubstring("version 5, which is not held")))
		}
	})

	It("costs linear work in the number of routes, even if all differ", func() {
		withRoutes := func(routes int, timeout time.Duration) *Document {
			c := Config{Version: uint64(timeout), Services: []Service{{Name: "booking"}}}
			for n := range routes {
				c.Routes = append(c.Routes, Route{
					Name: "r", Addr: netip.AddrPortFrom(netip.MustParseAddr("198.18.1.1"), uint16(n+1)), Timeout: timeout, Shares: []Share{{"booking", 1}},
				})
			}
			d, faults := New(c)
			Expect(faults).To(BeEmpty())
			return d
		}
		base, next := withRoutes(2000, time.Second), withRoutes(2000, 2*time.Second)
		Expect(testing.AllocsPerRun(1, func() { next.Frame(base, true) })).To(BeNumerically("<", 10*2000))
	})

	It("is small if few routes differ", func() {
		c := valid()
		for n := range 400 {
			c.Routes = append(c.Routes, Route{
				Name: fmt.Sprint("idle", n), Addr: netip.AddrPortFrom(netip.MustParseAddr("198.18.1.1"), uint16(n+1)),
				Timeout: time.Second, Shares: []Share{{"booking", 1}},
			})
		}
		base, faults := New(c)
		Expect(faults).To(BeEmpty())
		c.Version++
		c.Routes = append([]Route(nil), c.Routes...)
		c.Routes[7].Timeout = 2 * time.Second
		next, _ := New(c)
		Expect(proto.Size(next.Frame(nil, true))).To(BeNumerically(">", 10_000))
		Expect(proto.Size(next.Frame(base, true))).To(BeNumerically("<", 200))
	})
})
