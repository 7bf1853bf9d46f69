package storage_test

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oxbowsaddle/internal/fault"
	"oxbowsaddle/internal/storage"
	"oxbowsaddle/internal/storage/storagetest"
	"oxbowsaddle/internal/wire"
)

func record(from, n uint64) *wire.Record {
	r := &wire.Record{Hard: &wire.HardState{Term: from}}
	for i := range n {
		r.Entries = append(r.Entries, &wire.LogEntry{Index: from + i, Term: 1, Command: []byte(fmt.Sprint("c", from+i))})
	}
	return r
}

func TestTornLastRecordIsTruncated(t *testing.T) {
	g := gomega.NewWithT(t)
	m := storagetest.NewMemory()
	s, _, err := storage.Open(m.Files())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Append(record(1, 3))).To(gomega.Succeed())
	m.CrashAfter(1)
	g.Expect(s.Append(record(4, 2))).NotTo(gomega.Succeed())
	g.Expect(s.Append(record(4, 2))).NotTo(gomega.Succeed(), "a store does not recover from an error")
	m.Restart(7)
	s, loaded, err := storage.Open(m.Files())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded.Torn).To(gomega.BeTrue())
	g.Expect(loaded.Entries).To(gomega.HaveLen(3))
	g.Expect(s.Append(record(4, 1))).To(gomega.Succeed())
	_, loaded, err = storage.Open(m.Files())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded.Entries).To(gomega.HaveLen(4))
}

func TestDamagedOlderRecordIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	m := storagetest.NewMemory()
	s, _, err := storage.Open(m.Files())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Append(record(1, 1))).To(gomega.Succeed())
	g.Expect(s.Append(record(2, 1))).To(gomega.Succeed())
	m.Corrupt("log", 10)
	_, _, err = storage.Open(m.Files())
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.DamagedLog))
}

func TestFolderOnDisk(t *testing.T) {
	g := gomega.NewWithT(t)
	files, err := storage.Folder(t.TempDir())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s, _, err := storage.Open(files)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Append(record(1, 5))).To(gomega.Succeed())
	g.Expect(s.SaveSnapshot(&wire.SnapshotFile{Index: 3, Term: 1, State: []byte("state")}, &wire.HardState{Term: 2}, record(4, 2).Entries)).To(gomega.Succeed())
	g.Expect(s.Append(record(6, 1))).To(gomega.Succeed())
	g.Expect(s.Close()).To(gomega.Succeed())
	_, loaded, err := storage.Open(files)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(loaded.Snapshot.Index).To(gomega.Equal(uint64(3)))
	g.Expect(loaded.Entries).To(gomega.HaveLen(3))
	g.Expect(loaded.Entries[2].Index).To(gomega.Equal(uint64(6)))
}

// A crash at any write or sync must neither lose acknowledged entries nor
// produce entries that were never written.
func TestCrashAtEveryStep(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := storagetest.NewMemory()
		s, _, err := storage.Open(m.Files())
		if err != nil {
			rt.Fatal(err)
		}
		var acked, written, snapshot uint64
		for range rapid.IntRange(1, 12).Draw(rt, "restarts") {
			m.CrashAfter(rapid.IntRange(0, 12).Draw(rt, "steps"))
			for !m.Crashed() {
				if rapid.IntRange(0, 4).Draw(rt, "snapshot") == 0 && acked > snapshot {
					var rest []*wire.LogEntry
					if written > acked {
						rest = record(acked+1, written-acked).Entries
					}
					if s.SaveSnapshot(&wire.SnapshotFile{Index: acked, Term: 1}, &wire.HardState{Term: acked}, rest) == nil {
						snapshot = acked
					}
					continue
				}
				written = acked + 1
				if s.Append(record(written, 1)) == nil {
					acked = written
				}
			}
			m.Restart(rapid.IntRange(0, 60).Draw(rt, "torn"))
			var loaded *storage.Loaded
			if s, loaded, err = storage.Open(m.Files()); err != nil {
				rt.Fatalf("after a crash: %v", err)
			}
			var last uint64
			if loaded.Snapshot != nil {
				last = loaded.Snapshot.Index
			}
			last += uint64(len(loaded.Entries))
			if last < acked || last > written {
				rt.Fatalf("acknowledged %d, written %d, found %d", acked, written, last)
			}
			acked, written = last, last
		}
	})
}

// FuzzOpen guards against panics of Open on arbitrary log files.
func FuzzOpen(f *testing.F) {
	m := storagetest.NewMemory()
	s, _, err := storage.Open(m.Files())
	if err != nil {
		f.Fatal(err)
	}
	if err := s.Append(record(1, 3)); err != nil {
		f.Fatal(err)
	}
	f.Add(m.Bytes("log"))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := storagetest.NewMemory()
		m.Put("log", data)
		_, loaded, err := storage.Open(m.Files())
		if err == nil && loaded == nil {
			t.Fatal("Open returned neither a state nor an error")
		}
	})
}
