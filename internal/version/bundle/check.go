package bundle

import (
	"fmt"
	"regexp"
	"strings"
	"time"
)

// Bounds of a bundle's fields.
const (
	MaxBytes        = 64 << 10        // of a document
	MaxTeams        = 1024            // with a quota of their own
	MaxDomains      = 256             // named in one list
	MaxRolloutDelay = 6 * time.Second // from acceptance to the last domain
	maxTasks        = 10_000_000
	maxTime         = time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var slotPolicies = []SlotPolicy{Shares, SharesProbing}

// checker gathers the faults of a bundle.
type checker struct{ faults Faults }

func (c *checker) fault(field string, value any, allowed string) {
	text := fmt.Sprint(value)
	if len(text) > 80 {
		text = text[:80]
	}
	c.faults = append(c.faults, Fault{Field: field, Value: text, Allowed: allowed})
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.fault(field, value, fmt.Sprintf("from %d to %d", low, high))
	}
}

func (c *checker) duration(field string, value, low, high time.Duration) {
	if value < low || value > high {
		c.fault(field, value, fmt.Sprintf("from %s to %s", low, high))
	}
}

func (c *checker) slotPolicy(field string, value SlotPolicy) {
	names := make([]string, len(slotPolicies))
	for i, p := range slotPolicies {
		if value == p {
			return
		}
		names[i] = string(p)
	}
	c.fault(field, value, "one of "+strings.Join(names, ", "))
}

// names checks a list of names: their form, their number and that none occurs
// twice. Field is the path of the i-th name.
func (c *checker) names(list string, values []string, most int, field func(i int) string) {
	if len(values) > most {
		c.fault(list, fmt.Sprintf("%d entries", len(values)), fmt.Sprintf("at most %d entries", most))
		return
	}
	seen := map[string]bool{}
	for i, name := range values {
		if !namePattern.MatchString(name) {
			c.fault(field(i), name, "1 to 63 of a-z, 0-9 and -, not starting with -")
		}
		if seen[name] {
			c.fault(field(i), name, "a name that occurs once")
		}
		seen[name] = true
	}
}

// Check returns the Faults of b, or nil.
func (b Bundle) Check() error {
	c := &checker{}
	if b.Version == 0 {
		c.fault("version", b.Version, "1 or more")
	}
	if b.BasedOn >= max(1, b.Version) {
		c.fault("based_on", b.BasedOn, "less than version")
	}
	b.Limits.check(c)
	b.checkTeams(c)
	c.between("retry.attempts", int64(b.Retry.Attempts), 1, 100)
	b.Routing.check(c)
	b.Deadlines.check(c)
	c.duration("attempt_timeout", b.AttemptTimeout, 10*time.Millisecond, maxTime)
	b.Ejection.check(c)
	b.Rollout.check(c)
	return c.faults.err()
}

func (l Limits) check(c *checker) {
	c.between("limits.tasks_per_job", int64(l.TasksPerJob), 1, 10_000)
	c.between("limits.payload_bytes", l.PayloadBytes, 0, 1<<30)
	c.between("limits.output_bytes", l.OutputBytes, 0, 1<<30)
}

func (b Bundle) checkTeams(c *checker) {
	b.OtherTeams.check(c, "other_teams")
	names := make([]string, len(b.Teams))
	for i, t := range b.Teams {
		names[i] = t.Name
		t.check(c, fmt.Sprintf("teams[%d]", i))
	}
	c.names("teams", names, MaxTeams, func(i int) string { return fmt.Sprintf("teams[%d].name", i) })
}

func (q Quota) check(c *checker, field string) {
	c.between(field+".in_progress", int64(q.InProgress), 0, maxTasks)
	c.between(field+".queued", int64(q.Queued), 0, maxTasks)
}

func (r Routing) check(c *checker) {
	c.slotPolicy("routing.slot_policy", r.SlotPolicy)
	names := make([]string, len(r.Domains))
	for i, d := range r.Domains {
		names[i] = d.Name
		c.slotPolicy(fmt.Sprintf("routing.domains[%d].slot_policy", i), d.SlotPolicy)
	}
	c.names("routing.domains", names, MaxDomains, func(i int) string { return fmt.Sprintf("routing.domains[%d].name", i) })
	c.duration("routing.spill.after", r.Spill.After, 0, maxTime)
}

func (d Deadlines) check(c *checker) {
	c.duration("deadlines.greatest", d.Greatest, 10*time.Millisecond, maxTime)
	c.duration("deadlines.default", d.Default, 10*time.Millisecond, max(10*time.Millisecond, d.Greatest))
}

func (e Ejection) check(c *checker) {
	c.between("ejection.failures", int64(e.Failures), 1, 1000)
	c.duration("ejection.pause", e.Pause, 10*time.Millisecond, maxTime)
	c.duration("ejection.greatest_pause", e.GreatestPause, max(10*time.Millisecond, e.Pause), maxTime)
	c.between("ejection.greatest_percent", int64(e.GreatestPercent), 0, 100)
}

func (r Rollout) check(c *checker) {
	c.names("roll.order", r.Order, MaxDomains, func(i int) string { return fmt.Sprintf("roll.order[%d]", i) })
	steps := time.Duration(max(1, len(r.Order)))
	c.duration("roll.pause", r.Pause, 0, MaxRolloutDelay/steps)
}
