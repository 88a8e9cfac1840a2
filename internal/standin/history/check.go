package history

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/request/job"
)

// Rule names an invariant. Its values are printed in summaries.
type Rule string

// Invariants that Check verifies.
const (
	StartedOnce      Rule = "started_once" // no task starts twice
	AllOrNoOutputs   Rule = "whole_answer" // an answer holds the outputs of all tasks or of none
	OutputsMatchJob  Rule = "own_answer"   // an output belongs to the submitted job and task
	RanMatchesStarts Rule = "ran_as_told"  // the statements of an answer on starts agree with the starts
	LeavingExcluded  Rule = "left_alone"   // a leaving target is offered no task after LeaveGracePeriod
	EveryAttemptEnds Rule = "nothing_lost" // each submission is answered once, or its answer is known to be lost
	BundleNeverOlder Rule = "bundle_kept"  // a host never answers under an older bundle than before
)

// Rules returns all rules.
func Rules() []Rule {
	return []Rule{StartedOnce, AllOrNoOutputs, OutputsMatchJob, RanMatchesStarts, LeavingExcluded, EveryAttemptEnds, BundleNeverOlder}
}

// Violation is one violation of an invariant.
type Violation struct {
	Rule   Rule
	Job    string
	Task   string
	Detail string
}

// String implements fmt.Stringer.
func (v Violation) String() string {
	return fmt.Sprintf("%s: job %q task %q: %s", v.Rule, v.Job, v.Task, v.Detail)
}

// CheckConfig holds the bounds of Check.
type CheckConfig struct {
	// LeaveGracePeriod is how long after its Leaving event a target may still be
	// offered tasks.
	LeaveGracePeriod time.Duration
}

// Check verifies the invariants on events, which must be sorted by time.
func Check(events []Event, config CheckConfig) Summary {
	c := newChecker(config)
	for _, e := range events {
		c.add(e)
	}
	c.finish()
	return c.summary
}

type taskKey struct{ job, task string }

type attemptKey struct {
	job     string
	attempt int
}

// checker replays the events of a history in order.
type checker struct {
	config         CheckConfig
	summary        Summary
	starts         map[taskKey]int
	firstStartedAt map[string]time.Time             // first start of a task of the job
	pending        map[attemptKey]pendingSubmission // submissions neither answered nor lost yet
	jobs           map[string]*jobState
	leaving        map[string]Event  // the latest Leaving event of each target
	newestBundles  map[string]uint64 // greatest version in the answers of each host
}

// pendingSubmission is a Submit event and the newest bundles seen before it.
type pendingSubmission struct {
	Event
	newestBundles map[string]uint64
}

// jobState is the state of one job after the events replayed so far.
type jobState struct {
	tasks    []string
	attempts int
	outcome  job.Outcome // of the last answer; empty if there was none
}

func newChecker(config CheckConfig) *checker {
	return &checker{
		config:         config,
		starts:         map[taskKey]int{},
		firstStartedAt: map[string]time.Time{},
		pending:        map[attemptKey]pendingSubmission{},
		jobs:           map[string]*jobState{},
		leaving:        map[string]Event{},
		newestBundles:  map[string]uint64{},
	}
}

func (c *checker) add(e Event) {
	switch e.Kind {
	case Submit:
		c.submit(e)
	case Answer:
		c.answer(e)
	case Lost:
		c.summary.AnswersLost++
		delete(c.pending, attemptKey{e.Job, e.Attempt})
	case Leaving:
		c.leaving[e.Target] = e
	case Start:
		c.start(e)
	case Refuse:
		c.summary.StartsRefused++
		c.checkLeaving(e)
	case End:
		c.summary.TasksEnded++
	}
}

func (c *checker) addViolation(rule Rule, e Event, format string, args ...any) {
	v := Violation{Rule: rule, Job: e.Job, Task: e.Task, Detail: fmt.Sprintf(format, args...)}
	c.summary.Violations = append(c.summary.Violations, v)
}

func (c *checker) submit(e Event) {
	c.summary.Submissions++
	c.pending[attemptKey{e.Job, e.Attempt}] = pendingSubmission{e, maps.Clone(c.newestBundles)}
	state, ok := c.jobs[e.Job]
	if !ok {
		state = &jobState{tasks: e.Tasks}
		c.jobs[e.Job] = state
	}
	state.attempts++
}

func (c *checker) start(e Event) {
	c.summary.TasksStarted++
	c.checkLeaving(e)
	if e.Job == "" {
		return
	}
	key := taskKey{e.Job, e.Task}
	c.starts[key]++
	if c.starts[key] > 1 {
		c.summary.RepeatedStarts++
		c.addViolation(StartedOnce, e, "start %d is at %s under %s", c.starts[key], e.Target, e.Header)
	}
	if _, ok := c.firstStartedAt[e.Job]; !ok {
		c.firstStartedAt[e.Job] = e.At
	}
}

// checkLeaving checks that e's target had not been leaving for longer than
// LeaveGracePeriod. A Leaving event holds for the rest of the target's incarnation only:
// the event of a target that stopped renewing has the time at which its lease expires,
// and the next incarnation may already serve then.
func (c *checker) checkLeaving(e Event) {
	leaving, ok := c.leaving[e.Target]
	if !ok || e.Incarnation > leaving.Incarnation {
		return
	}
	elapsed := e.At.Sub(leaving.At)
	if elapsed > c.config.LeaveGracePeriod {
		c.addViolation(LeavingExcluded, e, "%s was offered a task %s after its leaving", e.Target, elapsed)
	}
}

func (c *checker) answer(e Event) {
	key := attemptKey{e.Job, e.Attempt}
	submission, ok := c.pending[key]
	if !ok {
		c.addViolation(EveryAttemptEnds, e, "attempt %d was answered without a submission, or twice", e.Attempt)
	}
	delete(c.pending, key)
	state, ok := c.jobs[e.Job]
	if !ok || e.Answer == nil {
		c.addViolation(AllOrNoOutputs, e, "attempt %d has no answer document", e.Attempt)
		return
	}
	state.outcome = e.Answer.Outcome
	c.checkBundle(e, submission)
	if e.Answer.Outcome == job.Complete {
		c.checkComplete(e, state)
		return
	}
	c.checkIncomplete(e, state)
}

// checkBundle checks that the host had not answered under a newer bundle before the
// submission was sent. A host that does not yet know which bundle is in force states
// no version.
func (c *checker) checkBundle(e Event, submission pendingSubmission) {
	if e.Answer.BundleVersion == nil {
		return
	}
	host, version := e.Answer.Host, *e.Answer.BundleVersion
	if before := submission.newestBundles[host]; version < before {
		c.addViolation(BundleNeverOlder, e, "host %s answered by version %d after version %d", host, version, before)
	}
	c.newestBundles[host] = max(c.newestBundles[host], version)
}

func (c *checker) checkComplete(e Event, state *jobState) {
	var ids []string
	for _, o := range e.Answer.Outputs {
		ids = append(ids, o.ID)
		c.checkOutput(e, o)
	}
	if !slices.Equal(ids, state.tasks) {
		c.addViolation(AllOrNoOutputs, e, "complete with outputs of %d tasks, %d were submitted", len(ids), len(state.tasks))
	}
	if e.Answer.Error != nil {
		c.addViolation(AllOrNoOutputs, e, "complete with error %s", e.Answer.Error.Kind)
	}
	for _, id := range state.tasks {
		if c.starts[taskKey{e.Job, id}] == 0 {
			c.addViolation(RanMatchesStarts, e, "complete, but task %s was never started", id)
		}
	}
}

// checkOutput checks that o is an output of e's job and names o's task.
func (c *checker) checkOutput(e Event, o job.Output) {
	var output Output
	if err := json.Unmarshal(o.Output, &output); err != nil {
		c.addViolation(OutputsMatchJob, e, "output of %s cannot be read: %v", o.ID, err)
		return
	}
	if output.Task != o.ID || output.Echo.Task != o.ID || output.Echo.Job != e.Job {
		c.addViolation(OutputsMatchJob, e, "output of %s is from job %q task %q", o.ID, output.Echo.Job, output.Echo.Task)
	}
}

func (c *checker) checkIncomplete(e Event, state *jobState) {
	if len(e.Answer.Outputs) > 0 {
		c.addViolation(AllOrNoOutputs, e, "%s with %d outputs", e.Answer.Outcome, len(e.Answer.Outputs))
	}
	if e.Answer.Error == nil {
		c.addViolation(AllOrNoOutputs, e, "%s without an error", e.Answer.Outcome)
		return
	}
	_, started := c.firstStartedAt[e.Job]
	if !started {
		return
	}
	kind := e.Answer.Error.Kind
	if e.Answer.Error.JobRan == "no" || e.Answer.Outcome == job.NotRun {
		c.addViolation(RanMatchesStarts, e, "%s says that the job did not run, but it did", kind)
	}
	if e.Answer.Error.AttemptRan == "no" && state.attempts == 1 {
		c.addViolation(RanMatchesStarts, e, "%s says that the only attempt did not run, but it did", kind)
	}
}

func (c *checker) finish() {
	for key, e := range c.pending {
		c.addViolation(EveryAttemptEnds, e.Event, "attempt %d at %s has no answer", key.attempt, e.Entry)
	}
	for _, state := range c.jobs {
		c.summary.count(state)
	}
	slices.SortFunc(c.summary.Violations, func(a, b Violation) int {
		return strings.Compare(a.String(), b.String())
	})
}
