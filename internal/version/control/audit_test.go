package control_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/control"
)

func sessionWithChanges(changes int) *session {
	s := newSession(1)
	for i := range uint64(changes) {
		s.apply(replaceCommand(fmt.Sprint("r", i), document(i+1, i, 0), i+1, "linh"))
	}
	return s
}

func TestVerifyNamesTheFirstGapOrEdit(t *testing.T) {
	cases := map[string]struct {
		change func(entries []control.Entry) []control.Entry
		fault  string
	}{
		"missing": {func(e []control.Entry) []control.Entry { return slices.Delete(e, 2, 3) }, "audit entry 3: is missing; entry 4 stands in its place"},
		"edited": {func(e []control.Entry) []control.Entry {
			e[3].Operator = "mere"
			return e
		}, "audit entry 4: was edited"},
		"replaced": {func(e []control.Entry) []control.Entry {
			e[1] = otherTrail()[1]
			return e
		}, "audit entry 2: does not follow the entry before it"},
		"cut off": {func(e []control.Entry) []control.Entry { return e[:4] }, "audit entry 5: is missing; the trail should reach entry 6"},
		"swapped": {func(e []control.Entry) []control.Entry { return otherTrail() }, "audit entry 6: is not the entry that the control state holds"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := sessionWithChanges(6)
			entries := c.change(slices.Clone(s.trail))
			NewWithT(t).Expect(control.VerifyTo(s.state.Head, entries)).To(MatchError(ContainSubstring(c.fault)))
		})
	}
}

// otherTrail returns a complete trail of 6 entries whose content differs from that
// of sessionWithChanges.
func otherTrail() []control.Entry {
	s := newSession(1)
	for i := range uint64(6) {
		s.apply(replaceCommand(fmt.Sprint("other", i), document(i+1, i, 7), i+1, "mere"))
	}
	return s.trail
}

func TestEntriesAfterReturnsTheMissingEntries(t *testing.T) {
	g := NewWithT(t)
	s := sessionWithChanges(control.MaxAuditEntries + 10)
	head := func(i int) control.Head { return control.Head{Index: s.trail[i].Index, Hash: s.trail[i].Hash} }

	missing, ok := s.state.EntriesAfter(head(9))
	g.Expect(ok).To(BeTrue())
	g.Expect(missing).To(Equal(s.trail[10:]))
	g.Expect(control.VerifyAfter(head(9), missing)).To(Succeed())

	_, ok = s.state.EntriesAfter(head(8))
	g.Expect(ok).To(BeFalse(), "entry 10 is no longer in the state")
	_, ok = s.state.EntriesAfter(control.Head{Index: 20, Hash: "another trail"})
	g.Expect(ok).To(BeFalse())
	missing, ok = s.state.EntriesAfter(s.state.Head)
	g.Expect(ok).To(BeTrue())
	g.Expect(missing).To(BeEmpty())
}
