package instance

import (
	"context"
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
)

// Guards against a stop that hangs, or hides an unfinished handover, when its context
// ends.
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
