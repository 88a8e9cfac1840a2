package bundle_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/finding"
)

// Guards against lines of another field, and against a document that is refused for its
// size or form and is read all the same.
func TestFindingsGetTheLinesOfTheirFields(t *testing.T) {
	g := NewWithT(t)
	findings := []finding.Finding{
		{Path: "version"}, {Path: "retry.attempts"}, {Path: "retry.restart_idempotent"}, {Path: "teams[1].queued"}, {Path: "roll.pause"}, {},
	}
	lines := func(text string) (lines []int) {
		bundle.SetLines([]byte(text), findings)
		for _, f := range findings {
			lines = append(lines, f.Line)
		}
		return lines
	}
	g.Expect(lines("# head\nversion: 1\nretry:\n  attempts: 1\nteams:\n- {name: a}\n- name: b\n  queued: 3\n")).To(Equal([]int{2, 4, 3, 8, 2, 2}))
	g.Expect(lines("a: [")).To(Equal([]int{2, 4, 3, 8, 2, 2}))
}

// Guards against a warning that is lost or names another field, and against a warning
// for the built-in values.
func TestEachWarningNamesItsField(t *testing.T) {
	g := NewWithT(t)
	g.Expect(bundle.Default().Warnings()).To(BeEmpty())
	for document, path := range map[string]string{
		"deadlines: {greatest: 20s}":                                         "attempt_timeout",
		"retry: {restart_idempotent: true, attempts: 1}":                     "retry.restart_idempotent",
		"retry: {restart_idempotent: true}\nattempt_timeout: 31s":            "retry.restart_idempotent",
		"routing: {spill: {enabled: true, after: 1m}}":                       "routing.spill.after",
		"teams: [{name: a, queued: 209}]":                                    "teams[0].queued",
		"teams: [{name: a}]\nother_teams: {queued: 209}":                     "other_teams.queued",
		"roll: {pause: 1s}":                                                  "roll.pause",
		"roll: {order: [a]}":                                                 "roll.order",
		"retry: {restart_idempotent: true}\nother_teams: {queued: 209}":      "",
		"routing: {spill: {enabled: false, after: 1m}}\nlimits: {}":          "",
		"teams: [{name: a, queued: 210}]\nroll: {order: [north], pause: 1s}": "",
	} {
		b, err := bundle.Parse([]byte("version: 1\n" + document))
		g.Expect(err).NotTo(HaveOccurred(), document)
		warnings := b.Warnings()
		if path == "" {
			g.Expect(warnings).To(BeEmpty(), document)
			continue
		}
		g.Expect(warnings).To(HaveLen(1), document)
		g.Expect(warnings[0].Path).To(Equal(path), document)
		g.Expect(finding.ExitCode(warnings)).To(Equal(finding.ExitWarnings))
	}
}
