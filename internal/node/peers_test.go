package node

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("the rosters that control instances send to each other", func() {
	ginkgo.It("list all instances at first and periodically, and otherwise only the sender", func() {
		all := rosterOf("a:1", "b:1", "c:1")
		complete := 0
		for n := 1; n <= 4*fullRosterPeriod; n++ {
			roster := rosterToSend(all, n)
			Expect(roster.Instances[0].Address).To(Equal("a:1"))
			if len(roster.Instances) == len(all.Instances) {
				complete++
			} else {
				Expect(roster.Instances).To(HaveLen(1))
			}
		}
		Expect(rosterToSend(all, 1).Instances).To(HaveLen(3))
		Expect(complete).To(Equal(4))
		Expect(fullRosterPeriod*frameInterval).To(BeNumerically("<=", time.Second), "a voter must be listed within a second")
	})

	ginkgo.It("may be empty while the disk has failed", func() {
		Expect(rosterToSend(rosterOf(), 2).Instances).To(BeEmpty())
	})
})
