package credit

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fullRetryBudget returns a budget that remembers as many clients as it may, all rejected at now.
func fullRetryBudget(now time.Time) *retryBudget {
	r := &retryBudget{}
	for n := range maxReturning {
		r.noteRejected(now, clientAddr(n))
	}
	return r
}

func clientAddr(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{100, byte(n >> 16), byte(n >> 8), byte(n)})
}

// Guards against rejections that each walk through all remembered clients.
var _ = Describe("the retry budget", func() {
	It("purges rejected clients once in a period, however many there are", func() {
		now := time.Unix(1000, 0)
		r := fullRetryBudget(now)
		r.noteRejected(now.Add(returningPeriod/2), clientAddr(maxReturning))
		Expect(r.rejected).To(HaveLen(maxReturning))
		Expect(r.purgeAt).To(Equal(now.Add(returningPeriod)), "not purged before it is due")
		Expect(r.isReturning(now.Add(returningPeriod/2), clientAddr(maxReturning))).To(BeFalse(), "not remembered beyond the bound")
		r.noteRejected(now.Add(returningPeriod), clientAddr(maxReturning))
		Expect(r.rejected).To(HaveLen(1))
	})
})

func BenchmarkRejectionsOfManyClients(b *testing.B) {
	now := time.Unix(1000, 0)
	r := fullRetryBudget(now)
	for n := 0; b.Loop(); n++ {
		r.noteRejected(now, clientAddr(maxReturning+n%maxReturning))
	}
}
