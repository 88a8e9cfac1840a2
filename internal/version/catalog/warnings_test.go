package catalog_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/version/catalog"
)

const idDigits = "0123456789abcdefABCDEF"

var sizes = catalog.RequestSizes{JobIDLength: 1, SmallestBodyBytes: 40, LargestSpecBytes: 4000, HeaderBytes: 50}

// plainCatalog has neither errors nor warnings.
func plainCatalog() catalog.Catalog {
	c := validCatalog()
	for i := range c.Queues {
		c.Queues[i].TargetLatency, c.Queues[i].SlackFactor, c.Queues[i].MaxAttempts = 100*time.Millisecond, 1.5, 3
	}
	c.Limits = catalog.Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10}
	return c
}

// Guards against a warning that is lost or names another field, and against a warning
// for a catalog that gives no cause.
func TestEachWarningNamesItsField(t *testing.T) {
	for text, change := range map[string]struct {
		field  string
		mutate func(*catalog.Catalog)
	}{
		"there is no queue":                     {"", func(c *catalog.Catalog) { c.Queues, c.Services = nil, nil }},
		`the name "q" too`:                      {"Name", func(c *catalog.Catalog) { c.Queues[1].Name = "q" }},
		"is empty, so no request matches":       {"Host", func(c *catalog.Catalog) { c.Queues[1].Host = "" }},
		"has a port":                            {"Host", func(c *catalog.Catalog) { c.Queues[1].Host = "a.example:80" }},
		"patterns are not supported":            {"Host", func(c *catalog.Catalog) { c.Queues[1].Host = "*.example" }},
		"late before they start":                {"TargetLatency", func(c *catalog.Catalog) { c.Queues[0].TargetLatency = -time.Second }},
		"less than the target latency of 100ms": {"Timeout", func(c *catalog.Catalog) { c.Queues[0].Timeout = 99 * time.Millisecond }},
		"below its run time":                    {"SlackFactor", func(c *catalog.Catalog) { c.Queues[0].SlackFactor = 0.9 }},
		"no time beside its run time":           {"TargetLatency", func(c *catalog.Catalog) { c.Queues[0].SlackFactor, c.Queues[0].TargetLatency = 1, 0 }},
		"has time for 2 if each":                {"MaxAttempts", func(c *catalog.Catalog) { c.Queues[0].Timeout = 299 * time.Millisecond }},
		"begin with f go to queue r":            {"PathPrefix", func(c *catalog.Catalog) { c.Queues[1].PathPrefix = "/x/f" }},
		"no queue names the service":            {"", func(c *catalog.Catalog) { c.Services = append(c.Services, catalog.Service{Name: "spare"}) }},
		"no target announces itself":            {"Name", func(c *catalog.Catalog) { c.Services = append(c.Services, catalog.Service{}) }},
		`another service has the name "desk"`:   {"Name", func(c *catalog.Catalog) { c.Services = append(c.Services, c.Services[0]) }},
		"the shortest job has 40 bytes":         {"BodyBytes", func(c *catalog.Catalog) { c.Limits.BodyBytes = 39 }},
		"has at least 4040 bytes":               {"BodyBytes", func(c *catalog.Catalog) { c.Limits.BodyBytes = 4039 }},
		"at least 63 bytes of headers":          {"HeaderBytes", func(c *catalog.Catalog) { c.Limits.HeaderBytes = 62 }},
		"is no time":                            {"IdleTimeout", func(c *catalog.Catalog) { c.Limits.IdleTimeout = -time.Second }},
		"-2s, which is no time":                 {"HeaderTimeout", func(c *catalog.Catalog) { c.Limits.HeaderTimeout = -2 * time.Second }},
	} {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			c := plainCatalog()
			g.Expect(c.Warnings(sizes)).To(BeEmpty())
			change.mutate(&c)
			g.Expect(c.Errors()).To(BeEmpty())
			warnings := c.Warnings(sizes)
			g.Expect(warnings).To(HaveLen(1))
			g.Expect(warnings[0].Field).To(Equal(change.field))
			g.Expect(warnings[0].Text).To(ContainSubstring(text))
		})
	}
}

// Guards against warnings of shadowed queues that disagree with Match: a queue is said
// to match no job exactly if no job's request reaches it.
func TestShadowsAgreeWithMatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := catalog.Catalog{Queues: []catalog.Queue{{Name: "base", Host: "a", PathPrefix: "/"}}}
		for _, digit := range rapid.SampledFrom([]string{idDigits, idDigits[1:], "ag"}).Draw(t, "digits") {
			c.Queues = append(c.Queues, catalog.Queue{Name: "+" + string(digit), Host: rapid.SampledFrom([]string{"a", "A"}).Draw(t, "host"), PathPrefix: "/" + string(digit)})
		}
		shuffled := rapid.Permutation(c.Queues).Draw(t, "queues")
		c.Queues = shuffled
		var reached []string
		for _, digit := range idDigits {
			if q, ok := c.Match("a", "/"+string(digit)); ok && q.PathPrefix == "/" {
				reached = append(reached, string(digit))
			}
		}
		var taken []string
		none := false
		for _, w := range c.Warnings(sizes) {
			if w.Field != "PathPrefix" {
				continue
			}
			if w.Name != "base" {
				t.Fatalf("queue %s: %s", w.Name, w.Text)
			}
			none = none || strings.HasPrefix(w.Text, "no job matches")
			if rest, ok := strings.CutPrefix(w.Text, "jobs whose ids begin with "); ok {
				taken = append(taken, rest[:1])
			}
		}
		if none != (len(reached) == 0) {
			t.Fatalf("no job matches: %v, but ids %v reach the queue", none, reached)
		}
		for _, digit := range taken {
			if slices.Contains(reached, digit) {
				t.Fatalf("ids that begin with %s reach the queue in spite of the warning", digit)
			}
		}
		if !none && len(taken)+len(reached) != len(idDigits) {
			t.Fatalf("ids %v reach the queue, warnings name %v", reached, taken)
		}
	})
}
