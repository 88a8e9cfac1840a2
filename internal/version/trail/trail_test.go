package trail_test

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/store"
	"wasabifield.example/wasabifield/internal/version/trail"
)

// newEntries returns the audit entries of count proposals.
func newEntries(count int) []control.Entry {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	operator := control.Operator{Name: "linh", Key: key.Public().(ed25519.PublicKey)}
	rules := control.Rules{Operators: []control.Operator{operator}, RequiredApprovals: 1}
	var state control.State
	var entries []control.Entry
	for i := range count {
		document := fmt.Appendf(nil, "version: %d\n", i+1)
		c := control.Command{
			RequestID: fmt.Sprint(i),
			Operator:  "linh",
			Action:    control.Propose,
			Version:   uint64(i + 1),
			Digest:    bundle.DigestOf(document),
			Document:  document,
		}
		state, _ = rules.Apply(state, c.Sign(key), time.UnixMilli(1_700_000_000_000))
		entries = append(entries, state.Entries[len(state.Entries)-1])
	}
	return entries
}

func openTrail(t *testing.T, path string) (*trail.Trail, store.Truncation, error) {
	t.Helper()
	folder, err := store.OpenFolder(store.OSFS{}, path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = folder.Close() })
	tr, truncation, err := trail.Open(folder)
	if err == nil {
		t.Cleanup(func() { _ = tr.Close() })
	}
	_ = folder.Close()
	return tr, truncation, err
}

func TestReopenedTrailHoldsAllEntries(t *testing.T) {
	g := NewWithT(t)
	path, entries := t.TempDir(), newEntries(5)
	tr, _, err := openTrail(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Append(entries[:3])).To(Succeed())
	g.Expect(tr.Append(entries[1:])).To(Succeed())
	reopened, _, err := openTrail(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reopened.Head().Hash).To(Equal(entries[4].Hash))
	g.Expect(reopened.Entries(2, 2)).To(Equal(entries[1:3]))
	g.Expect(reopened.Entries(6, 2)).To(BeEmpty())
}

func TestGapAndAlteredEntryAreRejected(t *testing.T) {
	g := NewWithT(t)
	tr, _, err := openTrail(t, t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	entries := newEntries(5)
	g.Expect(tr.Append(entries[:2])).To(Succeed())
	var chainErr *control.ChainError
	g.Expect(errors.As(tr.Append(entries[3:]), &chainErr)).To(BeTrue())
	g.Expect(chainErr.Index).To(BeEquivalentTo(3))
	altered := entries[2]
	altered.Operator = "mere"
	g.Expect(errors.As(tr.Append([]control.Entry{altered}), &chainErr)).To(BeTrue())
	g.Expect(tr.Head().Index).To(BeEquivalentTo(2))
}

func TestTornLastEntryIsTruncated(t *testing.T) {
	g := NewWithT(t)
	path, entries := t.TempDir(), newEntries(3)
	tr, _, err := openTrail(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Append(entries)).To(Succeed())
	file := path + "/audit"
	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(file, text[:len(text)-1], 0o600)).To(Succeed())
	reopened, truncation, err := openTrail(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(truncation.Bytes).To(BeNumerically(">", 0))
	g.Expect(reopened.Head().Index).To(BeEquivalentTo(2))
	g.Expect(reopened.Append(entries[2:])).To(Succeed())
}
