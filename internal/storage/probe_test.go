package storage_test

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/storage/storagetest"
)

func TestStorage(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "storage")
}

var _ = ginkgo.Describe("a probe of a data folder", func() {
	var disk *storagetest.Failing
	var files storage.Files
	ginkgo.BeforeEach(func() {
		disk = storagetest.NewFailing(func() (storage.Files, error) { return storage.Folder(ginkgo.GinkgoT().TempDir()) })
		var err error
		files, err = disk.Files()
		Expect(err).NotTo(HaveOccurred())
	})

	ginkgo.It("succeeds on a writable folder and removes its file", func() {
		Expect(storage.Probe(files)).To(Succeed())
		_, err := files.Read("probe")
		Expect(err).To(MatchError(os.ErrNotExist))
	})

	ginkgo.It("fails while the disk is full and succeeds afterwards", func() {
		disk.SetFull(true)
		Expect(fault.KindOf(storage.Probe(files))).To(Equal(fault.DataFolder))
		disk.SetFull(false)
		Expect(storage.Probe(files)).To(Succeed())
	})
})
