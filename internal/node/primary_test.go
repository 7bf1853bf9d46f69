package node

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the primary control instance of an entry", func() {
	var p *primary
	ginkgo.BeforeEach(func() {
		p = newPrimary("plateau-1", "plateau")
		p.setDomain("far", "almadies")
	})
	choose := func(linked ...string) string {
		p.choose(linked)
		return p.chosen
	}

	ginkgo.It("is in the entry's own failure domain, once the failure domains are known", func() {
		Expect(choose("far")).To(Equal("far"))
		p.setDomain("near", "plateau")
		before, changed := p.choose([]string{"far", "near"})
		Expect(changed).To(BeTrue())
		Expect(before).To(Equal("far"))
		Expect(p.chosen).To(Equal("near"))
	})

	ginkgo.It("does not change while it is linked", func() {
		p.setDomain("near", "plateau")
		p.setDomain("near-2", "plateau")
		first := choose("near", "near-2", "far")
		_, changed := p.choose([]string{"far", "near-2", "near"})
		Expect(changed).To(BeFalse())
		other := map[string]string{"near": "near-2", "near-2": "near"}[first]
		Expect(choose(other, "far")).To(Equal(other))
		Expect(choose("near", "near-2", "far")).To(Equal(other), "a returning instance of higher rank does not replace it")
		Expect(choose("far")).To(Equal("far"))
		Expect(choose()).To(BeEmpty())
	})

	ginkgo.It("is spread evenly over entries if none is in their failure domain", func() {
		chosen := map[string]int{}
		for n := range 300 {
			p := newPrimary(fmt.Sprint("entry-", n), "nowhere")
			p.choose([]string{"a", "b", "c"})
			chosen[p.chosen]++
		}
		for _, address := range []string{"a", "b", "c"} {
			Expect(chosen[address]).To(BeNumerically("~", 100, 40))
		}
	})
})
