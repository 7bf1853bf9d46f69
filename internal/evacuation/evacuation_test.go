package evacuation

import (
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oxbowsaddle/internal/proptest"
)

func TestMain(m *testing.M) { os.Exit(proptest.Main(m)) }

func TestEvacuation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "evacuation")
}

func ExampleSet_With() {
	var none *Set
	both := none.With(3, Order{Domain: "b"}).With(5, Order{Domain: "a"})
	fmt.Println(both.Revision(), both.Domains(), both.With(8, Order{Domain: "b", Undo: true}).Domains())
	// Output: 5 [a b] [a]
}

// orders draws random orders about three failure domains.
func orders(t *rapid.T) []Order {
	order := rapid.Custom(func(t *rapid.T) Order {
		return Order{Domain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), Undo: rapid.Bool().Draw(t, "undo")}
	})
	return rapid.SliceOfN(order, 0, 12).Draw(t, "orders")
}

var _ = Describe("the set of evacuated failure domains", func() {
	It("reflects the last order for each failure domain and ignores repeated orders", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			all := orders(t)
			var s *Set
			last := map[string]Order{}
			for i, o := range all {
				s = s.With(uint64(i+1), o)
				last[o.Domain] = o
				if !s.Reflects(o) {
					t.Fatalf("set does not reflect %v", o)
				}
			}
			for domain, o := range last {
				if s.Has(domain) == o.Undo {
					t.Fatalf("%s: set contradicts the last order %v", domain, o)
				}
			}
			for i, o := range all {
				if again := s.With(uint64(i+1), o); again != s {
					t.Fatalf("order %d of %d is applied twice", i+1, len(all))
				}
			}
		})
	})

	It("survives encoding and decoding", func() {
		s := (*Set)(nil).With(7, Order{Domain: "b"}).With(9, Order{Domain: "a"})
		Expect(FromMessage(s.Message())).To(Equal(s))
		Expect(FromMessage(nil).Revision()).To(BeZero())
		Expect(FromMessage(nil).Has("a")).To(BeFalse())
	})

	It("sorts and deduplicates the failure domains of a message", func() {
		m := (*Set)(nil).With(7, Order{Domain: "b"}).Message()
		m.Domains = []string{"b", "a", "b"}
		Expect(FromMessage(m).Domains()).To(Equal([]string{"a", "b"}))
	})
})
