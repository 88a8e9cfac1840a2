package bundle

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Limits of the values in a bundle.
const (
	MaxBytes        = 64 << 10        // size of a document
	MaxTeams        = 1024            // teams with a quota of their own
	MaxDomains      = 256             // domains named in one list
	MaxRolloutDelay = 6 * time.Second // from the acceptance of a bundle to the last domain
	maxTaskCount    = 10_000_000
	maxDuration     = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var slotPolicies = []SlotPolicy{Shares, SharesProbing}

// checker collects the faults of a bundle.
type checker struct{ faults Faults }

func (c *checker) addFault(field string, value any, allowed string) {
	text := fmt.Sprint(value)
	if len(text) > 80 {
		text = text[:80]
	}
	c.faults = append(c.faults, Fault{Field: field, Value: text, Allowed: allowed})
}

func (c *checker) checkRange(field string, value, low, high int64) {
	if value < low || value > high {
		c.addFault(field, value, fmt.Sprintf("from %d to %d", low, high))
	}
}

func (c *checker) checkDuration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.addFault(field, value, fmt.Sprintf("from %s to %s", low, high))
	}
}

func (c *checker) checkSlotPolicy(field string, value SlotPolicy) {
	names := make([]string, len(slotPolicies))
	for i, p := range slotPolicies {
		if value == p {
			return
		}
		names[i] = string(p)
	}
	c.addFault(field, value, "one of "+strings.Join(names, ", "))
}

// checkNames checks the number of names in a list, the form of each name and that none
// occurs twice. fieldAt returns the path of the i-th name.
func (c *checker) checkNames(list string, values []string, maxCount int, fieldAt func(i int) string) {
	if len(values) > maxCount {
		c.addFault(list, fmt.Sprintf("%d entries", len(values)), fmt.Sprintf("at most %d entries", maxCount))
		return
	}
	seen := map[string]bool{}
	for i, name := range values {
		if !namePattern.MatchString(name) {
			c.addFault(fieldAt(i), name, "1 to 63 of a-z, 0-9 and -, not starting with -")
		}
		if seen[name] {
			c.addFault(fieldAt(i), name, "a name that occurs once")
		}
		seen[name] = true
	}
}

// Check returns the Faults of b, or nil.
func (b Bundle) Check() error {
	c := &checker{}
	if b.Version == 0 {
		c.addFault("version", b.Version, "1 or more")
	}
	if b.BasedOn >= max(1, b.Version) {
		c.addFault("based_on", b.BasedOn, "less than version")
	}
	b.Limits.check(c)
	b.checkTeams(c)
	c.checkRange("retry.attempts", int64(b.Retry.Attempts), 1, 100)
	b.Routing.check(c)
	b.Deadlines.check(c)
	c.checkDuration("attempt_timeout", b.AttemptTimeout, 10*time.Millisecond, maxDuration)
	b.Ejection.check(c)
	b.Rollout.check(c)
	return c.faults.err()
}

func (l Limits) check(c *checker) {
	c.checkRange("limits.tasks_per_job", int64(l.TasksPerJob), 1, 10_000)
	c.checkRange("limits.payload_bytes", l.PayloadBytes, 0, 1<<30)
	c.checkRange("limits.output_bytes", l.OutputBytes, 0, 1<<30)
}

func (b Bundle) checkTeams(c *checker) {
	b.OtherTeams.check(c, "other_teams")
	names := make([]string, len(b.Teams))
	for i, t := range b.Teams {
		names[i] = t.Name
		t.check(c, fmt.Sprintf("teams[%d]", i))
	}
	c.checkNames("teams", names, MaxTeams, func(i int) string { return fmt.Sprintf("teams[%d].name", i) })
}

func (q Quota) check(c *checker, field string) {
	c.checkRange(field+".in_progress", int64(q.InProgress), 0, maxTaskCount)
	c.checkRange(field+".queued", int64(q.Queued), 0, maxTaskCount)
}

func (r Routing) check(c *checker) {
	c.checkSlotPolicy("routing.slot_policy", r.SlotPolicy)
	names := make([]string, len(r.Domains))
	for i, d := range r.Domains {
		names[i] = d.Name
		c.checkSlotPolicy(fmt.Sprintf("routing.domains[%d].slot_policy", i), d.SlotPolicy)
	}
	c.checkNames("routing.domains", names, MaxDomains, func(i int) string { return fmt.Sprintf("routing.domains[%d].name", i) })
	c.checkDuration("routing.spill.after", r.Spill.After, 0, maxDuration)
}

func (d Deadlines) check(c *checker) {
	c.checkDuration("deadlines.greatest", d.Greatest, 10*time.Millisecond, maxDuration)
	c.checkDuration("deadlines.default", d.Default, 10*time.Millisecond, max(10*time.Millisecond, d.Greatest))
}

func (e Ejection) check(c *checker) {
	c.checkRange("ejection.failures", int64(e.Failures), 1, 1000)
	c.checkDuration("ejection.pause", e.Pause, 10*time.Millisecond, maxDuration)
	c.checkDuration("ejection.greatest_pause", e.GreatestPause, max(10*time.Millisecond, e.Pause), maxDuration)
	c.checkRange("ejection.greatest_percent", int64(e.GreatestPercent), 0, 100)
}

func (r Rollout) check(c *checker) {
	c.checkNames("roll.order", r.Order, MaxDomains, func(i int) string { return fmt.Sprintf("roll.order[%d]", i) })
	steps := time.Duration(max(1, len(r.Order)))
	c.checkDuration("roll.pause", r.Pause, 0, MaxRolloutDelay/steps)
}
