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

// chain returns the entries of a number of proposals.
func chain(count int) []control.Entry {
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

func open(t *testing.T, path string) (*trail.Trail, store.Truncation, error) {
	t.Helper()
	folder, err := store.OpenFolder(store.OSFS{}, path)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = folder.Close() })
	tr, cut, err := trail.Open(folder)
	if err == nil {
		t.Cleanup(func() { _ = tr.Close() })
	}
	_ = folder.Close()
	return tr, cut, err
}

func TestTrailIsReadBackWhole(t *testing.T) {
	g := NewWithT(t)
	path, entries := t.TempDir(), chain(5)
	tr, _, err := open(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Append(entries[:3])).To(Succeed())
	g.Expect(tr.Append(entries[1:])).To(Succeed())
	again, _, err := open(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Head().Hash).To(Equal(entries[4].Hash))
	g.Expect(again.Entries(2, 2)).To(Equal(entries[1:3]))
	g.Expect(again.Entries(6, 2)).To(BeEmpty())
}

func TestGapAndForeignEntryAreRefused(t *testing.T) {
	g := NewWithT(t)
	tr, _, err := open(t, t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	entries := chain(5)
	g.Expect(tr.Append(entries[:2])).To(Succeed())
	var broken *control.ChainError
	g.Expect(errors.As(tr.Append(entries[3:]), &broken)).To(BeTrue())
	g.Expect(broken.Index).To(BeEquivalentTo(3))
	forged := entries[2]
	forged.Operator = "mere"
	g.Expect(errors.As(tr.Append([]control.Entry{forged}), &broken)).To(BeTrue())
	g.Expect(tr.Head().Index).To(BeEquivalentTo(2))
}

func TestTornLastEntryIsCutOff(t *testing.T) {
	g := NewWithT(t)
	path, entries := t.TempDir(), chain(3)
	tr, _, err := open(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tr.Append(entries)).To(Succeed())
	file := path + "/audit"
	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(os.WriteFile(file, text[:len(text)-1], 0o600)).To(Succeed())
	again, cut, err := open(t, path)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cut.Bytes).To(BeNumerically(">", 0))
	g.Expect(again.Head().Index).To(BeEquivalentTo(2))
	g.Expect(again.Append(entries[2:])).To(Succeed())
}
