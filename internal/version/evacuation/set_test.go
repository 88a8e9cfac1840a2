package evacuation_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/standin/fixedseed"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// Guards against a request that is sent again and changes the set, or a set that a later
// request changes under its reader.
func TestTheLastRequestForEachDomainIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var set evacuation.Set
		since := map[string]time.Time{}
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			before, content := set, slices.Clone(set)
			domain := rapid.SampledFrom([]string{"north", "south", "east"}).Draw(t, "domain")
			now := time.Unix(int64(i), 0)
			if rapid.Bool().Draw(t, "start") {
				set = set.Start(domain, now)
				if _, ok := since[domain]; !ok {
					since[domain] = now
				}
			} else {
				set = set.Withdraw(domain)
				delete(since, domain)
			}
			if !slices.Equal(before, content) {
				t.Fatalf("request %d changed the set that it was applied to", i)
			}
			if len(set) != len(since) {
				t.Fatalf("set holds %v, want %v", set, since)
			}
			for d, at := range since {
				if e, ok := set.Find(d); !ok || !e.Since.Equal(at) {
					t.Fatalf("%s: evacuated %v since %v, want since %v", d, ok, e.Since, at)
				}
			}
			if !slices.IsSortedFunc(set, func(a, b evacuation.Evacuation) int { return strings.Compare(a.Domain, b.Domain) }) {
				t.Fatalf("%v is not ordered by domain", set)
			}
		}
	})
}
