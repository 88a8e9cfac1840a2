package bundle

import (
	"fmt"

	"wasabifield.example/wasabifield/internal/version/finding"
)

// Findings returns the faults as findings of severity Error.
func (f Faults) Findings() []finding.Finding {
	findings := make([]finding.Finding, len(f))
	for i, fault := range f {
		findings[i] = finding.Finding{
			Severity: finding.Error, Path: fault.Field, Text: fmt.Sprintf("is %q, must be %s", fault.Value, fault.Allowed),
		}
	}
	return findings
}

// Warnings returns what a valid bundle can hardly be meant to say: fields that have no
// effect, and limits that contradict each other. Default has none.
func (b Bundle) Warnings() []finding.Finding {
	var findings []finding.Finding
	warn := func(path, format string, args ...any) {
		findings = append(findings, finding.Finding{Severity: finding.Warning, Path: path, Text: fmt.Sprintf(format, args...)})
	}
	if b.AttemptTimeout > b.Deadlines.Greatest {
		warn("attempt_timeout", "is %s and has no effect: a job ends after at most %s (deadlines.greatest)", b.AttemptTimeout, b.Deadlines.Greatest)
	}
	if b.Retry.RestartIdempotent && b.Retry.Attempts == 1 {
		warn("retry.restart_idempotent", "has no effect: retry.attempts is 1")
	} else if b.Retry.RestartIdempotent && 2*b.AttemptTimeout > b.Deadlines.Greatest {
		warn("retry.restart_idempotent", "leaves no time for a second attempt: two of %s (attempt_timeout) exceed %s (deadlines.greatest)", b.AttemptTimeout, b.Deadlines.Greatest)
	}
	if b.Routing.Spill.Enabled && b.Routing.Spill.After >= b.Deadlines.Greatest {
		warn("routing.spill.after", "is %s, but no job waits longer than %s (deadlines.greatest)", b.Routing.Spill.After, b.Deadlines.Greatest)
	}
	for i, t := range b.Teams {
		b.checkQuota(warn, fmt.Sprintf("teams[%d]", i), t.Quota)
	}
	if len(b.Teams) > 0 {
		b.checkQuota(warn, "other_teams", b.OtherTeams) // not applied without teams
	}
	if len(b.Rollout.Order) == 0 && b.Rollout.Pause > 0 {
		warn("roll.pause", "has no effect: roll.order names no domain")
	}
	if len(b.Rollout.Order) > 0 && b.Rollout.Pause == 0 {
		warn("roll.order", "has no effect: roll.pause is 0")
	}
	return findings
}

// checkQuota warns of a quota that refuses jobs that the limits allow: all tasks of a
// job count as queued when it arrives.
func (b Bundle) checkQuota(warn func(path, format string, args ...any), path string, q Quota) {
	if q.Queued > 0 && q.Queued < b.Limits.TasksPerJob {
		warn(path+".queued", "is %d, so jobs of up to %d tasks (limits.tasks_per_job) are refused although the team has no other", q.Queued, b.Limits.TasksPerJob)
	}
}

// CheckSuccession returns why b, which is valid, cannot follow the bundle in force, of
// the given version; 0 if none is.
func (b Bundle) CheckSuccession(inForce uint64) []finding.Finding {
	var findings []finding.Finding
	if b.Version <= inForce {
		findings = append(findings, finding.Finding{
			Severity: finding.Error, Path: "version", Text: fmt.Sprintf("is %d, but version %d is in force; a newer one is needed to replace it", b.Version, inForce),
		})
	}
	if b.BasedOn != inForce {
		findings = append(findings, finding.Finding{
			Severity: finding.Error, Path: "based_on", Text: fmt.Sprintf("is %d, but version %d is in force; the hosts would refuse to roll it", b.BasedOn, inForce),
		})
	}
	return findings
}
