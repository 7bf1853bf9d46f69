package instance

import (
	"context"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
)

// A planned stop that may not wait ends the instance all the same, and says
// that not everything was handed over.
func TestStopReportsUnfinishedHandover(t *testing.T) {
	g := gomega.NewWithT(t)
	i := startEntry(t, netip.MustParseAddrPort("127.0.0.1:9"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := i.Stop(ctx)
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.HandoverUnfinished))
	g.Expect(err).To(gomega.MatchError(context.Canceled))
	g.Expect(i.done).To(gomega.BeClosed())
	g.Expect(i.Stop(t.Context())).To(gomega.Succeed(), "a second stop has nothing to do")
}
