package node

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"oxbowsaddle/internal/wire"
)

// largeFrame returns a frame with n endpoints.
func largeFrame(n int) *wire.Frame {
	m := &wire.Reports{Number: 7}
	for i := range n {
		m.Endpoints = append(m.Endpoints, &wire.EndpointReport{Id: fmt.Sprintf("i-%08x", i*7919), Service: "booking", Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	return reportsFrame(m)
}

var _ = ginkgo.Describe("frame compression", func() {
	ginkgo.It("preserves frames, and shrinks large ones", func() {
		for _, n := range []int{0, 1, 300} {
			for _, level := range []int{compressDefault, compressFast} {
				sent := compressFrame(largeFrame(n), level)
				got, err := decompressFrame(sent)
				Expect(err).NotTo(HaveOccurred())
				Expect(proto.Equal(got, largeFrame(n))).To(BeTrue())
				if n == 300 {
					Expect(proto.Size(sent)).To(BeNumerically("<", proto.Size(got)/2))
				}
			}
		}
	})

	ginkgo.It("reports corrupt data", func() {
		for _, packed := range [][]byte{{}, {1, 2, 3}, compressFrame(largeFrame(300), compressFast).GetPacked()[:40]} {
			_, err := decompressFrame(&wire.Frame{Body: &wire.Frame_Packed{Packed: packed}})
			Expect(err).To(HaveOccurred())
		}
	})
})
