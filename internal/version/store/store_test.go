package store_test

import (
	"errors"
	"io/fs"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/store/storetest"
)

const folderPath = "/data"

func openFolder(t *testing.T, f store.FS) *store.Folder {
	t.Helper()
	folder, err := store.OpenFolder(f, folderPath)
	if err != nil {
		t.Fatal(err)
	}
	return folder
}

func TestFileIsOldOrNewAfterACrash(t *testing.T) {
	g := NewWithT(t)
	memory := storetest.NewFS()
	folder := openFolder(t, memory)
	_, err := folder.Read("state")
	g.Expect(errors.Is(err, fs.ErrNotExist)).To(BeTrue())
	g.Expect(folder.Write("state", []byte("old"))).To(Succeed())
	g.Expect(memory.Counts().Syncs).To(Equal(1))
	for torn := range 20 {
		payload, err := openFolder(t, memory.Crash(torn)).Read("state")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(payload)).To(Equal("old"))
	}
	g.Expect(folder.Write("state", []byte("new"))).To(Succeed())
	payload, err := openFolder(t, memory.Crash(0)).Read("state")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(payload)).To(Equal("new"))
}

func TestEveryFlippedBitIsDetected(t *testing.T) {
	g := NewWithT(t)
	memory := storetest.NewFS()
	folder := openFolder(t, memory)
	g.Expect(folder.Write("state", []byte("payload"))).To(Succeed())
	for i := range memory.Size(folder.Path("state")) {
		memory.Corrupt(folder.Path("state"), i)
		_, err := folder.Read("state")
		g.Expect(errors.Is(err, store.ErrCorrupt)).To(BeTrue(), "byte %d", i)
		g.Expect(err.Error()).To(ContainSubstring(folder.Path("state")))
		memory.Corrupt(folder.Path("state"), i)
	}
}

func TestFullDiskKeepsTheOldFile(t *testing.T) {
	g := NewWithT(t)
	memory := storetest.NewFS()
	folder := openFolder(t, memory)
	g.Expect(folder.Write("state", []byte("old"))).To(Succeed())
	memory.SetFull(true, 5)
	err := folder.Write("state", []byte("new"))
	g.Expect(store.IsDiskFull(err)).To(BeTrue())
	payload, err := folder.Read("state")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(payload)).To(Equal("old"))
	memory.SetFull(false, 0)
	g.Expect(folder.Write("state", []byte("new"))).To(Succeed())
}

func TestOnlyOneProcessCanOpenTheFolder(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	folder, err := store.OpenFolder(store.OSFS{}, path)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = store.OpenFolder(store.OSFS{}, path)
	g.Expect(err).To(HaveOccurred())
	g.Expect(folder.Write("state", []byte("kept"))).To(Succeed())
	g.Expect(folder.Close()).To(Succeed())
	folder, err = store.OpenFolder(store.OSFS{}, path)
	g.Expect(err).NotTo(HaveOccurred())
	payload, err := folder.Read("state")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(payload)).To(Equal("kept"))
}

// readLog opens the log and returns its records.
func readLog(folder *store.Folder) (records []string, log *store.Log, truncation store.Truncation, err error) {
	log, truncation, err = folder.OpenLog("audit", func(r []byte) error {
		records = append(records, string(r))
		return nil
	})
	return records, log, truncation, err
}

func TestTornLastRecordIsTruncatedAndReported(t *testing.T) {
	g := NewWithT(t)
	memory := storetest.NewFS()
	folder := openFolder(t, memory)
	_, log, _, err := readLog(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("one"))).To(Succeed())
	g.Expect(log.Append([]byte("two"))).To(Succeed())
	intactSize := memory.Size(folder.Path("audit"))
	unsynced, _ := memory.Append(folder.Path("audit"))
	_, _ = unsynced.Write([]byte("WFS1\x00\x00\x00\x05torn record"))
	for torn := range 20 {
		crashed := memory.Crash(torn)
		got, log, truncation, err := readLog(openFolder(t, crashed))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal([]string{"one", "two"}))
		g.Expect(truncation.Bytes).To(BeNumerically("==", min(torn, 19)))
		g.Expect(truncation.Offset).To(BeNumerically("==", intactSize))
		g.Expect(log.Append([]byte("three"))).To(Succeed())
		got, _, truncation, err = readLog(openFolder(t, crashed.Crash(0)))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal([]string{"one", "two", "three"}))
		g.Expect(truncation.Bytes).To(BeZero())
	}
}

func TestCorruptMiddleRecordIsAnError(t *testing.T) {
	g := NewWithT(t)
	memory := storetest.NewFS()
	folder := openFolder(t, memory)
	_, log, _, err := readLog(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("one"))).To(Succeed())
	first := int(log.Size())
	g.Expect(log.Append([]byte("two"))).To(Succeed())
	second := int(log.Size())
	g.Expect(log.Append([]byte("three"))).To(Succeed())
	size := memory.Size(folder.Path("audit"))
	for i := first; i < second; i++ {
		memory.Corrupt(folder.Path("audit"), i)
		_, _, _, err := readLog(folder)
		g.Expect(errors.Is(err, store.ErrCorrupt)).To(BeTrue(), "byte %d", i)
		var storeErr *store.Error
		g.Expect(errors.As(err, &storeErr)).To(BeTrue())
		g.Expect(storeErr.Offset).To(BeNumerically("==", first))
		g.Expect(memory.Size(folder.Path("audit"))).To(Equal(size))
		memory.Corrupt(folder.Path("audit"), i)
	}
}

func TestFullDiskLeavesTheLogIntact(t *testing.T) {
	g := NewWithT(t)
	memory := storetest.NewFS()
	folder := openFolder(t, memory)
	_, log, _, err := readLog(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("one"))).To(Succeed())
	memory.SetFull(true, 7)
	g.Expect(store.IsDiskFull(log.Append([]byte("two")))).To(BeTrue())
	memory.SetFull(false, 0)
	g.Expect(log.Append([]byte("three"))).To(Succeed())
	got, _, truncation, err := readLog(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal([]string{"one", "three"}))
	g.Expect(truncation.Bytes).To(BeZero())
}

// readAfterCrash returns the state and the records that survive a loss of power.
func readAfterCrash(t *testing.T, memory *storetest.FS) (state string, records []string) {
	t.Helper()
	folder := openFolder(t, memory.Crash(0))
	payload, err := folder.Read("state")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	records, _, _, err = readLog(folder)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return string(payload), records
}

// A refused operation may leave a torn record, a partly written new file or a rename that is not durable.
func TestDiskThatWasFullTakesWritesAgain(t *testing.T) {
	for refused := storetest.Operations(0); refused <= storetest.AllOperations; refused++ {
		for _, freeBytes := range []int{0, 7, 1 << 20} {
			g := NewWithT(t)
			memory := storetest.NewFS()
			folder := openFolder(t, memory)
			_, log, _, err := readLog(folder)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(log.Append([]byte("one"))).To(Succeed())
			g.Expect(folder.Write("state", []byte("one"))).To(Succeed())

			memory.SetFull(true, freeBytes)
			memory.Refuse(refused)
			stateErr, logErr := folder.Write("state", []byte("two")), log.Append([]byte("two"))
			memory.SetFull(false, 0)
			memory.Refuse(0)
			state, records := readAfterCrash(t, memory)
			g.Expect(state == "two" || stateErr != nil).To(BeTrue(), "refused %b", refused)
			kept := []string{"one"}
			if logErr == nil {
				kept = append(kept, "two")
			}
			g.Expect(records).To(Equal(kept), "refused %b", refused)

			g.Expect(log.Append([]byte("three"))).To(Succeed(), "refused %b, %d free bytes", refused, freeBytes)
			g.Expect(folder.Write("state", []byte("three"))).To(Succeed(), "refused %b, %d free bytes", refused, freeBytes)
			state, records = readAfterCrash(t, memory)
			g.Expect(state).To(Equal("three"))
			g.Expect(records).To(Equal(append(kept, "three")), "refused %b", refused)
		}
	}
}

// BenchmarkWrite replaces a file of 64 KiB on the disk of the temporary folder.
func BenchmarkWrite(b *testing.B) {
	folder, err := store.OpenFolder(store.OSFS{}, b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	payload := make([]byte, 64<<10)
	for b.Loop() {
		if err := folder.Write("state", payload); err != nil {
			b.Fatal(err)
		}
	}
}
