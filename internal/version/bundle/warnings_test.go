package bundle_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/finding"
)

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
