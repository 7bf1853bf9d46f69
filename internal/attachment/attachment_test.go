package attachment

import (
	"fmt"
	"slices"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestAttachment(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "attachment")
}

// fleet is a set of entries and control instances spread over failure domains.
type fleet struct {
	entries    []Config
	candidates []Candidate
}

func newFleet(entries, instances, domains, losses int) fleet {
	var f fleet
	for n := range entries {
		f.entries = append(f.entries, Config{Entry: fmt.Sprint("entry-", n), Domain: fmt.Sprint("d", n%domains), Links: RequiredLinks(losses)})
	}
	for n := range instances {
		f.candidates = append(f.candidates, Candidate{Address: fmt.Sprintf("10.0.%d.1:7720", n), Domain: fmt.Sprint("d", n%domains)})
	}
	return f
}

// without returns the fleet without the lost instances, and the addresses of these.
func (f fleet) without(lost func(n int, c Candidate) bool) (fleet, map[string]bool) {
	remaining, lostAddresses := fleet{entries: f.entries}, map[string]bool{}
	for n, c := range f.candidates {
		if lost(n, c) {
			lostAddresses[c.Address] = true
		} else {
			remaining.candidates = append(remaining.candidates, c)
		}
	}
	return remaining, lostAddresses
}

func always(string) bool { return true }

// links returns the addresses that each entry links to.
func (f fleet) links(usable func(string) bool) [][]string {
	var all [][]string
	for _, e := range f.entries {
		all = append(all, e.Choose(f.candidates, usable))
	}
	return all
}

// moved counts the links in b that are not in a.
func moved(a, b [][]string) int {
	n := 0
	for i := range b {
		for _, address := range b[i] {
			if !slices.Contains(a[i], address) {
				n++
			}
		}
	}
	return n
}

var _ = ginkgo.Describe("the links", func() {
	for _, size := range []struct{ entries, instances, domains, losses int }{
		{60, 6, 3, 2}, {1000, 25, 5, 2}, {6800, 96, 16, 2},
	} {
		ginkgo.Context(fmt.Sprintf("of %d entries to %d instances", size.entries, size.instances), func() {
			f := newFleet(size.entries, size.instances, size.domains, size.losses)
			before := f.links(always)
			total := size.entries * RequiredLinks(size.losses)

			ginkgo.It("survive the configured losses and span two failure domains", func() {
				domains := map[string]string{}
				for _, c := range f.candidates {
					domains[c.Address] = c.Domain
				}
				for i, e := range f.entries {
					Expect(before[i]).To(HaveLen(3))
					isLocal := func(address string) bool { return domains[address] == e.Domain }
					Expect(isLocal(before[i][0])).To(BeTrue())
					Expect(slices.ContainsFunc(before[i], func(a string) bool { return !isLocal(a) })).To(BeTrue())
				}
			})

			ginkgo.It("are spread evenly over the instances", func() {
				count := map[string]int{}
				for _, links := range before {
					for _, address := range links {
						count[address]++
					}
				}
				Expect(count).To(HaveLen(size.instances))
				mean := float64(total) / float64(size.instances)
				for address, n := range count {
					Expect(float64(n)).To(BeNumerically("<", 1.5*mean), address)
				}
			})

			ginkgo.It("move only from lost or to new instances", func() {
				check := func(lost func(n int, c Candidate) bool) {
					remaining, lostAddresses := f.without(lost)
					after := remaining.links(always)
					onLost := 0
					for _, links := range before {
						for _, address := range links {
							if lostAddresses[address] {
								onLost++
							}
						}
					}
					Expect(moved(before, after)).To(Equal(onLost), "only the links to lost instances move")
					Expect(moved(after, before)).To(Equal(onLost), "and they move back")
				}
				check(func(n int, _ Candidate) bool { return n < 2 })
				check(func(n int, _ Candidate) bool { return n%size.domains == 1 && n < 5*size.domains })
			})
		})
	}

	ginkgo.It("keep an unusable instance in its place and add a usable one", func() {
		f := newFleet(40, 25, 5, 2)
		for i, links := range f.links(always) {
			without := f.entries[i].Choose(f.candidates, func(address string) bool { return address != links[0] })
			Expect(without[0]).To(Equal(links[0]))
			Expect(without).To(HaveLen(4))
			Expect(without).To(ContainElements(links[1], links[2]))
		}
	})

	ginkgo.It("are bounded while no instance is usable", func() {
		f := newFleet(1, 100, 5, 2)
		Expect(f.links(func(string) bool { return false })[0]).To(HaveLen(maxUnusable))
	})

	ginkgo.It("go to instances of an unknown failure domain only if there are too few others", func() {
		c := Config{Entry: "e", Domain: "d0", Links: 3}
		known := []Candidate{{"a:1", "d0"}, {"b:1", "d1"}}
		seeds := []Candidate{{"s:1", ""}, {"t:1", ""}}
		Expect(c.Choose(slices.Concat(seeds, known), always)).To(HaveLen(3))
		Expect(c.Choose(slices.Concat(seeds, known), always)[:2]).To(ConsistOf("a:1", "b:1"))
		Expect(c.Choose(append(known, Candidate{"c:1", "d1"}), always)).To(ConsistOf("a:1", "b:1", "c:1"))
		Expect(c.Choose(seeds, always)).To(ConsistOf("s:1", "t:1"))
	})
})
