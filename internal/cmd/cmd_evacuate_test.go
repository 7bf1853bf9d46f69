package cmd

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/wire"
)

// orderTaker stands in for a process that is sent orders of evacuation.
type orderTaker struct {
	wire.DRPCControlUnimplementedServer
	reply *wire.EvacuateReply
	got   []*wire.EvacuateRequest
}

func (o *orderTaker) Evacuate(_ context.Context, r *wire.EvacuateRequest) (*wire.EvacuateReply, error) {
	o.got = append(o.got, r)
	return o.reply, nil
}

// serve answers commands on a loopback address, which it returns.
func (o *orderTaker) serve(t *testing.T) string {
	t.Helper()
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	mux := drpcmux.New()
	g.Expect(wire.DRPCRegisterControl(mux, o)).To(gomega.Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.New(mux).Serve(ctx, listener)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

func TestEvacuateIsSentOnToWhoTakesIt(t *testing.T) {
	g := gomega.NewWithT(t)
	leader := &orderTaker{reply: &wire.EvacuateReply{Kind: "accepted"}}
	follower := &orderTaker{reply: &wire.EvacuateReply{Kind: fault.NotCurrent.Name(), Elsewhere: leader.serve(t)}}
	entry := &orderTaker{reply: &wire.EvacuateReply{Kind: fault.NotCurrent.Name(), Elsewhere: follower.serve(t)}}
	var out, errOut bytes.Buffer
	g.Expect(Main([]string{"evacuate", "plateau", "--undo", "--addr", entry.serve(t)}, &out, &errOut)).To(gomega.BeZero(), errOut.String())
	g.Expect(out.String()).To(gomega.Equal("plateau: accepted\n"))
	g.Expect(leader.got).To(gomega.HaveLen(1))
	g.Expect(leader.got[0].Domain).To(gomega.Equal("plateau"))
	g.Expect(leader.got[0].Undo).To(gomega.BeTrue())
}

func TestEvacuateEndsWithTheAnswer(t *testing.T) {
	g := gomega.NewWithT(t)
	circle := &orderTaker{reply: &wire.EvacuateReply{Kind: fault.NotCurrent.Name(), Detail: "does not lead"}}
	circle.reply.Elsewhere = circle.serve(t)
	var out, errOut bytes.Buffer
	code := Main([]string{"evacuate", "plateau", "--addr", circle.reply.Elsewhere}, &out, &errOut)
	g.Expect(code).To(gomega.Equal(fault.NotCurrent.Answer().ExitCode()))
	g.Expect(circle.got).To(gomega.HaveLen(orderHops))

	unknown := &orderTaker{reply: &wire.EvacuateReply{Kind: fault.NotFound.Name(), Detail: "no such", Elsewhere: circle.reply.Elsewhere}}
	code = Main([]string{"evacuate", "nowhere", "--addr", unknown.serve(t)}, &out, &errOut)
	g.Expect(code).To(gomega.Equal(fault.NotFound.Answer().ExitCode()))
	g.Expect(errOut.String()).To(gomega.ContainSubstring("no such"))
	g.Expect(circle.got).To(gomega.HaveLen(orderHops), "an answer is not asked for elsewhere")
}
