package directory

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/document"
	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/wire"
)

// Guards against a log entry that no other instance can receive.
var _ = Describe("a document", func() {
	It("is rejected before it is logged if it is too large", func() {
		now := time.Unix(1000, 0)
		d := newSingleVoter(now, &storage.Loaded{HardState: &wire.HardState{}})
		_, now = runOneSecond(d, now)
		last := d.replica.LastIndex()
		put := func(size int) error {
			doc, faults := document.New(document.Config{Version: 1, Source: make([]byte, size)})
			Expect(faults).To(BeEmpty())
			_, _, err := d.Put(now, doc)
			return err
		}
		Expect(fault.KindOf(put(MaxCommandSize))).To(Equal(fault.InvalidChange))
		Expect(d.replica.LastIndex()).To(Equal(last))
		Expect(put(MaxCommandSize / 2)).To(Succeed())
	})
})
