package node

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the control instance that tells an entry every change", func() {
	var p *primary
	ginkgo.BeforeEach(func() {
		p = newPrimary("plateau-1", "plateau")
		p.setDomain("far", "almadies")
	})
	choose := func(linked ...string) string {
		p.choose(linked)
		return p.chosen
	}

	ginkgo.It("is one of the own failure domain, once it is known where they are", func() {
		Expect(choose("far")).To(Equal("far"))
		p.setDomain("near", "plateau")
		before, changed := p.choose([]string{"far", "near"})
		Expect(changed).To(BeTrue())
		Expect(before).To(Equal("far"))
		Expect(p.chosen).To(Equal("near"))
	})

	ginkgo.It("stays while it is linked", func() {
		p.setDomain("near", "plateau")
		p.setDomain("near-2", "plateau")
		first := choose("near", "near-2", "far")
		_, changed := p.choose([]string{"far", "near-2", "near"})
		Expect(changed).To(BeFalse())
		other := map[string]string{"near": "near-2", "near-2": "near"}[first]
		Expect(choose(other, "far")).To(Equal(other))
		Expect(choose("near", "near-2", "far")).To(Equal(other), "no change for the sake of order")
		Expect(choose("far")).To(Equal("far"))
		Expect(choose()).To(BeEmpty())
	})

	ginkgo.It("differs from entry to entry where none is near", func() {
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
