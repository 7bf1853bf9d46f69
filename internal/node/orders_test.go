package node

import (
	"context"
	"io"

	"github.com/charmbracelet/log"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/registry"
)

// Guards against records that links cannot carry, whichever adapter passes them in.
var _ = ginkgo.Describe("endpoints with a text that is not UTF-8", func() {
	ginkgo.It("are rejected, and not recorded", func() {
		c := NewControl(ControlConfig{Log: log.New(io.Discard), Now: MonotonicClock()})
		for _, e := range []registry.Endpoint{{ID: "\xe9-1"}, {ID: "i-1", Service: "\xe9"}, {ID: "i-1", Domain: "\xe9"}} {
			Expect(fault.KindOf(c.Heartbeat(context.Background(), e))).To(Equal(fault.InvalidChange), "%+q", e)
		}
		Expect(fault.KindOf(c.Leave(context.Background(), "\xe9-1"))).To(Equal(fault.InvalidChange))
		Expect(c.endpoints.changesAfter(0).Endpoints).To(BeEmpty())
		Expect(c.endpoints.peerChangesAfter(0).Endpoints).To(BeEmpty())
	})
})
