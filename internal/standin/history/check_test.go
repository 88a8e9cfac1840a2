package history_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
)

const leaveGracePeriod = 5 * time.Second

var historyStart = time.UnixMilli(1_700_000_000_000)

// at sets the time of e to ms milliseconds after historyStart.
func at(ms int, e history.Event) history.Event {
	e.At = historyStart.Add(time.Duration(ms) * time.Millisecond)
	return e
}

func submit(j string, attempt int, tasks ...string) history.Event {
	return history.Event{Kind: history.Submit, Job: j, Attempt: attempt, Tasks: tasks}
}

func start(j, task, target string) history.Event {
	return history.Event{Kind: history.Start, Job: j, Task: task, Target: target}
}

func complete(j string, attempt int, labels ...history.Label) history.Event {
	a := &job.Answer{Outcome: job.Complete}
	for _, l := range labels {
		raw, _ := json.Marshal(history.Output{Task: l.Task, Target: "x", Echo: l})
		a.Outputs = append(a.Outputs, job.Output{ID: l.Task, Output: raw})
	}
	return history.Event{Kind: history.Answer, Job: j, Attempt: attempt, Answer: a}
}

func failed(j string, attempt int, outcome job.Outcome, attemptRan, jobRan string) history.Event {
	e := &job.Error{Kind: "some_kind", AttemptRan: attemptRan, JobRan: jobRan}
	return history.Event{Kind: history.Answer, Job: j, Attempt: attempt, Answer: &job.Answer{Outcome: outcome, Error: e}}
}

func withOutput(e history.Event) history.Event {
	e.Answer.Outputs = []job.Output{{ID: "t1", Output: json.RawMessage(`{}`)}}
	return e
}

// withBundle sets the host and the bundle version in the answer of e.
func withBundle(e history.Event, host string, version uint64) history.Event {
	e.Answer.Host, e.Answer.BundleVersion = host, &version
	return e
}

func leaving(target string) history.Event {
	return history.Event{Kind: history.Leaving, Target: target}
}

func label(j, task string) history.Label { return history.Label{Job: j, Task: task} }

func TestValidHistoryHasNoViolations(t *testing.T) {
	g := NewWithT(t)
	summary := history.Check([]history.Event{
		at(0, submit("a", 1, "t1", "t2")),
		at(1, start("a", "t1", "x")),
		at(2, start("a", "t2", "y")),
		at(3, leaving("x")),
		at(3, submit("d", 1, "t1")),
		at(3, submit("d", 2, "t1")),
		at(3, withBundle(failed("d", 2, job.NotRun, "no", "no"), "h", 7)),
		at(3, withBundle(failed("d", 1, job.NotRun, "no", "no"), "h", 6)), // sent before 7 was seen
		at(4, history.Event{Kind: history.Lost, Job: "a", Attempt: 1}),
		at(5, submit("a", 2, "t1", "t2")),
		at(6, complete("a", 2, label("a", "t1"), label("a", "t2"))),
		at(7, submit("b", 1, "t1")),
		at(8, failed("b", 1, job.NotRun, "no", "no")),
		at(9, submit("b", 2, "t1")),
		at(10, start("b", "t1", "x")),
		at(11, failed("b", 2, job.Failed, "yes", "yes")),
		at(11, history.Event{Kind: history.Serving, Target: "x", Incarnation: 2}),
		at(9001, submit("c", 1, "t1")),
		at(9002, history.Event{Kind: history.Start, Job: "c", Task: "t1", Target: "x", Incarnation: 2}),
		at(9003, complete("c", 1, label("c", "t1"))),
	}, history.CheckConfig{LeaveGracePeriod: leaveGracePeriod})

	g.Expect(summary.Violations).To(BeEmpty())
	g.Expect(summary.Jobs).To(Equal(4))
	g.Expect(summary.Complete).To(Equal(2))
	g.Expect(summary.Failed).To(Equal(1))
	g.Expect(summary.TasksStarted).To(Equal(4))
}

// TestEachRuleDetectsItsViolations checks for every rule that a history with a violation
// of it fails, and no other rule with it. It guards against a check that never fails.
func TestEachRuleDetectsItsViolations(t *testing.T) {
	whole := complete("a", 1, label("a", "t1"))
	cases := map[string]struct {
		rule   history.Rule
		events []history.Event
	}{
		"started twice": {history.StartedOnce, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), start("a", "t1", "y"), whole}},
		"an output is missing": {history.AllOrNoOutputs, []history.Event{
			submit("a", 1, "t1", "t2"), start("a", "t1", "x"), start("a", "t2", "x"), whole}},
		"outputs out of order": {history.AllOrNoOutputs, []history.Event{
			submit("a", 1, "t1", "t2"), start("a", "t1", "x"), start("a", "t2", "x"),
			complete("a", 1, label("a", "t2"), label("a", "t1"))}},
		"failed with an output": {history.AllOrNoOutputs, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), withOutput(failed("a", 1, job.Failed, "yes", "yes"))}},
		"failed without an error": {history.AllOrNoOutputs, []history.Event{
			submit("a", 1, "t1"), {Kind: history.Answer, Job: "a", Attempt: 1, Answer: &job.Answer{Outcome: job.Failed}}}},
		"another job's output": {history.OutputsMatchJob, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), complete("a", 1, label("b", "t1"))}},
		"another task's output": {history.OutputsMatchJob, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), withOutput(complete("a", 1))}},
		"complete without a start": {history.RanMatchesStarts, []history.Event{
			submit("a", 1, "t1"), whole}},
		"not run after a start": {history.RanMatchesStarts, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), failed("a", 1, job.NotRun, "no", "no")}},
		"job not run after an earlier attempt's start": {history.RanMatchesStarts, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), {Kind: history.Lost, Job: "a", Attempt: 1},
			submit("a", 2, "t1"), failed("a", 2, job.Failed, "no", "no")}},
		"the only attempt started something": {history.RanMatchesStarts, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), failed("a", 1, job.Failed, "no", "unknown")}},
		"started long after leaving": {history.LeavingExcluded, []history.Event{
			leaving("x"), at(5001, start("a", "t1", "x"))}},
		"offered long after leaving": {history.LeavingExcluded, []history.Event{
			leaving("x"), at(5001, history.Event{Kind: history.Refuse, Target: "x"})}},
		"offered to the incarnation that left": {history.LeavingExcluded, []history.Event{
			leaving("x"), {Kind: history.Serving, Target: "x", Incarnation: 2}, at(5001, start("a", "t1", "x"))}},
		"never answered": {history.EveryAttemptEnds, []history.Event{
			submit("a", 1, "t1")}},
		"an older bundle than before": {history.BundleNeverOlder, []history.Event{
			submit("a", 1, "t1"), withBundle(failed("a", 1, job.NotRun, "no", "no"), "h", 7),
			submit("a", 2, "t1"), withBundle(failed("a", 2, job.NotRun, "no", "no"), "h", 6)}},
		"answered twice": {history.EveryAttemptEnds, []history.Event{
			submit("a", 1, "t1"), start("a", "t1", "x"), whole, whole}},
	}
	coveredRules := map[history.Rule]bool{}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for i, e := range c.events {
				if e.At.IsZero() {
					c.events[i] = at(i, e)
				}
			}
			summary := history.Check(c.events, history.CheckConfig{LeaveGracePeriod: leaveGracePeriod})
			g.Expect(summary.ViolationCount(c.rule)).To(Equal(len(summary.Violations)), "%v", summary.Violations)
			g.Expect(summary.Violations).NotTo(BeEmpty())
		})
		coveredRules[c.rule] = true
	}
	NewWithT(t).Expect(coveredRules).To(HaveLen(len(history.Rules())))
}

func TestPartlyWrittenLastLineIsIgnored(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	history.NewWriter(&out).Write(submit("a", 1, "t1"))
	out.WriteString(`{"at":"20`)
	events, err := history.Read(&out)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(events).To(HaveLen(1))
	g.Expect(events[0].At.IsZero()).To(BeFalse())
}
