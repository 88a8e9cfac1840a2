package bundle_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

const validBundle = `version: 7
limits: {tasks_per_job: 210}
teams:
  - {name: huts, in_progress: 200, queued: 2000}
routing:
  slot_policy: shares
  domains:
    - {name: north, slot_policy: shares_probing}
roll:
  order: [north, south]
  pause: 1s
`

func TestOmittedFieldsHaveDefaultValues(t *testing.T) {
	g := NewWithT(t)
	b, err := bundle.Parse([]byte(validBundle))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.Deadlines).To(Equal(bundle.Default().Deadlines))
	g.Expect(b.Limits.PayloadBytes).To(Equal(bundle.Default().Limits.PayloadBytes))
	g.Expect(b.Retry.RestartIdempotent).To(BeFalse())
}

func TestLookupsFallBackOnTheCommonValue(t *testing.T) {
	g := NewWithT(t)
	b, err := bundle.Parse([]byte(validBundle))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(b.QuotaOf("huts")).To(Equal(bundle.Quota{InProgress: 200, Queued: 2000}))
	g.Expect(b.QuotaOf("bins")).To(Equal(b.OtherTeams))
	g.Expect(b.SlotPolicyOf("north")).To(Equal(bundle.SharesProbing))
	g.Expect(b.SlotPolicyOf("south")).To(Equal(bundle.Shares))
	g.Expect(b.RolloutDelay("south")).To(Equal(time.Second))
	g.Expect(b.RolloutDelay("west")).To(Equal(2 * time.Second))
	g.Expect(b.QuotaOf("huts").Share(3)).To(Equal(bundle.Quota{InProgress: 67, Queued: 667}))
}

func TestEachFaultNamesFieldValueAndWhatIsAllowed(t *testing.T) {
	cases := map[string]struct{ document, fault string }{
		"no version":              {"limits: {tasks_per_job: 3}", `version: is "0", must be 1 or more`},
		"based on itself":         {"version: 2\nbased_on: 2", `based_on: is "2", must be less than version`},
		"unknown field":           {"version: 1\nretry: {tries: 3}", `retry.tries: is "3", must be absent: no such field`},
		"wrong type":              {"version: 1\nteams: [{name: a, queued: many}]", `teams[0].queued: is "many", must be a whole number`},
		"negative":                {"version: -1", `version: is "-1", must be a whole number, 0 or more`},
		"duration without a unit": {"version: 1\nattempt_timeout: 3", `attempt_timeout: is "3", must be a duration such as 500ms or 10s`},
		"null":                    {"version: 1\nretry: {attempts: }", `retry.attempts: is "", must be a whole number`},
		"not a list":              {"version: 1\nteams: {a: 1}", `teams: is "a mapping", must be a list`},
		"given twice":             {"version: 1\nversion: 2", `version: is "2", must be given once`},
		"duplicate team":          {"version: 1\nteams: [{name: a}, {name: a}]", `teams[1].name: is "a", must be a name that occurs once`},
		"slot policy":             {"version: 1\nrouting: {slot_policy: best}", `routing.slot_policy: is "best", must be one of shares, shares_probing`},
		"rollout too slow":        {"version: 1\nroll: {order: [a, b, c], pause: 3s}", `roll.pause: is "3s", must be from 0s to 2s`},
		"deadline":                {"version: 1\ndeadlines: {default: 2m}", `deadlines.default: is "2m0s", must be from 10ms to 1m0s`},
		"two documents":           {"version: 1\n---\nversion: 2", `bundle: is "more than one YAML document", must be one YAML document`},
		"alias":                   {"version: 1\nlimits: &a {}\nretry: *a", `retry: is "an anchor or alias", must be written out`},
		"not a mapping":           {"- 1", `bundle: is "a list", must be a mapping of fields`},
		"empty":                   {"", `bundle: is "EOF", must be a bundle in YAML`},
		"over the limit":          {strings.Repeat("#", bundle.MaxBytes+1), `bundle: is "65537 bytes", must be at most 65536 bytes`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := bundle.Parse([]byte(c.document))
			NewWithT(t).Expect(err).To(MatchError(ContainSubstring(c.fault)))
		})
	}
}

func TestEveryFaultIsReportedAtOnce(t *testing.T) {
	g := NewWithT(t)
	_, err := bundle.Parse([]byte("retry: {attempts: 0}\nejection: {failures: 0, greatest_percent: 101}\n"))
	var faults bundle.Faults
	g.Expect(err).To(BeAssignableToTypeOf(faults))
	g.Expect(err.(bundle.Faults)).To(HaveLen(4))
}

func TestEncodedBundleParsesToItself(t *testing.T) {
	g := NewWithT(t)
	b, err := bundle.Parse([]byte(validBundle))
	g.Expect(err).NotTo(HaveOccurred())
	text, err := bundle.Encode(b)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bundle.Parse(text)).To(Equal(b))
}

func TestDigestIsOfTheExactBytes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(bundle.DigestOf([]byte(validBundle))).NotTo(Equal(bundle.DigestOf([]byte(validBundle + "\n"))))
	g.Expect(bundle.DigestOf(nil).Short()).To(Equal("e3b0c44298fc1c14"))
}

func TestDiffIsAShortestEdit(t *testing.T) {
	g := NewWithT(t)
	lines := bundle.Diff([]byte("a\nb\nc\nd\n"), []byte("a\nc\nx\nd\ne\n"))
	var text []string
	for _, line := range lines {
		text = append(text, line.String())
	}
	g.Expect(text).To(Equal([]string{" a", "-b", " c", "+x", " d", "+e"}))
	g.Expect(bundle.Changes(lines)).To(HaveLen(3))
	g.Expect(bundle.Diff(nil, []byte("a\n"))).To(Equal([]bundle.Line{{Op: bundle.Added, Text: "a"}}))
}

// FuzzParse checks that the encoded form of every parsed bundle parses again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	f.Add([]byte("version: 1\n? [a]\n: b\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		b, err := bundle.Parse(text)
		if err != nil {
			return
		}
		again, err := bundle.Encode(b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := bundle.Parse(again); err != nil {
			t.Fatalf("encoded bundle does not parse: %v", err)
		}
	})
}
