package control_test

import (
	"encoding/json"
	"maps"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/control"
)

func evacuationCommand(action control.Action, request, operator, domain string, force bool) control.Command {
	c := control.Command{RequestID: request, Operator: operator, Action: action, Domain: domain, Force: force}
	return c.Sign(keyOf(operator))
}

func drawEvacuation(t *rapid.T, action control.Action, request, operator string) control.Command {
	domain := rapid.SampledFrom(append([]string{"unknown"}, domains...)).Draw(t, "domain")
	force := action == control.StartEvacuation && rapid.Bool().Draw(t, "force")
	return evacuationCommand(action, request, operator, domain, force)
}

// checkEvacuations guards against an evacuation that is lost, or that comes back, by a
// resend, a command about a version or a change of host.
func (m *model) checkEvacuations(t *rapid.T) {
	var got []string
	for _, e := range m.state.Evacuations {
		got = append(got, e.Domain)
	}
	if want := slices.Sorted(maps.Keys(m.evacuated)); !slices.Equal(got, want) {
		t.Fatalf("evacuated are %v, the acknowledged commands say %v", got, want)
	}
}

// TestEvacuationsAreStartedAndWithdrawn guards against a mistyped domain that appears to
// succeed, a resend that revives an evacuation and an evacuation of the last domain by
// mistake.
func TestEvacuationsAreStartedAndWithdrawn(t *testing.T) {
	start, withdraw := control.StartEvacuation, control.WithdrawEvacuation
	s := newSession(2)
	steps := []struct {
		command control.Command
		kind    failure.Kind
		message string
	}{
		{evacuationCommand(withdraw, "q1", "linh", "north", false), "", "domain north was not evacuated"},
		{evacuationCommand(start, "q2", "linh", "nroth", false), failure.InvalidRequest, `is "nroth", must be one of [north south]`},
		{evacuationCommand(withdraw, "q3", "linh", "nroth", false), failure.InvalidRequest, `is "nroth", must be one of [north south]`},
		{evacuationCommand(start, "q4", "linh", "north", false), "", "domain north is evacuated"},
		{evacuationCommand(start, "q5", "mere", "north", false), "", "domain north is evacuated already, since 2026-01-02T03:04:09Z"},
		{evacuationCommand(start, "q6", "mere", "south", false), failure.NotAllowed, "domain south is the last one that gets work; only a forced evacuation leaves none"},
		{evacuationCommand(start, "q7", "mere", "south", true), "", "domain south is evacuated; no domain is left that gets work"},
		{evacuationCommand(withdraw, "q8", "mere", "north", false), "", "the evacuation of domain north is withdrawn"},
		{evacuationCommand(start, "q4", "linh", "north", false), "", "domain north is evacuated"}, // a late resend of q4
		{evacuationCommand(withdraw, "q9", "linh", "north", true), failure.InvalidRequest, "is not allowed with evacuation-withdraw"},
		{evacuationCommand(start, "q10", "mallory", "north", false), failure.NotAllowed, `"mallory" is not an operator named in the settings`},
	}
	for _, step := range steps {
		answer := s.apply(step.command)
		g := NewWithT(t)
		g.Expect(answer.Kind).To(Equal(step.kind), step.command.RequestID)
		g.Expect(answer.Message).To(Equal(step.message), step.command.RequestID)
	}
	g := NewWithT(t)
	g.Expect(s.state.Evacuations).To(HaveLen(1))
	g.Expect(s.state.Evacuations[0].Domain).To(Equal("south"))
	g.Expect(s.trail[len(s.trail)-1].Before.Evacuated).To(Equal([]string{"north", "south"}))
	s.rules.Domains = []string{"north"}
	g.Expect(s.apply(evacuationCommand(withdraw, "q11", "linh", "south", false)).Done()).To(BeTrue(), "a domain that left the settings")
	g.Expect(control.VerifyTo(s.state.Head, s.trail)).To(Succeed())
}

// TestASignatureCoversTheDomain guards against a command that is changed on its way to
// another domain.
func TestASignatureCoversTheDomain(t *testing.T) {
	c := evacuationCommand(control.StartEvacuation, "q", "linh", "north", false)
	c.Domain = "south"
	NewWithT(t).Expect(newSession(1).apply(c).Kind).To(Equal(failure.NotAllowed))
}

// TestEntriesWithoutEvacuationsKeepTheirEncoding guards against a new field in the
// encoding of earlier entries, which would break the hash chain of existing trails.
func TestEntriesWithoutEvacuationsKeepTheirEncoding(t *testing.T) {
	g := NewWithT(t)
	s := newSession(1)
	s.apply(replaceCommand("r", document(1, 0, 0), 1, "linh"))
	text, err := json.Marshal(s.state)
	g.Expect(err).NotTo(HaveOccurred())
	for _, field := range []string{`"domain"`, `"force"`, `"evacuated"`, `"evacuations"`} {
		g.Expect(string(text)).NotTo(ContainSubstring(field))
	}
}
