package control_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

func TestABundleIsProposedApprovedAndRolled(t *testing.T) {
	g := NewWithT(t)
	s := newSession(2)
	text := document(1, 0, 0)
	digest := bundle.DigestOf(text)

	g.Expect(s.apply(proposeCommand("p", "linh", text, 1)).Done()).To(BeTrue())
	early := s.apply(newCommand(control.Roll, "early", "linh", 1, digest))
	g.Expect(early.Kind).To(Equal(failure.NotAllowed))
	g.Expect(early.Message).To(Equal("version 1 has only 0 of the 2 approvals that it needs"))
	g.Expect(s.apply(newCommand(control.Approve, "a1", "linh", 1, digest)).Message).To(Equal("version 1 has 1 of the 2 approvals that it needs"))
	g.Expect(s.apply(newCommand(control.Approve, "a2", "linh", 1, digest)).Message).To(Equal("linh approved version 1 before"))
	g.Expect(s.apply(newCommand(control.Approve, "a3", "mere", 1, digest)).Done()).To(BeTrue())
	rolled := s.apply(newCommand(control.Roll, "r", "tuan", 1, digest))
	g.Expect(rolled.Done()).To(BeTrue())
	g.Expect(rolled.Accepted).To(Equal(uint64(1)))

	v, ok := s.state.AcceptedVersion()
	g.Expect(ok).To(BeTrue())
	g.Expect(v.Document).To(Equal(string(text)))
	g.Expect(v.EndedBy).To(Equal("tuan"))
	g.Expect(control.VerifyTo(s.state.Head, s.trail)).To(Succeed())
}

func TestOnlyTheFirstContentGetsAVersionNumber(t *testing.T) {
	g := NewWithT(t)
	s := newSession(1)
	first := document(1, 0, 0)
	accepted := 0
	for i := range 20 {
		a := s.apply(proposeCommand(fmt.Sprint("p", i), operatorNames[i%len(operatorNames)], document(1, 0, i), 1))
		g.Expect(a.Digest).To(Equal(bundle.DigestOf(first)))
		if a.Done() {
			accepted++
			continue
		}
		g.Expect(a.Kind).To(Equal(failure.VersionTaken))
		g.Expect(a.Message).To(ContainSubstring("belongs to the content " + bundle.DigestOf(first).Short() + ", which linh proposed"))
	}
	g.Expect(accepted).To(Equal(1))
}

func TestAResendGetsTheFirstAnswerAgain(t *testing.T) {
	g := NewWithT(t)
	s := newSession(1)
	first := proposeCommand("p1", "linh", document(1, 0, 0), 1)
	refused := proposeCommand("p2", "mere", document(1, 0, 1), 1)
	firstAnswer, refusal := s.apply(first), s.apply(refused)
	sequence := s.state.Sequence
	g.Expect(s.apply(replaceCommand("r", document(2, 0, 0), 2, "linh")).Done()).To(BeTrue())
	g.Expect(s.apply(first)).To(Equal(firstAnswer))
	g.Expect(s.apply(refused)).To(Equal(refusal))
	g.Expect(s.state.Sequence).To(Equal(sequence+1), "a resend must not change the state")
	other := s.apply(proposeCommand("p1", "linh", document(3, 2, 0), 3))
	g.Expect(other.Kind).To(Equal(failure.InvalidRequest))
	g.Expect(other.Message).To(Equal("id p1 was used for another command"))
}

func TestAcceptanceOutdatesProposalsBasedOnOlderVersions(t *testing.T) {
	g := NewWithT(t)
	s := newSession(1)
	g.Expect(s.apply(proposeCommand("p", "linh", document(1, 0, 0), 1)).Done()).To(BeTrue())
	g.Expect(s.apply(replaceCommand("r", document(2, 0, 0), 2, "mere")).Done()).To(BeTrue())
	v, _ := s.state.Version(1)
	g.Expect(v.Status).To(Equal(control.Outdated))
	late := s.apply(proposeCommand("p3", "linh", document(3, 0, 0), 3))
	g.Expect(late.Kind).To(Equal(failure.StaleVersion))
	g.Expect(late.Message).To(Equal("version 3 was written on top of version 0, but version 2 is in force; write it anew on top of that"))
}

func TestRefusalsStateTheReason(t *testing.T) {
	text := document(2, 1, 0)
	digest := bundle.DigestOf(text)
	other := bundle.DigestOf(document(2, 1, 9))
	forged := newCommand(control.Approve, "x", "mere", 2, digest)
	forged.Approvals = []control.Approval{control.NewApproval("mere", keyOf("linh"), 2, digest)}
	forged = forged.Sign(keyOf("mere"))
	altered := newCommand(control.Withdraw, "x", "linh", 2, digest)
	altered.Version = 1
	skipped := document(9, 1, 0)
	cases := map[string]struct {
		command control.Command
		kind    failure.Kind
		message string
	}{
		"unknown signer":   {newCommand(control.Approve, "x", "mallory", 2, digest), failure.NotAllowed, `"mallory" is not an operator named in the settings`},
		"another's key":    {forged, failure.NotAllowed, `the signature was not made with the key of operator "mere"`},
		"altered command":  {altered, failure.NotAllowed, `the signature was not made with the key of operator "linh"`},
		"wrong digest":     {newCommand(control.Approve, "x", "mere", 2, other), failure.VersionTaken, "version 2 belongs to the content " + digest.Short()},
		"old version":      {newCommand(control.Approve, "x", "mere", 1, bundle.DigestOf(document(1, 0, 0))), failure.StaleVersion, "version 1 is accepted already"},
		"never proposed":   {newCommand(control.Roll, "x", "mere", 7, digest), failure.NotFound, "version 7 was not proposed"},
		"withdraw rolled":  {newCommand(control.Withdraw, "x", "mere", 1, bundle.DigestOf(document(1, 0, 0))), failure.StaleVersion, "version 1 is in force and cannot be withdrawn"},
		"number skipped":   {proposeCommand("x", "mere", skipped, 9), failure.InvalidRequest, "is 9, but the next number is 3"},
		"number disagrees": {proposeCommand("x", "mere", skipped, 3), failure.InvalidRequest, "is 3, but the document's is 9"},
		"bad bundle":       {proposeCommand("x", "mere", []byte("version: 3\nretry: {attempts: 0}"), 3), failure.InvalidRequest, `retry.attempts: is "0", must be from 1 to 100`},
		"bad request id":   {proposeCommand("x y", "mere", text, 2), failure.InvalidRequest, "must be 1 to 64 letters"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSession(1)
			g.Expect(s.apply(replaceCommand("r", document(1, 0, 0), 1, "linh")).Done()).To(BeTrue())
			g.Expect(s.apply(proposeCommand("p", "linh", text, 2)).Done()).To(BeTrue())
			a := s.apply(c.command)
			g.Expect(a.Kind).To(Equal(c.kind))
			g.Expect(a.Message).To(ContainSubstring(c.message))
		})
	}
}

func TestAnApprovalByAFormerOperatorDoesNotCount(t *testing.T) {
	g := NewWithT(t)
	s := newSession(2)
	text := document(1, 0, 0)
	digest := bundle.DigestOf(text)
	s.apply(proposeCommand("p", "linh", text, 1))
	s.apply(newCommand(control.Approve, "a1", "linh", 1, digest))
	s.apply(newCommand(control.Approve, "a2", "mere", 1, digest))
	s.rules = rulesFor(2, "linh", "sione", "tuan")
	a := s.apply(newCommand(control.Roll, "r", "linh", 1, digest))
	g.Expect(a.Message).To(Equal("version 1 has only 1 of the 2 approvals that it needs"))
}

func TestTheStateStaysWithinItsBounds(t *testing.T) {
	g := NewWithT(t)
	s := newSession(1)
	for i := uint64(1); i <= 300; i++ {
		text := document(i, i-1, int(i%50))
		g.Expect(s.apply(replaceCommand(fmt.Sprint("r", i), text, i, "linh")).Done()).To(BeTrue())
	}
	documents := 0
	for _, v := range s.state.Versions {
		if v.Document != "" {
			documents++
		}
	}
	g.Expect(s.state.Versions).To(HaveLen(control.MaxVersions))
	g.Expect(documents).To(Equal(control.MaxDocuments))
	g.Expect(s.state.Outcomes).To(HaveLen(control.MaxOutcomes))
	g.Expect(s.state.Entries).To(HaveLen(control.MaxAuditEntries))
	g.Expect(control.VerifyTo(s.state.Head, s.trail)).To(Succeed())
	for i := range control.MaxOpenProposals {
		number := uint64(301 + i)
		g.Expect(s.apply(proposeCommand(fmt.Sprint("p", i), "linh", document(number, 300, 0), number)).Done()).To(BeTrue())
	}
	full := s.apply(proposeCommand("over", "linh", document(333, 300, 0), 333))
	g.Expect(full.Kind).To(Equal(failure.Overloaded))
}
